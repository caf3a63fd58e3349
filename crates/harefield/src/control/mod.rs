//! The control duty: keeps the configuration, the host list and the fleet's membership up to date,
//! and publishes them to the workers.

mod announcements;
mod confirm;
mod duty;
mod eras;
mod freshness;
mod gossip;
mod inbox;
mod join;
mod publish;
mod reader;
mod suspicion;

pub use announcements::Announcements;
pub use duty::Control;
pub use duty::ControlPorts;
pub use duty::ControlSettings;
