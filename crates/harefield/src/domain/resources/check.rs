//! The checks that a resource set must pass as a whole.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

use super::fault::ResourceError;
use super::set::ResourceSet;
use crate::domain::code::Code;
use crate::domain::ids::Key;
use crate::domain::key::KeyDigest;

const MAX_DEADLINE_MS: u64 = 600_000;

/// Collects the faults of one set.
pub(super) struct Checker<'a> {
    set: &'a ResourceSet,
    faults: Vec<ResourceError>,
}

impl<'a> Checker<'a> {
    pub(super) fn new(set: &'a ResourceSet) -> Self {
        Self { set, faults: Vec::new() }
    }

    /// Checks every resource.
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
        self.faults
    }

    /// Checks the resources that were changed, and those that name them.
    pub(super) fn check_touched<'k>(mut self, keys: impl IntoIterator<Item = &'k Key>) -> Vec<ResourceError> {
        let mut touched = Touched::default();
        for key in keys {
            touched.note(self.set, key);
        }
        if touched.catalogs {
            return self.check_all();
        }
        for name in &touched.upstreams {
            self.upstream(name);
        }
        for name in touched.services(self.set) {
            self.service(name);
        }
        for name in touched.indexes(self.set) {
            self.index(name);
        }
        for name in touched.lookups(self.set) {
            self.lookup(name);
        }
        if touched.accounts {
            self.accounts();
        }
        self.faults
    }

    fn fault(&mut self, kind: &str, name: &str, code: Code, detail: String) {
        let key = format!("{kind}/{name}").into();
        self.faults.push(ResourceError { key, code, detail });
    }

    fn upstream(&mut self, name: &str) {
        let Some(upstream) = self.set.upstreams.get(name) else { return };
        let unsaid = upstream.connections == 0 && upstream.holds.is_empty();
        if upstream.slots == 0 || unsaid {
            let detail = "slots and connections must be at least 1".to_owned();
            self.fault("upstreams", name, Code::ResourceRange, detail);
        }
    }

    /// Checks all accounts: no two may share a key. Faults name no key.
    fn accounts(&mut self) {
        let mut owners: HashMap<KeyDigest, &str> = HashMap::new();
        for (name, account) in &self.set.accounts {
            let finite = |number: f64| number.is_finite() && number >= 0.0;
            if !finite(account.rate) || !finite(account.burst) {
                let detail = "rate and burst must be 0 or more".to_owned();
                self.fault("accounts", name, Code::ResourceRange, detail);
            }
            if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
                let detail = "upstreams are told the name: it must be visible ASCII".to_owned();
                self.fault("accounts", name, Code::ResourceRange, detail);
            }
            for key in &account.keys {
                let Some(other) = owners.insert(*key, name) else { continue };
                let detail = format!("it has a key that account {other} lists as well");
                self.fault("accounts", name, Code::ResourceDuplicate, detail);
            }
        }
    }

    fn service(&mut self, name: &str) {
        let Some(service) = self.set.services.get(name) else { return };
        if service.shards.is_empty() {
            let detail = "a service needs at least one shard".to_owned();
            self.fault("services", name, Code::ResourceRange, detail);
        }
        for (shard, replicas) in &service.shards {
            if has_duplicate(replicas) {
                let detail = format!("shard {shard} lists a replica twice");
                self.fault("services", name, Code::ResourceDuplicate, detail);
            }
            for replica in replicas {
                if !self.set.upstreams.contains_key(replica) {
                    let detail = format!("shard {shard} names upstream {replica}, which does not exist");
                    self.fault("services", name, Code::ResourceReference, detail);
                }
            }
        }
    }

    fn index(&mut self, name: &str) {
        let Some(index) = self.set.indexes.get(name) else { return };
        if index.snapshots.is_empty() {
            let detail = "an index needs at least one snapshot".to_owned();
            self.fault("indexes", name, Code::ResourceRange, detail);
        }
        let versions: Vec<_> = index.snapshots.iter().map(|s| s.version).collect();
        if has_duplicate(&versions) {
            let detail = "two snapshots share a version".to_owned();
            self.fault("indexes", name, Code::ResourceDuplicate, detail);
        }
        for snapshot in &index.snapshots {
            for (service, shards) in &snapshot.shards {
                self.snapshot_shards(name, snapshot.version, service, shards);
            }
        }
    }

    fn snapshot_shards(&mut self, name: &str, version: u64, service: &str, shards: &[Arc<str>]) {
        let Some(found) = self.set.services.get(service) else {
            let detail = format!("snapshot {version} names service {service}, which does not exist");
            self.fault("indexes", name, Code::ResourceReference, detail);
            return;
        };
        if has_duplicate(shards) {
            let detail = format!("snapshot {version} lists a shard of {service} twice");
            self.fault("indexes", name, Code::ResourceDuplicate, detail);
        }
        for shard in shards {
            if !found.shards.contains_key(shard) {
                let detail =
                    format!("snapshot {version} names shard {service}/{shard}, which the service lacks");
                self.fault("indexes", name, Code::ResourceReference, detail);
            }
        }
    }

    fn lookup(&mut self, name: &str) {
        let Some(lookup) = self.set.lookups.get(name) else { return };
        if lookup.deadline_ms == 0 || lookup.deadline_ms > MAX_DEADLINE_MS {
            let detail = format!("deadline-ms must be from 1 to {MAX_DEADLINE_MS}");
            self.fault("lookups", name, Code::ResourceRange, detail);
        }
        if !(0.0..=1.0).contains(&lookup.least_share) {
            let detail = "least-share must be from 0 to 1".to_owned();
            self.fault("lookups", name, Code::ResourceRange, detail);
        }
        if lookup.attempts == Some(0) {
            self.fault("lookups", name, Code::ResourceRange, "attempts must be at least 1".to_owned());
        }
        if !lookup.split.is_empty() && lookup.split.iter().all(|part| part.weight == 0) {
            self.fault("lookups", name, Code::ResourceRange, "a split needs a weight over 0".to_owned());
        }
        for part in &lookup.split {
            if !self.set.indexes.contains_key(part.index.as_str()) {
                let detail = format!("split names index {}, which does not exist", part.index);
                self.fault("lookups", name, Code::ResourceReference, detail);
            }
        }
        let Some(index) = self.set.indexes.get(lookup.index.as_str()) else {
            let detail = format!("index {} does not exist", lookup.index);
            self.fault("lookups", name, Code::ResourceReference, detail);
            return;
        };
        for service in &lookup.services {
            let known = index.snapshots.iter().any(|s| s.shards.contains_key(service.as_str()));
            if !known {
                let detail = format!("no snapshot of {} has service {service}", lookup.index);
                self.fault("lookups", name, Code::ResourceReference, detail);
            }
        }
    }
}

