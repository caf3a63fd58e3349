//! A whole set of resources, read from keyed JSON values.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;

use super::check::Checker;
use super::check::Fault;
use super::check::MAX_VALUE_BYTES;
use super::kinds::Index;
use super::kinds::Lookup;
use super::kinds::Service;
use super::kinds::Upstream;
use crate::domain::code::Code;
use crate::domain::feed::Change;
use crate::domain::ids::Key;

/// Every resource of one revision, by kind and name; sets share what they have
/// in common.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceSet {
    /// The services.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// The upstreams.
    pub upstreams: BTreeMap<Arc<str>, Arc<Upstream>>,
    /// The lookups.
    pub lookups: BTreeMap<Arc<str>, Arc<Lookup>>,
    /// The indexes.
    pub indexes: BTreeMap<Arc<str>, Arc<Index>>,
}

impl ResourceSet {
    /// Reads and checks a set from its keyed JSON values.
    ///
    /// # Errors
    ///
    /// Returns every fault of the set; a set with faults is refused whole.
    pub fn parse<'a>(items: impl IntoIterator<Item = (&'a Key, &'a Arc<str>)>) -> Result<Self, Vec<Fault>> {
        let mut set = Self::default();
        let mut faults = Vec::new();
        for (key, value) in items {
            faults.extend(set.put(key, Some(value)).err());
        }
        faults.extend(Checker::new(&set).check_all());
        if faults.is_empty() { Ok(set) } else { Err(faults) }
    }

    /// Applies changes to a set without faults, and checks what they touch: the
    /// verdict is the same as of reading the whole set anew.
    ///
    /// # Errors
    ///
    /// Returns every fault that the changes bring.
    pub fn apply(&self, changes: &[Change]) -> Result<Self, Vec<Fault>> {
        let newest: BTreeMap<&Key, Option<&str>> =
            changes.iter().map(|change| (&change.key, change.value.as_deref())).collect();
        let mut set = self.clone();
        let mut faults = Vec::new();
        for (key, value) in &newest {
            faults.extend(set.put(key, *value).err());
        }
        faults.extend(Checker::new(&set).check_touched(newest.into_keys()));
        if faults.is_empty() { Ok(set) } else { Err(faults) }
    }

    /// Puts a value under a key, or removes what stands there.
    fn put(&mut self, key: &Key, value: Option<&str>) -> Result<(), Fault> {
        if let Some(size) = value.map(str::len).filter(|size| *size > MAX_VALUE_BYTES) {
            let detail = format!("{size} bytes");
            return Err(Fault { key: Arc::clone(key), code: Code::ResourceTooLarge, detail });
        }
        match key.split_once('/') {
            Some(("services", name)) => put(&mut self.services, key, name, value),
            Some(("upstreams", name)) => put(&mut self.upstreams, key, name, value),
            Some(("lookups", name)) => put(&mut self.lookups, key, name, value),
            Some(("indexes", name)) => put(&mut self.indexes, key, name, value),
            _ if value.is_none() => Ok(()),
            _ => {
                let detail = "expected services/, upstreams/, lookups/ or indexes/".to_owned();
                Err(Fault { key: Arc::clone(key), code: Code::ResourceUnknownKind, detail })
            }
        }
    }
}

fn put<T: DeserializeOwned>(
    map: &mut BTreeMap<Arc<str>, Arc<T>>,
    key: &Key,
    name: &str,
    value: Option<&str>,
) -> Result<(), Fault> {
    map.remove(name);
    let Some(value) = value else { return Ok(()) };
    let parsed: T = serde_json::from_str(value).map_err(|error| Fault {
        key: Arc::clone(key),
        code: Code::ResourceMalformed,
        detail: error.to_string(),
    })?;
    map.insert(name.into(), Arc::new(parsed));
    Ok(())
}
