//! Items of the platform's store. Each is parsed by itself, as any client of the store may have
//! written it: one that can't be read doesn't affect the others.

use serde::Deserialize;
use serde::Deserializer;
use serde_bytes::ByteBuf;
use serde_json::value::RawValue;

use crate::domain::ids::Era;
use crate::domain::revision::Revision;

/// An item of a listing or a watch.
#[derive(Debug)]
pub(super) struct Item {
    /// The item's key, with replacement characters where it isn't valid Unicode; empty if it can't
    /// be read.
    pub key: String,
    /// The revision of the item's last change; `None` if it can't be read.
    pub revision: Option<u64>,
    /// What the item holds, or why that can't be read.
    pub content: Result<Content, serde_json::Error>,
}

/// What an item holds.
#[derive(Debug)]
pub(super) enum Content {
    /// The value, in base64; `None` if the item has none.
    Value(Option<String>),
    /// The key was deleted.
    Tombstone,
}

/// The fields of an item.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Fields {
    /// The name of this field in the store's JSON is misleading: any client can read the key.
    private_key: String,
    #[serde(default)]
    value: Option<String>,
    revision: u64,
    #[serde(default)]
    tombstone: bool,
}

/// What remains of an item that can't be read as a whole: where it stands in a listing or a watch.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Place<'a> {
    /// Bytes, since an escape in a JSON string may be an unpaired surrogate.
    private_key: ByteBuf,
    #[serde(borrow, default)]
    revision: Option<&'a RawValue>,
}

impl Item {
    /// Parses an item's JSON.
    fn parse(json: &str) -> Self {
        match serde_json::from_str(json) {
            Ok(Fields { private_key, value, revision, tombstone }) => Self {
                key: private_key,
                revision: Some(revision),
                content: Ok(if tombstone { Content::Tombstone } else { Content::Value(value) }),
            },
            Err(error) => {
                let place: Place<'_> = serde_json::from_str(json).unwrap_or_default();
                Self {
                    key: String::from_utf8_lossy(&place.private_key).into_owned(),
                    revision: place.revision.and_then(|number| number.get().parse().ok()),
                    content: Err(error),
                }
            }
        }
    }

    /// Returns the revision of the item's last change in an era; its number is 0 if it can't be read.
    pub fn revision_in(&self, era: Era) -> Revision {
        Revision::new(era, self.revision.unwrap_or_default())
    }

    /// Returns whether the item says that its key was deleted.
    pub fn is_tombstone(&self) -> bool {
        matches!(self.content, Ok(Content::Tombstone))
    }
}

impl<'de> Deserialize<'de> for Item {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let raw = <&RawValue>::deserialize(deserializer)?;
        Ok(Self::parse(raw.get()))
    }
}
