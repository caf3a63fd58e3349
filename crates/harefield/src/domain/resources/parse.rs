//! Parsing and validation of a resource set, as a whole or from changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::check::Checker;
use super::error::ResourceError;
use super::set::ResourceSet;
use crate::domain::catalogs::divide_items;
use crate::domain::feed::Change;
use crate::domain::feed::Items;
use crate::domain::ids::Key;

impl ResourceSet {
    /// Parses and validates a set from JSON values by key.
    ///
    /// # Errors
    ///
    /// Returns all errors of the set; a set with errors is rejected as a whole.
    pub fn parse<'a>(
        items: impl IntoIterator<Item = (&'a Key, &'a Arc<str>)>,
    ) -> Result<Self, Vec<ResourceError>> {
        let mut set = Self::default();
        let mut errors = Vec::new();
        let items: Items =
            items.into_iter().map(|(key, value)| (Arc::clone(key), Arc::clone(value))).collect();
        for (key, value) in &*divide_items(&items) {
            errors.extend(set.put(key, Some(value)).err());
        }
        errors.extend(Checker::new(&set).check_all());
        if errors.is_empty() { Ok(set) } else { Err(errors) }
    }

    /// Applies changes, whose catalogs are divided, to a valid set, and validates the resources
    /// that they affect. The outcome is the same as of parsing the whole new set.
    ///
    /// # Errors
    ///
    /// Returns all errors that the changes introduce.
    pub fn apply(&self, changes: &[Change]) -> Result<Self, Vec<ResourceError>> {
        let newest: BTreeMap<&Key, Option<&str>> =
            changes.iter().map(|change| (&change.key, change.value.as_deref())).collect();
        let mut set = self.clone();
        let mut errors = Vec::new();
        for (key, value) in &newest {
            errors.extend(set.put(key, *value).err());
        }
        errors.extend(Checker::new(&set).check_affected(newest.into_keys()));
        if errors.is_empty() { Ok(set) } else { Err(errors) }
    }
}
