//! The set of all resources, built from JSON values by key.

use std::collections::BTreeMap;
use std::sync::Arc;

use itertools::EitherOrBoth::Both;
use itertools::EitherOrBoth::Left;
use itertools::EitherOrBoth::Right;
use itertools::Itertools;
use serde::de::DeserializeOwned;

use super::error::MAX_VALUE_BYTES;
use super::error::ResourceError;
use super::kinds::Account;
use super::kinds::Bounds;
use super::kinds::Catalog;
use super::kinds::Evacuation;
use super::kinds::Index;
use super::kinds::Lookup;
use super::kinds::Service;
use super::kinds::Upstream;
use crate::domain::catalogs::part_of;
use crate::domain::code::Code;
use crate::domain::ids::Edition;
use crate::domain::ids::Key;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;

/// The resources of one kind by name. Successive sets share the map if none of them changed.
pub type Resources<T> = Arc<BTreeMap<Arc<str>, Arc<T>>>;

/// Returns the names under which two maps hold different resources, not even equal ones.
#[must_use]
pub fn changed_names<'a, T>(before: &'a Resources<T>, now: &'a Resources<T>) -> Vec<&'a Arc<str>> {
    if Arc::ptr_eq(before, now) {
        return Vec::new();
    }
    let pairs = before.iter().merge_join_by(now.iter(), |(old, _), (new, _)| old.cmp(new));
    let changed = pairs.filter_map(|pair| match pair {
        Both((_, old), (_, new)) if Arc::ptr_eq(old, new) => None,
        Left((name, _)) | Right((name, _)) | Both(_, (name, _)) => Some(name),
    });
    changed.collect()
}

/// All resources of one revision, by kind and name. Successive sets share unchanged resources.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResourceSet {
    /// The services.
    pub services: Resources<Service>,
    /// The upstreams.
    pub upstreams: Resources<Upstream>,
    /// The lookups.
    pub lookups: Resources<Lookup>,
    /// The indexes.
    pub indexes: Resources<Index>,
    /// The heads of the catalogs, whose resources are in the maps by kind.
    pub catalogs: Resources<Catalog>,
    /// The client accounts.
    pub accounts: Resources<Account>,
    /// The evacuations, by availability zone.
    pub evacuations: Resources<Evacuation>,
    /// The upstreams that announce each shard themselves, sorted by name.
    pub holders: Arc<BTreeMap<ShardId, Arc<[UpstreamId]>>>,
}

impl ResourceSet {
    /// Parses and inserts the value of a key, or removes the resource if there is no value.
    pub(super) fn put(&mut self, key: &Key, value: Option<&str>) -> Result<(), ResourceError> {
        if let Some(size) = value.map(str::len).filter(|size| *size > MAX_VALUE_BYTES) {
            let detail = format!("{size} bytes");
            return Err(ResourceError { key: Arc::clone(key), code: Code::ResourceTooLarge, detail });
        }
        match key.split_once('/') {
            Some(("services", name)) => put(&mut self.services, key, name, value),
            Some(("upstreams", name)) => self.put_upstream(key, name, value),
            Some(("lookups", name)) => put(&mut self.lookups, key, name, value),
            Some(("indexes", name)) => put(&mut self.indexes, key, name, value),
            Some(("catalogs", name)) => self.put_catalog(key, name, value),
            Some(("accounts", name)) => put(&mut self.accounts, key, name, value),
            Some(("evacuations", zone)) => put(&mut self.evacuations, key, zone, value),
            _ if value.is_none() => Ok(()),
            _ => {
                let detail =
                    "expected services/, upstreams/, lookups/, indexes/, accounts/, catalogs/ or evacuations/"
                        .to_owned();
                Err(ResourceError { key: Arc::clone(key), code: Code::ResourceUnknownKind, detail })
            }
        }
    }

    fn put_upstream(&mut self, key: &Key, name: &str, value: Option<&str>) -> Result<(), ResourceError> {
        let before = self.upstreams.get(name).map(Arc::clone);
        put(&mut self.upstreams, key, name, value)?;
        let after = self.upstreams.get(name).map(Arc::clone);
        let held =
            |upstream: &Option<Arc<Upstream>>| upstream.as_ref().map_or(Vec::new(), |u| u.holds.clone());
        let (old, new) = (held(&before), held(&after));
        if old == new {
            return Ok(());
        }
        for shard in old {
            self.change_holders(&shard, |names| names.retain(|held| &**held != name));
        }
        for shard in new {
            self.change_holders(&shard, |names| names.push(name.into()));
        }
        Ok(())
    }

