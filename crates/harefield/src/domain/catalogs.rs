//! Catalogs divided into one value for each resource, so that a change of one resource is small.
//!
//! The platform publishes a catalog as one value. A daemon holds its head under the catalog's key,
//! marked as divided, and each of its resources under a key of its own,
//! `catalogs/NAME/KIND/RESOURCE`. Only what differs from the held values is a change.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

use itertools::EitherOrBoth::Both;
use itertools::EitherOrBoth::Left;
use itertools::EitherOrBoth::Right;
use itertools::Itertools;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use super::feed::Change;
use super::feed::Delta;
use super::feed::DeltaKind;
use super::feed::Items;
use super::feed::News;
use super::ids::Key;
use super::is_default;

/// The prefix of the keys of catalogs.
const PREFIX: &str = "catalogs/";

/// The kinds of resources in catalogs, in the order of their keys.
const KINDS: [&str; 4] = ["accounts", "indexes", "lookups", "services"];

/// The resources of one kind, as text.
type RawResources<'a> = BTreeMap<Cow<'a, str>, &'a RawValue>;

/// One resource of a catalog.
struct Part<'a> {
    kind: &'static str,
    name: Cow<'a, str>,
    value: &'a str,
}

/// A catalog whose resources are left as text.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct RawCatalog<'a> {
    #[serde(borrow, default, skip_serializing_if = "BTreeMap::is_empty")]
    services: RawResources<'a>,
    #[serde(borrow, default, skip_serializing_if = "BTreeMap::is_empty")]
    indexes: RawResources<'a>,
    #[serde(borrow, default, skip_serializing_if = "BTreeMap::is_empty")]
    lookups: RawResources<'a>,
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    accounts: Option<RawResources<'a>>,
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    bounds: Option<&'a RawValue>,
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    edition: Option<&'a RawValue>,
    #[serde(default, skip_serializing_if = "is_default")]
    divided: bool,
}

impl<'a> RawCatalog<'a> {
    /// Takes the resources out, in the order of their kinds and names; leaves the head.
    fn take_parts(&mut self) -> impl Iterator<Item = Part<'a>> + use<'a> {
        self.divided = true;
        let accounts = self.accounts.as_mut().map(std::mem::take).unwrap_or_default();
        let resources = [
            accounts,
            std::mem::take(&mut self.indexes),
            std::mem::take(&mut self.lookups),
            std::mem::take(&mut self.services),
        ];
        KINDS.into_iter().zip(resources).flat_map(|(kind, resources)| {
            resources.into_iter().map(move |(name, value)| Part { kind, name, value: value.get() })
        })
    }

    fn insert(&mut self, (kind, name): (&'a str, &'a str), value: &'a RawValue) {
        let resources = match kind {
            "services" => &mut self.services,
            "indexes" => &mut self.indexes,
            "lookups" => &mut self.lookups,
            _ => self.accounts.get_or_insert_default(),
        };
        resources.insert(Cow::Borrowed(name), value);
    }

    /// Returns whether this is the head of a divided catalog.
    fn is_head(&self) -> bool {
        let none = self.services.is_empty() && self.indexes.is_empty() && self.lookups.is_empty();
        self.divided && none && self.accounts.as_ref().is_none_or(BTreeMap::is_empty)
    }
}

/// Returns the kind and name of the resource if a key is that of a divided catalog's resource.
///
/// The argument is what follows `catalogs/`. The name of the catalog may contain slashes.
#[must_use]
pub fn part_of(name: &str) -> Option<(&str, &str)> {
    let mut after_catalog = name.match_indices('/').map(|(at, _)| &name[at + 1..]);
    after_catalog.find_map(split_part)
}

/// Splits what follows the key of a catalog into the kind and name of a resource; `None` if it is
/// the end of another catalog's key.
fn split_part(part: &str) -> Option<(&str, &str)> {
    part.split_once('/').filter(|(kind, _)| KINDS.contains(kind))
}

/// Returns whether a key is that of a catalog or of its head.
#[must_use]
pub fn is_catalog(key: &str) -> bool {
    key.strip_prefix(PREFIX).is_some_and(|name| part_of(name).is_none())
}

/// Returns whether a key is that of a catalog, its head or one of its resources.
fn is_of_catalogs(key: &str) -> bool {
    key.starts_with(PREFIX)
}

