//! The rate that an instance takes from all hosts together.

use std::fmt;

/// The lowest rate that is kept. Only an answer shows that an instance has lifted its
/// limit, so each instance must get a request now and then.
const MIN_RATE_MILLI_PER_S: u32 = 200;

/// The requests that an instance takes from all hosts together, in thousandths of a
/// request a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    milli_per_s: u32,
}

/// The text is not a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a number of requests a second")]
pub struct RateLimitError;

impl RateLimit {
    /// Creates a limit from thousandths of a request a second.
    #[must_use]
    pub fn from_milli_per_s(milli_per_s: u32) -> Self {
        Self {
            milli_per_s: milli_per_s.max(MIN_RATE_MILLI_PER_S),
        }
    }

    /// Creates a limit from requests a second, which are rounded down.
    #[must_use]
    pub fn from_per_s(rate_per_s: f64) -> Self {
        let milli_per_s = (rate_per_s * 1_000.0).clamp(0.0, f64::from(u32::MAX));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the range"
        )]
        let milli_per_s = milli_per_s as u32;
        Self::from_milli_per_s(milli_per_s)
    }

    /// Parses a decimal number of requests a second.
    ///
    /// # Errors
    ///
    /// Returns an error for what is no number, negative, infinite or too large.
    pub fn parse(text: &str) -> Result<Self, RateLimitError> {
        let text = text.trim();
        let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        if !text.bytes().all(is_decimal) {
            return Err(RateLimitError);
        }
        let rate_per_s: f64 = text.parse().map_err(|_| RateLimitError)?;
        let milli_per_s = (rate_per_s * 1_000.0).floor();
        if milli_per_s > f64::from(u32::MAX) {
            return Err(RateLimitError);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative and checked against the range"
        )]
        let milli_per_s = milli_per_s as u32;
        Ok(Self::from_milli_per_s(milli_per_s))
    }

    /// Returns thousandths of a request a second.
    #[must_use]
    pub fn milli_per_s(self) -> u32 {
        self.milli_per_s
    }

    /// Returns requests a second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / 1_000.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_s())
    }
}

/// What an answer or a peer shows about an instance's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateLimitChange {
    /// The instance names a limit.
    Named(RateLimit),
    /// The instance names none any more.
    Lifted,
}

impl RateLimitChange {
    /// Returns the limit that is in force after the change.
    #[must_use]
    pub fn limit(self) -> Option<RateLimit> {
        match self {
            Self::Named(limit) => Some(limit),
            Self::Lifted => None,
        }
    }
}
