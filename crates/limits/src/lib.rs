//! Rights of workspaces: keys, rates and bursts that hold over the whole fleet,
//! and fair shares of a loaded host.

pub mod bucket;
pub mod keys;
pub mod limit_key;
pub mod settings;

pub use keys::KeyIndex;
pub use limit_key::LimitKey;
pub use settings::LimiterSettings;