/// Divides the catalogs among changes of the held values.
///
/// Of a catalog only what differs from `held` is listed. A catalog that cannot be read is kept as
/// it is, to be rejected.
#[must_use]
pub fn divide<'a>(changes: &'a [Change], held: &Items) -> Cow<'a, [Change]> {
    if !changes.iter().any(|change| is_catalog(&change.key)) {
        return Cow::Borrowed(changes);
    }
    let mut divided = DividedChanges { held, changes: BTreeMap::new(), replaced: false };
    for change in changes {
        divided.add(change);
    }
    if !divided.replaced {
        return Cow::Borrowed(changes);
    }
    Cow::Owned(divided.changes.into_iter().map(|(key, value)| Change { key, value }).collect())
}

/// Changes of the held values, of which the last one of a key counts.
struct DividedChanges<'a> {
    held: &'a Items,
    changes: BTreeMap<Key, Option<Arc<str>>>,
    /// Whether a whole catalog was replaced or removed.
    replaced: bool,
}

impl<'a> DividedChanges<'a> {
    fn add(&mut self, change: &Change) {
        let key = &change.key;
        if !is_catalog(key) {
            self.changes.insert(Arc::clone(key), change.value.clone());
            return;
        }
        let catalog = match change.value.as_deref().map(serde_json::from_str::<RawCatalog<'_>>) {
            Some(Ok(catalog)) if !catalog.is_head() => catalog,
            None => RawCatalog::default(),
            Some(_) => {
                self.changes.insert(Arc::clone(key), change.value.clone());
                return;
            }
        };
        self.replace(key, catalog, change.value.is_none());
    }

    /// Replaces a catalog and all of its resources.
    fn replace(&mut self, key: &Key, mut catalog: RawCatalog<'_>, removed: bool) {
        self.replaced = true;
        let prefix: Key = format!("{key}/").into();
        let before = self.parts_before(&prefix);
        let changed = changed_parts(&prefix, &before, catalog.take_parts());
        self.changes.extend(changed);
        let head = (!removed).then(|| serde_json::to_string(&catalog).unwrap_or_default().into());
        self.changes.insert(Arc::clone(key), head);
    }

    /// Returns the values, of which those with a prefix are as the changes so far leave them.
    fn parts_before(&self, prefix: &Key) -> Cow<'a, Items> {
        let changed = self.changes.range(Arc::clone(prefix)..);
        let mut before = Cow::Borrowed(self.held);
        for (key, value) in changed.take_while(|(key, _)| key.starts_with(&**prefix)) {
            Change { key: Arc::clone(key), value: value.clone() }.apply_to(before.to_mut());
        }
        before
    }
}

/// Returns the resources of a catalog that differ between those held under its prefix and `parts`,
/// by key. Both are in the same order.
fn changed_parts<'a>(
    prefix: &Key,
    held: &Items,
    parts: impl Iterator<Item = Part<'a>>,
) -> Vec<(Key, Option<Arc<str>>)> {
    let with_prefix = held.range(Arc::clone(prefix)..).take_while(|(key, _)| key.starts_with(&**prefix));
    let held_parts =
        with_prefix.filter_map(|(key, value)| Some((key, split_part(&key[prefix.len()..])?, value)));
    let pairs = held_parts.merge_join_by(parts, |(_, held, _), part| held.cmp(&(part.kind, &*part.name)));
    let changed = pairs.filter_map(|pair| match pair {
        Both((_, _, value), part) if **value == *part.value => None,
        Both((key, ..), part) => Some((Arc::clone(key), Some(part.value.into()))),
        Left((key, ..)) => Some((Arc::clone(key), None)),
        Right(part) => {
            let key = format!("{prefix}{}/{}", part.kind, part.name).into();
            Some((key, Some(part.value.into())))
        }
    });
    changed.collect()
}

/// Divides the catalogs among changes of the held values, and returns which changes are listed then.
///
/// A catalog that replaces several revisions at once tells nothing of those in between, so that the
/// result applies at its base only.
#[must_use]
pub fn divide_kind<'a>(
    changes: &'a [Change],
    kind: DeltaKind,
    held: &Items,
) -> (Cow<'a, [Change]>, DeltaKind) {
    let changes = divide(changes, held);
    let is_divided = matches!(changes, Cow::Owned(_));
    let kind = if is_divided && kind == DeltaKind::Cumulative { DeltaKind::Difference } else { kind };
    (changes, kind)
}

