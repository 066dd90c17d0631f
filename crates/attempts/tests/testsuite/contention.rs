//! Contending claims on one key.

use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_attempts::{AttemptRequest, AttemptResult, Permission, UnknownCause};
use waxwingusher_core::HostId;
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::{
    AttemptMessage, Claim, ClaimEnd, ClaimId, HandOffPart, HandOffRecord, Verdict,
};

use crate::cluster::{Cluster, host, request};

/// Returns the claim that a host sends for a request, with another claim id.
fn claim_of(cluster: &mut Cluster, from: &HostId, request: &AttemptRequest, id: u8) -> Claim {
    let (ticket, outgoing) = cluster.registry(from).begin(request);
    cluster.registry(from).finish(ticket, AttemptResult::NotRun);
    let claims = outgoing
        .into_iter()
        .filter_map(|outgoing| match outgoing.message {
            AttemptMessage::Claim(claim) => Some(claim),
            _ => None,
        });
    let mut claim = claims.last().expect("a claim was sent");
    claim.claim = ClaimId([id; 8]);
    claim
}

fn send(cluster: &mut Cluster, to: &HostId, message: AttemptMessage) -> Vec<Verdict> {
    let replies = cluster.registry(to).on_message(&host(9), 1, message);
    let verdicts = replies.into_iter().filter_map(|reply| match reply.message {
        AttemptMessage::Verdict { verdict, .. } => Some(verdict),
        _ => None,
    });
    verdicts.collect()
}

#[test]
fn the_end_of_one_of_two_merged_claims_does_not_free_the_key() {
    for ended in [1, 2] {
        let mut cluster = Cluster::warm(3, 3);
        let asked = request("a", "x", &cluster.clock);
        let claim = claim_of(&mut cluster, &host(0), &asked, 1);
        let key = claim.key;
        let granted = send(&mut cluster, &host(1), AttemptMessage::Claim(claim.clone()));
        assert_eq!(granted, [Verdict::Granted]);
        let handed = HandOffRecord {
            key,
            claim: ClaimId([2; 8]),
            body: claim.body,
            answer: None,
        };
        let part = HandOffPart {
            of: host(9),
            source: 1,
            id: 1,
            part: 0,
            parts: 1,
            topology: 0,
            former_hosts: Vec::new(),
            receivers: 1,
            is_complete: true,
            to_incarnation: None,
            buckets: Vec::new(),
            records: vec![handed],
        };
        send(&mut cluster, &host(1), AttemptMessage::HandOff(part));
        let finish = AttemptMessage::Finish {
            key,
            claim: ClaimId([ended; 8]),
            end: ClaimEnd::NotRun,
        };
        send(&mut cluster, &host(1), finish);
        let third = Claim {
            claim: ClaimId([3; 8]),
            ..claim
        };
        let verdicts = send(&mut cluster, &host(1), AttemptMessage::Claim(third));
        assert_eq!(verdicts, [Verdict::Unknown]);
    }
}

#[test]
fn one_witness_with_another_body_is_no_proof_of_misuse() {
    for unreachable in 0..3 {
        for differing in 0..3 {
            if differing == unreachable {
                continue;
            }
            let mut cluster = Cluster::warm(6, 3);
            let all = witnesses(&mut cluster);
            let mut others = (0..6).map(host).filter(|id| !all.contains(id));
            let via = others.next().expect("three of six hosts are no witnesses");
            cluster.disconnected = vec![all[differing].clone()];
            let first = request("a", "x", &cluster.clock);
            let ticket = cluster.dispatch(&via, &first);
            let unknown = AttemptResult::Unknown;
            let outgoing = cluster.registry(&via).finish(ticket, unknown);
            cluster.deliver(&via, outgoing);
            let other = request("a", "y", &cluster.clock);
            let claim = claim_of(&mut cluster, &via, &other, 7);
            send(&mut cluster, &all[differing], AttemptMessage::Claim(claim));
            cluster.disconnected = vec![all[unreachable].clone()];
            let repeat = request("a", "x", &cluster.clock);
            let (_, permission) = cluster.begin(&via, &repeat);
            let earlier = UnknownCause::EarlierAttempt;
            assert_eq!(permission, Permission::Unknown(earlier));
        }
    }
}

/// Returns the witnesses of key "a".
fn witnesses(cluster: &mut Cluster) -> Vec<HostId> {
    let mut witnesses = Vec::new();
    for index in 0..6 {
        let asked = request("a", "x", &cluster.clock);
        let claim = claim_of(cluster, &host((index + 1) % 6), &asked, 8);
        let verdicts = send(cluster, &host(index), AttemptMessage::Claim(claim.clone()));
        let finish = AttemptMessage::Finish {
            key: claim.key,
            claim: claim.claim,
            end: ClaimEnd::NotRun,
        };
        send(cluster, &host(index), finish);
        if !matches!(verdicts[..], [Verdict::CannotVouch(_)]) {
            witnesses.push(host(index));
        }
    }
    assert_eq!(witnesses.len(), 3);
    witnesses
}

#[test]
fn one_of_two_contending_claimants_runs_without_the_third_witness() {
    for seed in 0..6 {
        let mut cluster = Cluster::warm(3, 3);
        cluster.clock.advance(Duration::from_millis(seed));
        cluster.disconnected.push(host(2));
        let asked = request("a", "x", &cluster.clock);
        let (one, from_one) = cluster.registry(&host(0)).begin(&asked);
        let (other, from_other) = cluster.registry(&host(1)).begin(&asked);
        cluster.deliver(&host(0), from_one);
        cluster.deliver(&host(1), from_other);
        let mut permitted = 0;
        for _ in 0..300 {
            cluster.clock.advance(Duration::from_millis(5));
            for (id, ticket) in [(host(0), one), (host(1), other)] {
                let outgoing: Vec<Outgoing<_>> = cluster.registry(&id).tick();
                cluster.deliver(&id, outgoing);
                let decisions = cluster.registry(&id).take_decisions();
                let own = decisions
                    .into_iter()
                    .filter(|decision| decision.ticket == ticket);
                permitted += own.filter(|d| d.permission == Permission::Run).count();
            }
        }
        assert_eq!(permitted, 1);
    }
}

#[test]
fn a_release_that_arrives_before_its_claim_frees_the_key() {
    let mut cluster = Cluster::warm(3, 3);
    let asked = request("a", "x", &cluster.clock);
    let claim = claim_of(&mut cluster, &host(0), &asked, 1);
    let finish = AttemptMessage::Finish {
        key: claim.key,
        claim: claim.claim,
        end: ClaimEnd::NotRun,
    };
    send(&mut cluster, &host(1), finish);
    let verdicts = send(&mut cluster, &host(1), AttemptMessage::Claim(claim.clone()));
    assert_matches!(verdicts[..], [Verdict::Held]);
    let next = Claim {
        claim: ClaimId([2; 8]),
        ..claim
    };
    let verdicts = send(&mut cluster, &host(1), AttemptMessage::Claim(next));
    assert_eq!(verdicts, [Verdict::Granted]);
}
