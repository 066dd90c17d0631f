//! Conversions to the units of log lines and headers.

use std::time::Duration;

use http::HeaderValue;

/// Rounds a ratio to two decimal places.
pub(crate) fn to_hundredths(ratio: f64) -> f64 {
    (ratio * 100.0).round() / 100.0
}

/// Returns the duration in whole milliseconds, rounded down.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Makes a header value of visible ASCII text; other text gives an empty value.
pub(crate) fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