/// Divides the catalogs of consecutive deltas that continue the held values.
#[must_use]
pub fn divide_chain(deltas: &[Delta], held: &Items) -> Vec<Delta> {
    let changes_catalogs = |delta: &&Delta| delta.changes.iter().any(|change| is_of_catalogs(&change.key));
    let follow_up = deltas.iter().filter(changes_catalogs).count() > 1;
    let mut held = Cow::Borrowed(held);
    let mut divided: Vec<Delta> = Vec::with_capacity(deltas.len());
    for delta in deltas {
        let (changes, kind) = divide_kind(&delta.changes, delta.kind, &held);
        let delta = Delta { changes: changes.into_owned(), kind, ..*delta };
        if follow_up {
            let held = held.to_mut();
            delta.changes.iter().for_each(|change| change.apply_to(held));
        }
        divided.push(delta);
    }
    divided
}

/// Divides the catalogs among values.
#[must_use]
pub fn divide_items(items: &Items) -> Cow<'_, Items> {
    let catalogs: Vec<Change> = items
        .iter()
        .filter(|(key, _)| is_catalog(key))
        .map(|(key, value)| Change { key: Arc::clone(key), value: Some(Arc::clone(value)) })
        .collect();
    let Cow::Owned(changes) = divide(&catalogs, &Items::new()) else { return Cow::Borrowed(items) };
    let mut divided = items.clone();
    divided.extend(changes.into_iter().filter_map(|change| Some((change.key, change.value?))));
    Cow::Owned(divided)
}

/// Returns the values with each divided catalog as one value again.
#[must_use]
pub fn join_items(items: &Items) -> Items {
    let mut joined: Items = items
        .iter()
        .filter(|(key, _)| !is_of_catalogs(key))
        .map(|(key, value)| (Arc::clone(key), Arc::clone(value)))
        .collect();
    for (key, head) in items.range(Key::from(PREFIX)..).take_while(|(key, _)| is_of_catalogs(key)) {
        if is_catalog(key) {
            let catalog = join_catalog(key, head, items);
            joined.insert(Arc::clone(key), catalog.unwrap_or_else(|| Arc::clone(head)));
        }
    }
    joined
}

/// Returns a divided catalog as one text; `None` if it is not divided.
fn join_catalog(key: &Key, head: &str, items: &Items) -> Option<Arc<str>> {
    let mut catalog: RawCatalog<'_> = serde_json::from_str(head).ok()?;
    if !catalog.divided {
        return None;
    }
    catalog.divided = false;
    let prefix: Key = format!("{key}/").into();
    let parts = items.range(Arc::clone(&prefix)..).take_while(|(key, _)| key.starts_with(&*prefix));
    for (part_key, value) in parts {
        let part = split_part(&part_key[prefix.len()..]);
        if let (Some(part), Ok(value)) = (part, serde_json::from_str(value)) {
            catalog.insert(part, value);
        }
    }
    Some(serde_json::to_string(&catalog).ok()?.into())
}

/// Returns updates for a daemon that knows no divided catalogs, where `items` are the newest
/// values.
#[must_use]
pub fn join_news(news: News, items: &Items) -> News {
    match news {
        News::Current => News::Current,
        News::Full { revision, items } => News::Full { revision, items: join_items(&items) },
        News::Deltas(deltas) => {
            News::Deltas(deltas.into_iter().map(|delta| join_delta(delta, items)).collect())
        }
        News::WithRetained { news, retained } => {
            News::WithRetained { news: Box::new(join_news(*news, items)), retained }
        }
    }
}

fn join_delta(delta: Delta, items: &Items) -> Delta {
    let (of_catalogs, mut changes): (Vec<Change>, Vec<Change>) =
        delta.changes.into_iter().partition(|change| is_of_catalogs(&change.key));
    for change in of_catalogs.into_iter().filter(|change| is_catalog(&change.key)) {
        let head = items.get(&change.key);
        let value =
            head.map(|head| join_catalog(&change.key, head, items).unwrap_or_else(|| Arc::clone(head)));
        changes.push(Change { key: change.key, value });
    }
    Delta { changes, ..delta }
}
