//! Reports why the requests of a measured run scored less than their full value: by interval of
//! the run, by kind of request and by cause.
//!
//! `log` reads the daemons' log lines, `request` joins the lines of each request, `tally` adds up
//! the losses, and `table` formats them.

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
