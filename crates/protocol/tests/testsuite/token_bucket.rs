//! The rate limit on sent bytes.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_core::ManualClock;
use waxwingusher_protocol::MessageKind;
use waxwingusher_protocol::socket::{Admission, ByteTokenBucket};

#[test]
fn sent_bytes_never_exceed_the_burst_plus_the_rate_over_any_period() {
    let clock = ManualClock::new();
    let mut bucket = ByteTokenBucket::new(Arc::new(clock.clone()), 1_000, 5_000);
    let mut rng = fastrand::Rng::with_seed(3);
    let mut granted: Vec<(Duration, u64)> = Vec::new();
    for _ in 0..2_000 {
        clock.advance(Duration::from_millis(rng.u64(0..200)));
        let len_bytes = rng.usize(50..1_200);
        if bucket.try_take(MessageKind::Loan, len_bytes) == Admission::Granted {
            granted.push((clock.elapsed(), len_bytes as u64));
        }
    }
    for (i, (start, _)) in granted.iter().enumerate() {
        let mut sum = 0;
        for (at, len_bytes) in &granted[i..] {
            sum += len_bytes;
            let allowed = 5_000 + (*at - *start).as_millis() as u64 + 1;
            assert!(sum <= allowed, "{sum} bytes where {allowed} are allowed");
        }
    }
}

#[test]
fn gossip_leaves_the_reserve_to_loans() {
    let clock = Arc::new(ManualClock::new());
    let mut bucket = ByteTokenBucket::new(clock, 1_000, 4_000);
    let mut sent = 0;
    while bucket.try_take(MessageKind::Gossip, 100) == Admission::Granted {
        sent += 100;
    }
    assert_eq!(sent, 3_000);
    assert_eq!(
        bucket.try_take(MessageKind::Loan, 1_000),
        Admission::Granted
    );
    assert_eq!(
        bucket.try_take(MessageKind::Loan, 1),
        Admission::RateLimited
    );
}
