//! Finds the lookup for a caller's path.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use super::plan::LookupPlan;

/// A path prefix and the plan of its lookup.
#[derive(Clone, Debug)]
struct PathPrefix {
    prefix: Arc<str>,
    plan: Arc<LookupPlan>,
}

/// The path prefixes of each host name, the longest first.
#[derive(Clone, Debug, Default)]
pub(super) struct PathIndex {
    by_host: HashMap<Arc<str>, Vec<PathPrefix>>,
}

impl PathIndex {
    /// Builds the index from the entries of all lookups.
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

    /// Returns the lookup for a path, by the longest matching prefix.
    pub(super) fn lookup_at(&self, host: &str, path: &str) -> Option<&Arc<LookupPlan>> {
        let prefixes = self.by_host.get(host)?;
        prefixes.iter().find(|found| path.starts_with(&*found.prefix)).map(|found| &found.plan)
    }
}
