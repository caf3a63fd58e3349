//! Which lookup a caller's path leads to.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use super::plan::LookupPlan;

/// A path prefix that leads to a lookup.
#[derive(Clone, Debug)]
struct Route {
    prefix: Arc<str>,
    plan: Arc<LookupPlan>,
}

/// The path prefixes under each host name, the longest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Routes {
    by_host: HashMap<Arc<str>, Vec<Route>>,
}

impl Routes {
    /// Sorts the lookups' entries by host name, the longest prefix first.
    pub(super) fn new(lookups: &HashMap<Arc<str>, Arc<LookupPlan>>) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Route>> = HashMap::new();
        for plan in lookups.values() {
            for entry in &plan.lookup.entries {
                let route = Route { prefix: Arc::clone(&entry.prefix), plan: Arc::clone(plan) };
                by_host.entry(Arc::clone(&entry.host)).or_default().push(route);
            }
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the lookup that a path leads to, by the longest prefix.
    pub(super) fn lookup_at(&self, host: &str, path: &str) -> Option<&Arc<LookupPlan>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix)).map(|route| &route.plan)
    }
}