    fn change_holders(&mut self, shard: &ShardId, change: impl FnOnce(&mut Vec<UpstreamId>)) {
        let mut names = self.holders.get(shard).map_or(Vec::new(), |held| held.to_vec());
        change(&mut names);
        names.sort_unstable();
        let holders = Arc::make_mut(&mut self.holders);
        if names.is_empty() {
            holders.remove(shard);
        } else {
            holders.insert(Arc::clone(shard), names.into());
        }
    }

    /// Puts the head or a resource of a divided catalog.
    fn put_catalog(&mut self, key: &Key, name: &str, value: Option<&str>) -> Result<(), ResourceError> {
        match part_of(name) {
            Some(("services", part)) => put(&mut self.services, key, part, value),
            Some(("indexes", part)) => put(&mut self.indexes, key, part, value),
            Some(("lookups", part)) => put(&mut self.lookups, key, part, value),
            Some((_, part)) => put(&mut self.accounts, key, part, value),
            None => put(&mut self.catalogs, key, name, value),
        }
    }

    /// Returns the set with additional upstreams, which it no longer contains itself.
    #[must_use]
    pub fn with_upstreams<'a>(
        &self,
        others: impl IntoIterator<Item = (&'a UpstreamId, &'a Arc<Upstream>)>,
    ) -> Self {
        let mut set = self.clone();
        for (name, upstream) in others {
            Arc::make_mut(&mut set.upstreams).insert(Arc::clone(name), Arc::clone(upstream));
            for shard in &upstream.holds {
                set.change_holders(shard, |names| names.push(Arc::clone(name)));
            }
        }
        set
    }

    /// Returns whether the indexes, services and upstreams are the same maps as those of `other`.
    #[must_use]
    pub fn shares_upstreams(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.indexes, &other.indexes)
            && Arc::ptr_eq(&self.services, &other.services)
            && Arc::ptr_eq(&self.upstreams, &other.upstreams)
            && Arc::ptr_eq(&self.holders, &other.holders)
    }

    /// Returns the replicas of a shard: those that its service lists, and those that announce it
    /// themselves.
    pub fn replicas(&self, shard: &ShardId) -> impl Iterator<Item = &UpstreamId> {
        let listed =
            shard.split_once('/').and_then(|(service, name)| self.services.get(service)?.shards.get(name));
        let held = self.holders.get(shard).map_or(&[][..], |names| names);
        let unlisted = move |name: &&UpstreamId| listed.is_none_or(|listed| !listed.contains(name));
        listed.into_iter().flatten().chain(held.iter().filter(unlisted))
    }

    /// Returns the sum of the catalogs' editions; 0 if there are none.
    #[must_use]
    pub fn edition(&self) -> Edition {
        self.catalogs.values().map(|catalog| catalog.edition).sum()
    }

    /// Returns whether client accounts are in force, even if no account is defined.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty() || self.catalogs.values().any(|catalog| catalog.accounts.is_some())
    }

    /// Returns the size limits for callers' requests: of each, the lowest that is published.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        let all = || self.catalogs.values().map(|catalog| catalog.bounds);
        Bounds {
            head_bytes: all().filter_map(|bounds| bounds.head_bytes).min(),
            body_bytes: all().filter_map(|bounds| bounds.body_bytes).min(),
        }
    }
}

fn put<T: Clone + DeserializeOwned + PartialEq>(
    map: &mut Resources<T>,
    key: &Key,
    name: &str,
    value: Option<&str>,
) -> Result<(), ResourceError> {
    let parsed = match value.map(serde_json::from_str::<T>) {
        Some(Ok(parsed)) => parsed,
        missing => {
            if map.contains_key(name) {
                Arc::make_mut(map).remove(name);
            }
            let Some(Err(error)) = missing else { return Ok(()) };
            let detail = error.to_string();
            return Err(ResourceError { key: Arc::clone(key), code: Code::ResourceMalformed, detail });
        }
    };
    // An unchanged value keeps its allocation, so that nothing is recomputed for it.
    if map.get(name).is_none_or(|held| **held != parsed) {
        Arc::make_mut(map).insert(name.into(), Arc::new(parsed));
    }
    Ok(())
}
