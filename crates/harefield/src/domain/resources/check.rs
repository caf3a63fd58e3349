//! Validation of a resource set: ranges, duplicates, and references between resources.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

use super::error::ResourceError;
use super::kinds::Lookup;
use super::set::ResourceSet;
use crate::domain::catalogs::part_of;
use crate::domain::code::Code;
use crate::domain::ids::Key;
use crate::domain::key::KeyDigest;

const MAX_DEADLINE_MS: u64 = 600_000;

/// Collects the errors of one resource set.
pub(super) struct Checker<'a> {
    set: &'a ResourceSet,
    errors: Vec<ResourceError>,
}

impl<'a> Checker<'a> {
    pub(super) fn new(set: &'a ResourceSet) -> Self {
        Self { set, errors: Vec::new() }
    }

    /// Checks all resources.
    pub(super) fn check_all(mut self) -> Vec<ResourceError> {
        for name in self.set.upstreams.keys() {
            self.upstream(name);
        }
        for name in self.set.services.keys() {
            self.service(name);
        }
        for name in self.set.indexes.keys() {
            self.index(name);
        }
        for name in self.set.lookups.keys() {
            self.lookup(name);
        }
        self.accounts();
        self.errors
    }

    /// Checks the resources that were changed, and those that refer to them.
    pub(super) fn check_affected<'k>(
        mut self,
        keys: impl IntoIterator<Item = &'k Key>,
    ) -> Vec<ResourceError> {
        let mut affected = AffectedResources::default();
        for key in keys {
            affected.add(self.set, key);
        }
        for name in &affected.upstreams {
            self.upstream(name);
        }
        for name in affected.services(self.set) {
            self.service(name);
        }
        for name in affected.indexes(self.set) {
            self.index(name);
        }
        for name in affected.lookups(self.set) {
            self.lookup(name);
        }
        if affected.accounts {
            self.accounts();
        }
        self.errors
    }

    fn report(&mut self, kind: &str, name: &str, code: Code, detail: String) {
        let key = format!("{kind}/{name}").into();
        self.errors.push(ResourceError { key, code, detail });
    }

    fn upstream(&mut self, name: &str) {
        let Some(upstream) = self.set.upstreams.get(name) else { return };
        let unspecified = upstream.connections == 0 && upstream.holds.is_empty();
        if upstream.slots == 0 || unspecified {
            let detail = "slots and connections must be at least 1".to_owned();
            self.report("upstreams", name, Code::ResourceRange, detail);
        }
    }

    /// Checks all accounts: no two may share a key. Errors don't contain the key.
    fn accounts(&mut self) {
        let mut owners: HashMap<KeyDigest, &str> = HashMap::new();
        for (name, account) in self.set.accounts.iter() {
            let valid = |number: f64| number.is_finite() && number >= 0.0;
            if !valid(account.rate) || !valid(account.burst) {
                let detail = "rate and burst must be 0 or more".to_owned();
                self.report("accounts", name, Code::ResourceRange, detail);
            }
            if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
                let detail = "the name is sent to upstreams and must be visible ASCII".to_owned();
                self.report("accounts", name, Code::ResourceRange, detail);
            }
            for key in &account.keys {
                let Some(other) = owners.insert(*key, name) else { continue };
                let detail = format!("account {other} lists one of its keys as well");
                self.report("accounts", name, Code::ResourceDuplicate, detail);
            }
        }
    }

    fn service(&mut self, name: &str) {
        let Some(service) = self.set.services.get(name) else { return };
        if service.shards.is_empty() {
            let detail = "a service needs at least one shard".to_owned();
            self.report("services", name, Code::ResourceRange, detail);
        }
        for (shard, replicas) in &service.shards {
            if has_duplicate(replicas) {
                let detail = format!("shard {shard} lists a replica twice");
                self.report("services", name, Code::ResourceDuplicate, detail);
            }
            for replica in replicas {
                if !self.set.upstreams.contains_key(replica) {
                    let detail = format!("shard {shard} refers to upstream {replica}, which does not exist");
                    self.report("services", name, Code::ResourceReference, detail);
                }
            }
        }
    }

    fn index(&mut self, name: &str) {
        let Some(index) = self.set.indexes.get(name) else { return };
        if index.snapshots.is_empty() {
            let detail = "an index needs at least one snapshot".to_owned();
            self.report("indexes", name, Code::ResourceRange, detail);
        }
        let versions: Vec<_> = index.snapshots.iter().map(|s| s.version).collect();
        if has_duplicate(&versions) {
            let detail = "two snapshots share a version".to_owned();
            self.report("indexes", name, Code::ResourceDuplicate, detail);
        }
        for snapshot in &index.snapshots {
            for (service, shards) in &snapshot.shards {
                self.snapshot_shards(name, snapshot.version, service, shards);
            }
        }
    }

    fn snapshot_shards(&mut self, name: &str, version: u64, service: &str, shards: &[Arc<str>]) {
        let Some(found) = self.set.services.get(service) else {
            let detail = format!("snapshot {version} refers to service {service}, which does not exist");
            self.report("indexes", name, Code::ResourceReference, detail);
            return;
        };
        if has_duplicate(shards) {
            let detail = format!("snapshot {version} lists a shard of {service} twice");
            self.report("indexes", name, Code::ResourceDuplicate, detail);
        }
        for shard in shards {
            if !found.shards.contains_key(shard) {
                let detail = format!(
                    "snapshot {version} refers to shard {service}/{shard}, which the service does not have"
                );
                self.report("indexes", name, Code::ResourceReference, detail);
            }
        }
    }

    fn lookup(&mut self, name: &str) {
        let Some(lookup) = self.set.lookups.get(name) else { return };
        if lookup.deadline_ms == 0 || lookup.deadline_ms > MAX_DEADLINE_MS {
            let detail = format!("deadline-ms must be from 1 to {MAX_DEADLINE_MS}");
            self.report("lookups", name, Code::ResourceRange, detail);
        }
        if !(0.0..=1.0).contains(&lookup.least_share) {
            let detail = "least-share must be from 0 to 1".to_owned();
            self.report("lookups", name, Code::ResourceRange, detail);
        }
        if lookup.attempts == Some(0) {
            self.report("lookups", name, Code::ResourceRange, "attempts must be at least 1".to_owned());
        }
        if !lookup.split.is_empty() && lookup.split.iter().all(|part| part.weight == 0) {
            self.report(
                "lookups",
                name,
                Code::ResourceRange,
                "a split needs at least one weight above 0".to_owned(),
            );
        }
        for part in &lookup.split {
            if !self.set.indexes.contains_key(part.index.as_str()) {
                let detail = format!("split refers to index {}, which does not exist", part.index);
                self.report("lookups", name, Code::ResourceReference, detail);
            }
        }
        let Some(index) = self.set.indexes.get(lookup.index.as_str()) else {
            let detail = format!("index {} does not exist", lookup.index);
            self.report("lookups", name, Code::ResourceReference, detail);
            return;
        };
        for service in &lookup.services {
            let known = index.snapshots.iter().any(|s| s.shards.contains_key(service.as_str()));
            if !known {
                let detail = format!("no snapshot of {} has service {service}", lookup.index);
                self.report("lookups", name, Code::ResourceReference, detail);
            }
        }
    }
}

