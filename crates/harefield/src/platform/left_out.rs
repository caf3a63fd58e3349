//! Keeps track of store entries that can't be decoded.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::warn;
use prometheus_client::metrics::gauge::Gauge;

use crate::adapters::log_limit::LogLimit;
use crate::domain::revision::Revision;

/// The maximum number of entries to remember, so that each is logged once per revision: the number
/// of entries on one page.
const MAX_REPORTED: usize = 500;

/// The maximum number of log lines in a `LOG_INTERVAL`.
const MAX_LINES: u32 = 20;

/// The interval for which log lines are counted.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Entries that can't be decoded, by key, with the last revision that was recorded.
#[derive(Clone, Debug)]
pub(super) struct UnreadableEntries {
    reported: Rc<RefCell<BTreeMap<String, Revision>>>,
    lines: Rc<RefCell<LogLimit>>,
    gauge: Gauge,
}

impl UnreadableEntries {
    /// Creates an empty set; `gauge` shows its size.
    pub fn new(gauge: Gauge) -> Self {
        let lines = LogLimit::new(MAX_LINES, LOG_INTERVAL);
        Self { reported: Rc::default(), lines: Rc::new(RefCell::new(lines)), gauge }
    }

    /// Records an entry that can't be decoded, and logs it once per revision, within the limit.
    pub fn record(&self, key: &str, revision: Revision, why: &impl Display) {
        let mut reported = self.reported.borrow_mut();
        if reported.get(key) == Some(&revision)
            || (reported.len() >= MAX_REPORTED && !reported.contains_key(key))
        {
            return;
        }
        reported.insert(key.to_owned(), revision);
        self.update_gauge(&reported);
        if let Some(omitted) = self.lines.borrow_mut().admit(Instant::now()) {
            warn!(
                "ignoring entry {key:?} at revision {revision}, which cannot be decoded: {why}; \
                 {omitted} more since the last report"
            );
        }
    }

    /// Removes an entry that can now be decoded or has been deleted.
    pub fn clear(&self, key: &str) {
        let mut reported = self.reported.borrow_mut();
        if reported.remove(key).is_some() {
            self.update_gauge(&reported);
        }
    }

    /// Removes all entries that aren't in a complete listing.
    pub fn retain_listed(&self, listed: impl Fn(&str) -> bool) {
        let mut reported = self.reported.borrow_mut();
        reported.retain(|key, _| listed(key));
        self.update_gauge(&reported);
    }

    fn update_gauge(&self, reported: &BTreeMap<String, Revision>) {
        self.gauge.set(i64::try_from(reported.len()).unwrap_or(i64::MAX));
    }
}
