//! Where the requests of a measured run lost what they were worth: by moment, by kind
//! of request and by cause.
//!
//! `log` reads the daemons' log lines, `request` joins those of one request, `tally`
//! adds the stories up, and `table` prints them.

mod log;
mod request;
mod table;
mod tally;

pub use log::LogLine;
pub use log::read;
pub use request::Cause;
pub use request::Kind;
pub use request::RequestLoss;
pub use request::request_losses;
pub use table::IntervalIndex;
pub use table::by_interval;
pub use table::by_kind;
pub use tally::Tally;