fn has_duplicate<T: Eq + Hash>(items: &[T]) -> bool {
    let mut seen = HashSet::new();
    items.iter().any(|item| !seen.insert(item))
}

/// The names of the changed resources, by kind.
#[derive(Debug, Default)]
struct AffectedResources<'k> {
    upstreams: BTreeSet<&'k str>,
    services: BTreeSet<&'k str>,
    indexes: BTreeSet<&'k str>,
    lookups: BTreeSet<&'k str>,
    /// The changed upstreams that no longer exist.
    removed: HashSet<&'k str>,
    /// Whether any account changed.
    accounts: bool,
}

impl<'k> AffectedResources<'k> {
    fn add(&mut self, set: &ResourceSet, key: &'k Key) {
        let resource = key.split_once('/').and_then(|(kind, name)| match kind {
            "catalogs" => part_of(name),
            _ => Some((kind, name)),
        });
        match resource {
            Some(("upstreams", name)) => {
                self.upstreams.insert(name);
                if !set.upstreams.contains_key(name) {
                    self.removed.insert(name);
                }
            }
            Some(("services", name)) => {
                self.services.insert(name);
            }
            Some(("indexes", name)) => {
                self.indexes.insert(name);
            }
            Some(("lookups", name)) => {
                self.lookups.insert(name);
            }
            Some(("accounts", _)) => self.accounts = true,
            _ => {}
        }
    }

    /// Returns the services to check: those that changed, or that list a removed upstream.
    fn services<'a>(&self, set: &'a ResourceSet) -> Vec<&'a str> {
        if self.services.is_empty() && self.removed.is_empty() {
            return Vec::new();
        }
        let lists_removed = |name: &str| {
            let replicas = set.services[name].shards.values().flatten();
            !self.removed.is_empty() && replicas.into_iter().any(|replica| self.removed.contains(&**replica))
        };
        let names = set.services.keys().map(|name| &**name);
        names.filter(|name| self.services.contains(name) || lists_removed(name)).collect()
    }

    /// Returns the indexes to check: those that changed, or that refer to a changed service.
    fn indexes<'a>(&self, set: &'a ResourceSet) -> Vec<&'a str> {
        if self.indexes.is_empty() && self.services.is_empty() {
            return Vec::new();
        }
        let refers_to_changed = |name: &str| {
            let services = set.indexes[name].snapshots.iter().flat_map(|snapshot| snapshot.shards.keys());
            !self.services.is_empty()
                && services.into_iter().any(|service| self.services.contains(&**service))
        };
        let names = set.indexes.keys().map(|name| &**name);
        names.filter(|name| self.indexes.contains(name) || refers_to_changed(name)).collect()
    }

    /// Returns the lookups to check: those that changed, or whose index changed.
    fn lookups<'a>(&self, set: &'a ResourceSet) -> Vec<&'a str>
    where
        'k: 'a,
    {
        if self.indexes.is_empty() {
            return self.lookups.iter().copied().filter(|name| set.lookups.contains_key(*name)).collect();
        }
        let index_changed = |lookup: &Lookup| {
            let parts = lookup.split.iter().map(|part| part.index.as_str());
            let mut indexes = std::iter::once(lookup.index.as_str()).chain(parts);
            indexes.any(|index| self.indexes.contains(index))
        };
        let affected = set
            .lookups
            .iter()
            .filter(|(name, lookup)| self.lookups.contains(&***name) || index_changed(lookup));
        affected.map(|(name, _)| &**name).collect()
    }
}
