//! Reports on single limits for operators.

use std::time::Instant;

use crate::decision::LimitReport;
use crate::limit_table::LimitState;
use crate::role::Role;
use crate::share::Share;

pub(super) fn report_limit(
    state: &LimitState,
    now: Instant,
    valid_until: Option<Instant>,
) -> LimitReport {
    let share = state.role.share();
    let spendable = share.filter(|_| state.role.is_spendable(now, valid_until));
    let borrowing = state.borrowing.as_ref();
    let borrowed = borrowing
        .map(|borrowing| borrowing.borrowed(now))
        .unwrap_or_default();
    LimitReport {
        key: state.key.clone(),
        is_holder: matches!(state.role, Role::Holder(_)),
        share_tokens_millis: spendable.map_or(0, |share| share.bucket().tokens_millis()),
        share_rate_millis_per_s: spendable.map_or(0, |share| share.bucket().rate_millis_per_s()),
        lent_capacity_millis: share.map_or(0, Share::lent_capacity_millis),
        lent_rate_millis_per_s: share.map_or(0, Share::lent_rate_millis_per_s),
        borrowers: share.map_or(0, Share::borrowers),
        borrowed_tokens_millis: borrowed.tokens_millis,
        borrowed_rate_millis_per_s: borrowed.rate_millis_per_s,
        demand_millis_per_s: borrowing.map_or(0, |borrowing| borrowing.demand_millis_per_s(now)),
    }
}
