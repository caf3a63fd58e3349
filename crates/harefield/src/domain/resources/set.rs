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
use crate::domain::ids::Key;

/// Every resource of one revision, by kind and name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceSet {
    /// The services.
    pub services: BTreeMap<Arc<str>, Service>,
    /// The upstreams.
    pub upstreams: BTreeMap<Arc<str>, Upstream>,
    /// The lookups.
    pub lookups: BTreeMap<Arc<str>, Lookup>,
    /// The indexes.
    pub indexes: BTreeMap<Arc<str>, Index>,
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
            if let Err(fault) = set.insert(key, value) {
                faults.push(fault);
            }
        }
        faults.extend(Checker::new(&set).run());
        if faults.is_empty() { Ok(set) } else { Err(faults) }
    }

    fn insert(&mut self, key: &Key, value: &str) -> Result<(), Fault> {
        if value.len() > MAX_VALUE_BYTES {
            let detail = format!("{} bytes", value.len());
            return Err(Fault { key: Arc::clone(key), code: Code::ResourceTooLarge, detail });
        }
        match key.split_once('/') {
            Some(("services", name)) => put(&mut self.services, key, name, value),
            Some(("upstreams", name)) => put(&mut self.upstreams, key, name, value),
            Some(("lookups", name)) => put(&mut self.lookups, key, name, value),
            Some(("indexes", name)) => put(&mut self.indexes, key, name, value),
            _ => {
                let detail = "expected services/, upstreams/, lookups/ or indexes/".to_owned();
                Err(Fault { key: Arc::clone(key), code: Code::ResourceUnknownKind, detail })
            }
        }
    }
}

fn put<T: DeserializeOwned>(
    map: &mut BTreeMap<Arc<str>, T>,
    key: &Key,
    name: &str,
    value: &str,
) -> Result<(), Fault> {
    let parsed = serde_json::from_str(value).map_err(|error| Fault {
        key: Arc::clone(key),
        code: Code::ResourceMalformed,
        detail: error.to_string(),
    })?;
    map.insert(name.into(), parsed);
    Ok(())
}