fn has_duplicate<T: Eq + Hash>(items: &[T]) -> bool {
    let mut seen = HashSet::new();
    items.iter().any(|item| !seen.insert(item))
}

/// The names that a set of changes touches, by kind.
#[derive(Debug, Default)]
struct Touched<'k> {
    upstreams: BTreeSet<&'k str>,
    services: BTreeSet<&'k str>,
    indexes: BTreeSet<&'k str>,
    lookups: BTreeSet<&'k str>,
    gone: HashSet<&'k str>,
    accounts: bool,
    /// A catalog changed, and with it any number of resources.
    catalogs: bool,
}

impl<'k> Touched<'k> {
    fn note(&mut self, set: &ResourceSet, key: &'k Key) {
        match key.split_once('/') {
            Some(("upstreams", name)) => {
                self.upstreams.insert(name);
                if !set.upstreams.contains_key(name) {
                    self.gone.insert(name);
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
            Some(("catalogs", _)) => self.catalogs = true,
            _ => {}
        }
    }

    /// Returns the services to check: changed, or with a replica that is gone.
    fn services<'a>(&self, set: &'a ResourceSet) -> Vec<&'a str> {
        let names_gone = |name: &str| {
            let replicas = set.services[name].shards.values().flatten();
            !self.gone.is_empty() && replicas.into_iter().any(|replica| self.gone.contains(&**replica))
        };
        let names = set.services.keys().map(|name| &**name);
        names.filter(|name| self.services.contains(name) || names_gone(name)).collect()
    }

    /// Returns the indexes to check: changed, or with a service that changed.
    fn indexes<'a>(&self, set: &'a ResourceSet) -> Vec<&'a str> {
        let names_changed = |name: &str| {
            let services = set.indexes[name].snapshots.iter().flat_map(|snapshot| snapshot.shards.keys());
            !self.services.is_empty()
                && services.into_iter().any(|service| self.services.contains(&**service))
        };
        let names = set.indexes.keys().map(|name| &**name);
        names.filter(|name| self.indexes.contains(name) || names_changed(name)).collect()
    }

    /// Returns the lookups to check: changed, or of an index that changed.
    fn lookups<'a>(&self, set: &'a ResourceSet) -> Vec<&'a str> {
        let of_changed = |name: &str| self.indexes.contains(set.lookups[name].index.as_str());
        let names = set.lookups.keys().map(|name| &**name);
        names.filter(|name| self.lookups.contains(name) || of_changed(name)).collect()
    }
}
