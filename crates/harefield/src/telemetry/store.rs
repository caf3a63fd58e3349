//! The records of one daemon, bounded in number.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::event::Record;
use crate::domain::hlc::Stamp;

/// What to select from a time line; empty fields select everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Filter {
    /// Events of this request.
    pub request: Option<String>,
    /// Events that name this lookup.
    pub lookup: Option<String>,
    /// Events that name this upstream.
    pub upstream: Option<String>,
    /// Events of this kind.
    pub kind: Option<String>,
    /// Events after this stamp, in microseconds.
    pub after: Option<u64>,
    /// Events up to this stamp, in microseconds.
    pub until: Option<u64>,
    /// At most this many, the newest.
    pub most: Option<usize>,
}

impl Filter {
    /// Returns whether a record is selected.
    #[must_use]
    pub fn matches(&self, record: &Record) -> bool {
        let at = record.stamp.micros;
        let in_time = self.after.is_none_or(|after| at > after) && self.until.is_none_or(|until| at <= until);
        in_time && self.takes_request(record) && self.takes_event(record)
    }

    fn takes_request(&self, record: &Record) -> bool {
        let Some(request) = &self.request else {
            return true;
        };
        record.request.as_deref() == Some(request.as_str())
    }

    fn takes_event(&self, record: &Record) -> bool {
        if self.kind.is_none() && self.lookup.is_none() && self.upstream.is_none() {
            return true;
        }
        let Ok(fields) = serde_json::to_value(&record.event) else {
            return false;
        };
        let holds = |name: &str, want: &Option<String>| {
            want.as_ref().is_none_or(|want| fields.get(name).and_then(|v| v.as_str()) == Some(want))
        };
        holds("kind", &self.kind) && holds("lookup", &self.lookup) && holds("upstream", &self.upstream)
    }
}

/// Keeps the newest records.
#[derive(Debug)]
pub struct Store {
    records: VecDeque<Record>,
    keep: usize,
    forgotten: u64,
}

impl Store {
    /// Creates a store of at most `keep` records.
    #[must_use]
    pub fn new(keep: usize) -> Self {
        Self { records: VecDeque::new(), keep, forgotten: 0 }
    }

    /// Takes a record; the oldest makes room.
    pub fn push(&mut self, record: Record) {
        if self.records.len() >= self.keep {
            self.records.pop_front();
            self.forgotten += 1;
        }
        self.records.push_back(record);
    }

    /// Returns how many records were forgotten to make room.
    #[must_use]
    pub fn evicted(&self) -> u64 {
        self.forgotten
    }

    /// Returns the selected records in the order of their stamps.
    #[must_use]
    pub fn select(&self, filter: &Filter) -> Vec<Record> {
        let mut found: Vec<Record> = self.records.iter().filter(|r| filter.matches(r)).cloned().collect();
        found.sort_by_key(|record| record.stamp);
        let surplus = found.len().saturating_sub(filter.most.unwrap_or(usize::MAX));
        found.drain(..surplus);
        found
    }

    /// Returns the newest stamp.
    #[must_use]
    pub fn newest(&self) -> Stamp {
        self.records.iter().map(|record| record.stamp).max().unwrap_or_default()
    }
}
