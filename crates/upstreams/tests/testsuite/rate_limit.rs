//! Limits as instances write them.

use waxwingusher_upstreams::RateLimit;

fn milli_per_s(text: &str) -> Option<u32> {
    RateLimit::parse(text).ok().map(RateLimit::milli_per_s)
}

#[test]
fn decimal_numbers_are_limits() {
    assert_eq!(milli_per_s("6.5"), Some(6_500));
    assert_eq!(milli_per_s(" 1 "), Some(1_000));
    assert_eq!(milli_per_s("0.2504"), Some(250));
}

/// Without any request no answer would show that the limit is lifted.
#[test]
fn a_limit_of_zero_leaves_a_request_now_and_then() {
    assert_eq!(milli_per_s("0"), Some(200));
}

#[test]
fn malformed_values_are_no_limits() {
    for text in [
        "",
        ".",
        "-1",
        "+1",
        "1e3",
        "NaN",
        "inf",
        "2,5",
        "2 5",
        "five",
        "99999999999",
    ] {
        assert_eq!(milli_per_s(text), None, "{text}");
    }
}
