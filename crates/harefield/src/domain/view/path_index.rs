//! Finds the lookup for a caller's path.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use super::Lookups;
use super::builder::PlanChange;
use super::plan::LookupPlan;
use crate::domain::resources::Entry;

/// The plans by path prefix.
type Prefixes = HashMap<Arc<str>, Arc<LookupPlan>>;

/// The path prefixes of one host name, by length; the longest first.
type HostPaths = BTreeMap<Reverse<usize>, Prefixes>;

/// The path prefixes of each host name.
#[derive(Clone, Debug, Default)]
pub(super) struct PathIndex {
    by_host: HashMap<Arc<str>, Arc<HostPaths>>,
    /// Whether two lookups share an entry.
    shared: bool,
}

impl PathIndex {
    /// Returns the index over the entries of all lookups, of which `changes` are new.
    pub(super) fn next(self: &Arc<Self>, lookups: &Lookups, changes: &[PlanChange]) -> Arc<Self> {
        if changes.is_empty() {
            return Arc::clone(self);
        }
        if self.shared {
            return Arc::new(Self::of_all(lookups));
        }
        let mut index = Self::clone(self);
        for old in changes.iter().filter_map(|change| change.old.as_ref()) {
            old.lookup.entries.iter().for_each(|entry| index.remove(entry));
        }
        changes.iter().filter_map(|change| change.new.as_ref()).for_each(|new| index.insert(new));
        if index.shared { Arc::new(Self::of_all(lookups)) } else { Arc::new(index) }
    }

    /// Builds the index in the order of names, so that all daemons agree on an entry that lookups
    /// share.
    fn of_all(lookups: &Lookups) -> Self {
        let mut index = Self::default();
        let sorted: BTreeMap<&Arc<str>, &Arc<LookupPlan>> = lookups.iter().collect();
        for plan in sorted.into_values() {
            index.insert(plan);
        }
        index
    }

    fn insert(&mut self, plan: &Arc<LookupPlan>) {
        for Entry { host, prefix } in &plan.lookup.entries {
            let paths = Arc::make_mut(self.by_host.entry(Arc::clone(host)).or_default());
            let prefixes = paths.entry(Reverse(prefix.len())).or_default();
            self.shared |= prefixes.insert(Arc::clone(prefix), Arc::clone(plan)).is_some();
        }
    }

    fn remove(&mut self, entry: &Entry) {
        let Some(paths) = self.by_host.get_mut(&entry.host) else { return };
        let paths = Arc::make_mut(paths);
        let length = Reverse(entry.prefix.len());
        let Some(prefixes) = paths.get_mut(&length) else { return };
        prefixes.remove(&entry.prefix);
        if prefixes.is_empty() {
            paths.remove(&length);
        }
        if paths.is_empty() {
            self.by_host.remove(&entry.host);
        }
    }

    /// Returns the lookup for a path, by the longest matching prefix.
    pub(super) fn lookup_at(&self, host: &str, path: &str) -> Option<&Arc<LookupPlan>> {
        let paths = self.by_host.get(host)?;
        let mut found = paths.iter().filter_map(|(Reverse(length), prefixes)| {
            let prefix = path.get(..*length)?;
            prefixes.get(prefix)
        });
        found.next()
    }
}
