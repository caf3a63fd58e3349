//! Where the requests of a measured run lost what they were worth: by moment, by kind
//! of request and by cause.
//!
//! `lines` reads the daemons' log lines, `story` joins those of one request, `tally`
//! adds the stories up, and `table` prints them.

mod lines;
mod story;
mod table;
mod tally;

pub use lines::Line;
pub use lines::read;
pub use story::Cause;
pub use story::Kind;
pub use story::Story;
pub use story::stories;
pub use table::Moment;
pub use table::by_kind;
pub use table::by_moment;
pub use tally::Tally;
