//! Reading a resource set, whole or by its changes, and checking it.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::check::Checker;
use super::fault::ResourceError;
use super::set::ResourceSet;
use crate::domain::feed::Change;
use crate::domain::ids::Key;

impl ResourceSet {
    /// Reads and checks a set from its keyed JSON values.
    ///
    /// # Errors
    ///
    /// Returns every fault of the set; a set with faults is refused whole.
    pub fn parse<'a>(
        items: impl IntoIterator<Item = (&'a Key, &'a Arc<str>)>,
    ) -> Result<Self, Vec<ResourceError>> {
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
    pub fn apply(&self, changes: &[Change]) -> Result<Self, Vec<ResourceError>> {
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
}
