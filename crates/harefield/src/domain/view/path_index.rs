//! Which lookup a caller's path leads to.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use super::plan::LookupPlan;

/// A path prefix that leads to a lookup.
#[derive(Clone, Debug)]
struct PathPrefix {
    prefix: Arc<str>,
    plan: Arc<LookupPlan>,
}

/// The path prefixes under each host name, the longest first.
#[derive(Clone, Debug, Default)]
pub(super) struct PathIndex {
    by_host: HashMap<Arc<str>, Vec<PathPrefix>>,
}

impl PathIndex {
    /// Sorts the lookups' entries by host name, the longest prefix first.
    pub(super) fn new(lookups: &HashMap<Arc<str>, Arc<LookupPlan>>) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<PathPrefix>> = HashMap::new();
        for plan in lookups.values() {
            for entry in &plan.lookup.entries {
                let found = PathPrefix { prefix: Arc::clone(&entry.prefix), plan: Arc::clone(plan) };
                by_host.entry(Arc::clone(&entry.host)).or_default().push(found);
            }
        }
        for prefixes in by_host.values_mut() {
            prefixes.sort_by_key(|found| Reverse(found.prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the lookup that a path leads to, by the longest prefix.
    pub(super) fn lookup_at(&self, host: &str, path: &str) -> Option<&Arc<LookupPlan>> {
        let prefixes = self.by_host.get(host)?;
        prefixes.iter().find(|found| path.starts_with(&*found.prefix)).map(|found| &found.plan)
    }
}
