//! Types that all crates of waxwingusher share: the clock interface, names,
//! digests, positions in the feed, the host list, cancellation tokens, rendezvous
//! hashing, the detection of suspensions, and which work starts during a shutdown.

pub mod cancel;
pub mod clock;
pub mod content;
pub mod digest;
pub mod feed_position;
pub mod hosts;
pub mod names;
pub mod rendezvous;
pub mod suspension;
pub mod work_window;

pub use cancel::CancelToken;
pub use clock::{Clock, ManualClock, SystemClock};
pub use content::ContentDigest;
pub use digest::{BodyDigest, KeyDigest};
pub use feed_position::FeedPosition;
pub use hosts::{HostEntry, HostList, HostState};
pub use names::{FailureDomain, HostId, InstanceId, Region, RouteName, ServiceName, WorkspaceName};
pub use suspension::SuspensionDetector;
pub use work_window::WorkWindow;
