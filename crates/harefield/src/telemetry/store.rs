//! A bounded store of one daemon's event records, and the filter to query it.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::event::Record;
use crate::domain::hlc::Stamp;

/// Selects records of a time line; an absent field selects everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Filter {
    /// Selects events of this request.
    pub request: Option<String>,
    /// Selects events that name this lookup.
    pub lookup: Option<String>,
    /// Selects events that name this upstream.
    pub upstream: Option<String>,
    /// Selects events of this kind, such as `answer-cut`.
    pub kind: Option<String>,
    /// Selects events after this time, in microseconds since the epoch.
    pub after: Option<u64>,
    /// Selects events up to and including this time, in microseconds since the epoch.
    pub until: Option<u64>,
    /// Limits the result to this many of the newest events.
    pub most: Option<usize>,
}

impl Filter {
    /// Returns whether a record is selected; `most` isn't looked at.
    #[must_use]
    pub fn matches(&self, record: &Record) -> bool {
        let at = record.stamp.micros;
        let in_time = self.after.is_none_or(|after| at > after) && self.until.is_none_or(|until| at <= until);
        in_time && self.matches_request(record) && self.matches_event(record)
    }

    fn matches_request(&self, record: &Record) -> bool {
        let Some(request) = &self.request else {
            return true;
        };
        record.request.as_deref() == Some(request.as_str())
    }

    fn matches_event(&self, record: &Record) -> bool {
        if self.kind.is_none() && self.lookup.is_none() && self.upstream.is_none() {
            return true;
        }
        let Ok(fields) = serde_json::to_value(&record.event) else {
            return false;
        };
        let has_value = |name: &str, expected: &Option<String>| {
            expected
                .as_ref()
                .is_none_or(|expected| fields.get(name).and_then(|v| v.as_str()) == Some(expected))
        };
        has_value("kind", &self.kind)
            && has_value("lookup", &self.lookup)
            && has_value("upstream", &self.upstream)
    }
}

/// Holds the newest records, in the order in which they arrived.
#[derive(Debug)]
pub struct Store {
    records: VecDeque<Record>,
    capacity: usize,
    evicted: u64,
}

impl Store {
    /// Creates a store of at most `capacity` records.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { records: VecDeque::new(), capacity, evicted: 0 }
    }

    /// Adds a record; a full store drops the oldest one.
    pub fn push(&mut self, record: Record) {
        if self.records.len() >= self.capacity {
            self.records.pop_front();
            self.evicted += 1;
        }
        self.records.push_back(record);
    }

    /// Returns how many records were dropped to make room.
    #[must_use]
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns the selected records, sorted by stamp.
    #[must_use]
    pub fn select(&self, filter: &Filter) -> Vec<Record> {
        let mut selected: Vec<Record> = self.records.iter().filter(|r| filter.matches(r)).cloned().collect();
        selected.sort_by_key(|record| record.stamp);
        let surplus = selected.len().saturating_sub(filter.most.unwrap_or(usize::MAX));
        selected.drain(..surplus);
        selected
    }

    /// Returns the newest stamp; the default stamp where the store is empty.
    #[must_use]
    pub fn newest(&self) -> Stamp {
        self.records.iter().map(|record| record.stamp).max().unwrap_or_default()
    }
}
