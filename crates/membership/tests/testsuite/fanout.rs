//! Trees by which changes reach all hosts of a failure domain.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use waxwingusher_membership::seeded::collector::Candidate;
use waxwingusher_membership::seeded::fanout::{FeedDomain, FeedView, TREES};

/// The capacity of the two hosts of a domain with 20 times the link of the others.
const LARGE: u16 = 20;
/// The children of a host with a link of 10 Mbit/s.
const MAX_SMALL_CHILDREN: usize = 12;

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn candidate(number: u16, capacity: u16) -> Candidate {
    Candidate {
        addr: addr(number),
        capacity,
    }
}

fn domain(hosts: u16, large: u16) -> FeedDomain {
    let capacity = |number| if number < large { LARGE } else { 1 };
    FeedDomain::new(
        (0..hosts)
            .map(|number| candidate(number, capacity(number)))
            .collect(),
    )
}

/// Follows a tree from its root, and returns how often each host got the message and the
/// steps to the last one. Dead hosts forward nothing.
fn follow(
    domain: &FeedDomain,
    tree: u8,
    dead: &BTreeSet<SocketAddr>,
) -> (BTreeMap<SocketAddr, usize>, usize) {
    let mut level: Vec<SocketAddr> = domain.root(tree).into_iter().collect();
    let mut reached = BTreeMap::new();
    let mut depth = 0;
    while !level.is_empty() {
        for host in &level {
            *reached.entry(*host).or_insert(0) += 1;
        }
        let alive = level.iter().filter(|host| !dead.contains(*host));
        level = alive
            .flat_map(|host| domain.children(tree, *host))
            .collect();
        depth += 1;
        assert!(depth < 10, "the tree has a cycle or is too deep");
    }
    (reached, depth)
}

/// A relay sent to all 100 hosts of its domain over a link of 10 Mbit/s.
#[test]
fn a_message_reaches_each_host_of_a_domain_once_in_few_steps() {
    for (hosts, large, most) in [(1, 0, 1), (2, 2, 2), (33, 0, 2), (34, 2, 2), (250, 2, 3)] {
        let domain = domain(hosts, large);
        for tree in 0..TREES.min(u8::try_from(hosts).unwrap_or(u8::MAX)) {
            let (reached, depth) = follow(&domain, tree, &BTreeSet::new());
            assert_eq!(
                reached.len(),
                usize::from(hosts),
                "{hosts} hosts, tree {tree}"
            );
            assert!(reached.values().all(|count| *count == 1));
            assert!(depth <= most, "{hosts} hosts, tree {tree}: {depth} steps");
        }
    }
    let (_, depth) = follow(&domain(1_000, 0), 0, &BTreeSet::new());
    assert!(depth <= 4, "{depth} steps without large hosts");
}

#[test]
fn hosts_with_a_small_link_forward_to_few_in_a_large_domain() {
    for large in [0, 2] {
        let domain = domain(333, large);
        for tree in 0..TREES {
            for member in domain
                .members()
                .iter()
                .filter(|member| member.capacity == 1)
            {
                let count = domain.children(tree, member.addr).len();
                assert!(count <= MAX_SMALL_CHILDREN, "{count} children");
            }
        }
    }
}

/// All hosts of a domain depended on one relay.
#[test]
fn one_dead_host_keeps_no_message_from_the_others() {
    for large in [0, 2] {
        let domain = domain(333, large);
        for number in 0..333 {
            let dead = BTreeSet::from([addr(number)]);
            let reached: BTreeSet<SocketAddr> = (0..TREES)
                .flat_map(|tree| follow(&domain, tree, &dead).0.into_keys())
                .collect();
            assert_eq!(reached.len(), 333, "host {number} is dead");
        }
    }
}

/// A silent host may receive messages although none of its own arrive.
#[test]
fn silent_hosts_get_messages_and_forward_none() {
    let mut members: Vec<Candidate> = (0..100).map(|number| candidate(number, 1)).collect();
    members.extend((100..150).map(|number| candidate(number, 0)));
    let domain = FeedDomain::new(members);
    for tree in 0..TREES {
        let (reached, _) = follow(&domain, tree, &BTreeSet::new());
        assert_eq!(reached.len(), 150);
        for number in 100..150 {
            assert!(domain.children(tree, addr(number)).is_empty());
        }
    }
}

/// Requests for missed changes went to a random host, whatever its link.
#[test]
fn peers_are_drawn_by_capacity_and_silent_ones_are_not() {
    let own = candidate(1, 1);
    let members = vec![own, candidate(2, 1), candidate(3, LARGE), candidate(4, 0)];
    let remote = FeedDomain::new(vec![candidate(9, 1)]);
    let view = FeedView::new(own, FeedDomain::new(members), vec![remote.clone()]);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut draws = BTreeMap::new();
    for _ in 0..2_100 {
        let peer = view.draw_peer(&mut rng).expect("a peer");
        *draws.entry(peer).or_insert(0) += 1;
    }
    assert_eq!(
        draws.keys().copied().collect::<Vec<_>>(),
        [addr(2), addr(3)]
    );
    assert!((50..200).contains(&draws[&addr(2)]), "{draws:?}");
    let among = [addr(2), addr(4), addr(77)];
    assert_eq!(view.draw_among(&among, &mut rng), Some(addr(2)));
    assert_eq!(view.draw_among(&[addr(4)], &mut rng), None);
    let alone = FeedView::new(own, FeedDomain::new(vec![own]), vec![remote]);
    assert_eq!(alone.draw_peer(&mut rng), Some(addr(9)));
}
