//! Keeps track of store entries that can't be decoded.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::rc::Rc;

use log::warn;
use prometheus_client::metrics::gauge::Gauge;

use crate::domain::revision::Revision;

/// The maximum number of entries to remember, so that each is logged once per revision: the number
/// of entries on one page.
const MAX_REPORTED: usize = 500;

/// Entries that can't be decoded, by key, with the last revision that was logged.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadableEntries {
    reported: Rc<RefCell<BTreeMap<String, Revision>>>,
    gauge: Gauge,
}

impl UnreadableEntries {
    /// Creates an empty set; `gauge` shows its size.
    pub fn new(gauge: Gauge) -> Self {
        Self { reported: Rc::default(), gauge }
    }

    /// Records an entry that can't be decoded, and logs it once per revision.
    pub fn record(&self, key: &str, revision: Revision, why: &impl Display) {
        let mut reported = self.reported.borrow_mut();
        if reported.get(key) == Some(&revision)
            || (reported.len() >= MAX_REPORTED && !reported.contains_key(key))
        {
            return;
        }
        reported.insert(key.to_owned(), revision);
        warn!("ignoring entry {key} at revision {revision}, which cannot be decoded: {why}");
        self.update_gauge(&reported);
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
