//! Who forwards published changes to whom.
//!
//! A reader sends a change to two hosts of each failure domain, those with the largest
//! capacity. Each of them is the root of a tree that contains all hosts of its domain,
//! so that one slow, dead or unreachable host keeps no change from the others. A host
//! has children in proportion to its capacity. In a small domain the root sends to all.
//!
//! All hosts derive the trees from the hosts that they know. While these differ, a host
//! may get a message twice or not at all; it then asks a peer for what it missed.

use std::cell::OnceCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::seeded::collector::{Candidate, MAX_DIRECT_NEIGHBOURS};
use crate::seeded::readers::order_key;

/// The trees of a failure domain.
pub const TREES: u8 = 2;
/// The children of a host for each unit of its capacity, which is a link of 10 Mbit/s. A
/// datagram of 1,300 bytes to each of them takes 13 ms on that link.
const CHILDREN_PER_UNIT: usize = 12;

/// The hosts of a failure domain that exchange changes.
#[derive(Debug, Clone, Default)]
pub struct FeedDomain {
    /// In the order of their capacity.
    members: Vec<Candidate>,
    /// The hosts with children in each tree and these, derived when they are needed.
    trees: [OnceCell<Children>; TREES as usize],
}

type Children = HashMap<SocketAddr, Vec<SocketAddr>>;

impl FeedDomain {
    /// Creates a domain from its hosts. A host with the capacity 0 gets messages, but
    /// forwards none.
    #[must_use]
    pub fn new(mut members: Vec<Candidate>) -> Self {
        members.sort_by_cached_key(|member| {
            (std::cmp::Reverse(member.capacity), order_key(member.addr))
        });
        Self {
            members,
            trees: Default::default(),
        }
    }

    /// Returns the hosts.
    #[must_use]
    pub fn members(&self) -> &[Candidate] {
        &self.members
    }

    /// Returns the host that distributes the messages of a tree.
    #[must_use]
    pub fn root(&self, tree: u8) -> Option<SocketAddr> {
        let root = self.members.get(usize::from(tree % TREES))?;
        Some(root.addr)
    }

    /// Reports whether a root sends to all hosts of the domain itself.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.members.len() <= MAX_DIRECT_NEIGHBOURS + 1
    }

    /// Returns the hosts to which a host forwards the messages of a tree.
    #[must_use]
    pub fn children(&self, tree: u8, parent: SocketAddr) -> Vec<SocketAddr> {
        let Some(root) = self.root(tree) else {
            return Vec::new();
        };
        if self.is_small() {
            return self.all_but(parent, parent == root);
        }
        let children = self.trees[usize::from(tree % TREES)].get_or_init(|| self.derive(tree));
        children.get(&parent).cloned().unwrap_or_default()
    }

    /// Assigns the hosts of a large domain to their parents, level by level.
    fn derive(&self, tree: u8) -> Children {
        let order = self.order(tree);
        let mut left = order.iter().skip(1).map(|child| child.addr);
        let mut children = Children::new();
        for parent in &order {
            let count = child_count(parent.capacity);
            let group: Vec<SocketAddr> = left.by_ref().take(count).collect();
            if !group.is_empty() {
                children.insert(parent.addr, group);
            }
        }
        children
    }

    /// Returns the hosts in the order in which they get children in a tree. The hosts that
    /// forward in one tree come last in the other, so that a dead host keeps no message
    /// from hosts below it in both.
    fn order(&self, tree: u8) -> Vec<Candidate> {
        let root = usize::from(tree % TREES);
        let roots = usize::from(TREES).min(self.members.len());
        let (roots, others) = self.members.split_at(roots);
        let mut order: Vec<Candidate> = Vec::with_capacity(self.members.len());
        order.extend(roots.get(root));
        let first = order.len();
        order.extend(others);
        if root != 0 {
            order[first..].reverse();
            // Stable, so that only hosts of equal capacity change their order.
            order[first..].sort_by_key(|member| std::cmp::Reverse(member.capacity));
        }
        let other_roots = roots.iter().enumerate();
        order.extend(
            other_roots
                .filter(|(i, _)| *i != root)
                .map(|(_, other)| *other),
        );
        order
    }

    /// Returns all hosts except one if `is_sender`, and none otherwise.
    fn all_but(&self, sender: SocketAddr, is_sender: bool) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|_| is_sender);
        let others = others.filter(|member| member.addr != sender);
        others.map(|member| member.addr).collect()
    }
}

/// Returns how many hosts a host of a capacity forwards a message to.
fn child_count(capacity: u16) -> usize {
    usize::from(capacity).saturating_mul(CHILDREN_PER_UNIT)
}

/// The hosts among which changes are distributed, as one of them knows them.
#[derive(Debug, Clone)]
pub struct FeedView {
    /// This host.
    pub own: Candidate,
    /// The failure domain of this host, which contains it.
    pub local: Rc<FeedDomain>,
    /// The other failure domains.
    pub remote: Rc<Vec<FeedDomain>>,
}

impl FeedView {
    /// Creates the view of a host.
    #[must_use]
    pub fn new(own: Candidate, local: FeedDomain, remote: Vec<FeedDomain>) -> Self {
        Self {
            own,
            local: Rc::new(local),
            remote: Rc::new(remote),
        }
    }

    /// Returns a random reachable host other than this one, one of the local failure
    /// domain if there is one; the more capacity, the more often.
    pub fn draw_peer(&self, rng: &mut fastrand::Rng) -> Option<SocketAddr> {
        let own = self.own.addr;
        let local = self.local.members.iter();
        let local: Vec<Candidate> = local.filter(|peer| peer.addr != own).copied().collect();
        draw(&local, rng).or_else(|| {
            let remote = self.remote.iter().flat_map(FeedDomain::members);
            let remote: Vec<Candidate> = remote.copied().collect();
            draw(&remote, rng)
        })
    }

    /// Returns one of some hosts at random; the more capacity, the more often. Hosts that
    /// are not known or silent are left out.
    pub fn draw_among(&self, addrs: &[SocketAddr], rng: &mut fastrand::Rng) -> Option<SocketAddr> {
        let remote = self.remote.iter().flat_map(FeedDomain::members);
        let known = self.local.members.iter().chain(remote);
        let known = known.filter(|peer| peer.addr != self.own.addr && addrs.contains(&peer.addr));
        let known: Vec<Candidate> = known.copied().collect();
        draw(&known, rng)
    }
}

/// Draws one of some hosts with probabilities in proportion to their capacity.
fn draw(candidates: &[Candidate], rng: &mut fastrand::Rng) -> Option<SocketAddr> {
    let sum: u64 = candidates.iter().map(|peer| u64::from(peer.capacity)).sum();
    if sum == 0 {
        return None;
    }
    let mut left = rng.u64(..sum);
    for peer in candidates {
        let capacity = u64::from(peer.capacity);
        if left < capacity {
            return Some(peer.addr);
        }
        left -= capacity;
    }
    None
}
