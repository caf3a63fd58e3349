//! The ports: traits through which the engine and the control task reach their environment.

mod clock;
mod formats;
mod peers;
mod platform;
mod upstreams;

pub use clock::Clock;
pub use peers::Exchange;
pub use peers::Forward;
pub use peers::ForwardAnswer;
pub use peers::Group;
pub use peers::GroupDelay;
pub use peers::GroupGap;
pub use peers::GroupPart;
pub use peers::GroupReply;
pub use peers::Mark;
pub use peers::PeerError;
pub use peers::Peers;
pub use peers::PermitReply;
pub use peers::PermitRequest;
pub use peers::Pull;
pub use platform::Listing;
pub use platform::Platform;
pub use platform::PlatformError;
pub use platform::Space;
pub use platform::WatchResult;
pub use upstreams::Call;
pub use upstreams::CallOutcome;
pub use upstreams::Endpoint;
pub use upstreams::Upstreams;
