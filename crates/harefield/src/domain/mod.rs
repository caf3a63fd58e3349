//! The decisions of the query tier, as pure functions and small state machines.
//!
//! Nothing here performs I/O, reads a clock or draws random numbers. Time and random numbers are
//! passed in, so that every decision can be replayed.

pub mod accounts;
pub mod admission;
pub mod announcement;
pub mod backoff;
pub mod buffers;
pub mod catalogs;
pub mod cell;
pub mod code;
pub mod cold;
pub mod configuration;
pub mod dispatch;
pub mod event;
pub mod fanout;
pub mod feed;
pub mod freshness;
pub mod hlc;
pub mod hosts;
pub mod ids;
pub mod key;
pub mod lease;
pub mod membership;
pub mod merge;
mod news_format;
pub mod once;
pub mod outages;
pub mod outcome;
pub mod query;
pub mod reach;
pub mod readers;
pub mod recent;
pub mod recently_removed;
pub mod reply;
pub mod residency;
pub mod resources;
pub mod retained;
pub mod revision;
pub mod routing;
pub mod snapshot;
pub mod stop;
pub mod suspects;
pub mod time;
pub mod topology;
pub mod view;
pub mod work;

/// Returns whether a value is its type's default, which is then not serialized.
pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Returns `part` divided by `whole`, or 1 if `whole` is 0.
#[must_use]
pub fn ratio(part: usize, whole: usize) -> f64 {
    let exact = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    if whole == 0 { 1.0 } else { exact(part) / exact(whole) }
}
