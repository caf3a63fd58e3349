//! Entries of the store that name no upstream.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::rc::Rc;

use log::warn;
use prometheus_client::metrics::gauge::Gauge;

use crate::domain::revision::Revision;

/// How many entries are remembered, so that each is told of once: as many as a page holds.
const MOST: usize = 500;

/// Entries that were left out, by key, with the revision that was told of.
#[derive(Clone, Debug, Default)]
pub(super) struct LeftOut {
    told: Rc<RefCell<BTreeMap<String, Revision>>>,
    gauge: Gauge,
}

impl LeftOut {
    /// Creates an empty account that `gauge` shows the length of.
    pub fn new(gauge: Gauge) -> Self {
        Self { told: Rc::default(), gauge }
    }

    /// Notes an entry that cannot be read; tells of it once for each revision.
    pub fn note(&self, key: &str, revision: Revision, why: &impl Display) {
        let mut told = self.told.borrow_mut();
        if told.get(key) == Some(&revision) || (told.len() >= MOST && !told.contains_key(key)) {
            return;
        }
        told.insert(key.to_owned(), revision);
        warn!("{key} at revision {revision} cannot be read and is left out: {why}");
        self.show(&told);
    }

    /// Notes that an entry can be read, or is gone.
    pub fn forget(&self, key: &str) {
        let mut told = self.told.borrow_mut();
        if told.remove(key).is_some() {
            self.show(&told);
        }
    }

    /// Forgets entries that a whole listing does not hold.
    pub fn keep_only(&self, listed: impl Fn(&str) -> bool) {
        let mut told = self.told.borrow_mut();
        told.retain(|key, _| listed(key));
        self.show(&told);
    }

    fn show(&self, told: &BTreeMap<String, Revision>) {
        self.gauge.set(i64::try_from(told.len()).unwrap_or(i64::MAX));
    }
}
