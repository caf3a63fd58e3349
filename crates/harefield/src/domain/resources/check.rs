//! The checks that a resource set must pass as a whole.

use std::collections::HashSet;
use std::hash::Hash;

use serde::Deserialize;
use serde::Serialize;

use super::kinds::Index;
use super::kinds::Lookup;
use super::kinds::Service;
use super::kinds::Upstream;
use super::set::ResourceSet;
use crate::domain::code::Code;
use crate::domain::ids::Key;

/// The largest value that the platform holds.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

const MAX_DEADLINE_MS: u64 = 600_000;

/// One thing wrong with one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The resource's key.
    pub key: Key,
    /// The code of the fault.
    pub code: Code,
    /// What is wrong, with the names involved.
    pub detail: String,
}

/// Collects the faults of one set.
pub(super) struct Checker<'a> {
    set: &'a ResourceSet,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    pub(super) fn new(set: &'a ResourceSet) -> Self {
        Self { set, faults: Vec::new() }
    }

    pub(super) fn run(mut self) -> Vec<Fault> {
        for (name, upstream) in &self.set.upstreams {
            self.upstream(name, upstream);
        }
        for (name, service) in &self.set.services {
            self.service(name, service);
        }
        for (name, index) in &self.set.indexes {
            self.index(name, index);
        }
        for (name, lookup) in &self.set.lookups {
            self.lookup(name, lookup);
        }
        self.faults
    }

    fn fault(&mut self, kind: &str, name: &str, code: Code, detail: String) {
        let key = format!("{kind}/{name}").into();
        self.faults.push(Fault { key, code, detail });
    }

    fn upstream(&mut self, name: &str, upstream: &Upstream) {
        if upstream.slots == 0 || upstream.connections == 0 {
            let detail = "slots and connections must be at least 1".to_owned();
            self.fault("upstreams", name, Code::ResourceRange, detail);
        }
    }

    fn service(&mut self, name: &str, service: &Service) {
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

    fn index(&mut self, name: &str, index: &Index) {
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

    fn snapshot_shards(&mut self, name: &str, version: u64, service: &str, shards: &[std::sync::Arc<str>]) {
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

    fn lookup(&mut self, name: &str, lookup: &Lookup) {
        if lookup.deadline_ms == 0 || lookup.deadline_ms > MAX_DEADLINE_MS {
            let detail = format!("deadline-ms must be from 1 to {MAX_DEADLINE_MS}");
            self.fault("lookups", name, Code::ResourceRange, detail);
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
