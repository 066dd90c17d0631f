//! Types that every part of waxwingusher shares: the clock interface, names,
//! key digests, the host list, cancellation tokens and stable hashing.

pub mod cancel;
pub mod clock;
pub mod content;
pub mod digest;
pub mod hosts;
pub mod names;
pub mod rendezvous;
pub mod suspension;

pub use cancel::CancelToken;
pub use clock::{Clock, ManualClock, SystemClock};
pub use content::ContentDigest;
pub use digest::{BodyDigest, KeyDigest};
pub use hosts::{HostEntry, HostList, HostState};
pub use names::{FailureDomain, HostId, InstanceId, RouteName, ServiceName, WorkspaceName};
pub use suspension::SuspensionWatch;
