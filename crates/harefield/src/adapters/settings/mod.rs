//! The settings file, in TOML. `docs/settings/` has a page for each section.

mod load;
mod scheduling;
mod sections;

pub use load::SettingsError;
pub use load::read_token;
pub use scheduling::SchedulingSettings;
pub use sections::EventSettings;
pub use sections::Host;
pub use sections::Limits;
pub use sections::Listen;
pub use sections::LogSettings;
pub use sections::PeerSettings;
pub use sections::PlatformKind;
pub use sections::PlatformSettings;
pub use sections::Routing;
pub use sections::Settings;
pub use sections::StopSettings;
