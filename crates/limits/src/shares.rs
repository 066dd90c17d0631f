//! Splits a limit into the shares of its holders.

use waxwingusher_config::model::RateLimit;

use crate::settings::LimiterSettings;

/// Thousandths in a token.
pub const MILLIS_PER_TOKEN: u64 = 1000;

/// The capacity of a share below which a borrower asks all lenders for equal
/// parts of a token, so that no share overflows while another is empty.
pub const TINY_SHARE_MILLIS: u64 = 2 * MILLIS_PER_TOKEN;

/// The part of a limit that one holder administers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShareLimit {
    /// Thousandths of a token per second.
    pub rate_millis_per_s: u64,
    /// The most tokens at once, in thousandths.
    pub capacity_millis: u64,
}

impl ShareLimit {
    /// Returns the share with this index. All shares add up to the limit, less
    /// the allowance for clock drift, and no share shrinks when the limit grows.
    #[must_use]
    pub fn of(limit: RateLimit, index: usize, settings: &LimiterSettings) -> Self {
        let shares = settings.share_domains.len();
        let rate = settings.safe_rate(limit.rate_millis_per_s);
        let capacity = u64::from(limit.burst) * MILLIS_PER_TOKEN;
        Self {
            rate_millis_per_s: split_evenly(rate, shares, index),
            capacity_millis: split_evenly(capacity, shares, index),
        }
    }
}

/// Returns a fingerprint of a rate and a burst.
#[must_use]
pub fn fingerprint(limit: RateLimit) -> u16 {
    let mixed = (limit.rate_millis_per_s ^ (u64::from(limit.burst) << 40))
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 48) as u16
}

fn split_evenly(total: u64, shares: usize, index: usize) -> u64 {
    let shares = shares.max(1) as u64;
    let index = index as u64;
    total / shares + u64::from(index < total % shares)
}
