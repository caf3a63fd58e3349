//! The only client of the platform's store: lists and watches its entries.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::StatusCode;
use prometheus_client::metrics::gauge::Gauge;
use serde::Deserialize;

use super::documents::EntryError;
use super::documents::parse_catalog;
use super::documents::parse_upstream;
use super::headers;
use super::items::Content;
use super::items::Item;
use super::left_out::UnreadableEntries;
use crate::adapters::http;
use crate::adapters::http::Traffic;
use crate::adapters::reading::JsonReader;
use crate::adapters::reading::PageCursor;
use crate::adapters::reading::READ_LIMIT;
use crate::adapters::reading::ReplyFormat;
use crate::adapters::reading::StoreReply;
use crate::adapters::reading::deltas;
use crate::adapters::reading::watch_limit;
use crate::domain::feed::Change;
use crate::domain::ids::Era;
use crate::domain::ids::Key;
use crate::domain::revision::Revision;
use crate::ports::Listing;
use crate::ports::Platform;
use crate::ports::PlatformError;
use crate::ports::Space;
use crate::ports::WatchResult;

/// The key of the configuration document.
const CONFIG_KEY: &str = "op/config";

/// The prefix of all keys that the operator writes: the configuration and the evacuations.
const OPERATOR_PREFIX: &str = "op/";

/// The prefix of the evacuations; the name of the availability zone follows.
const EVACUATIONS_PREFIX: &str = "op/evacuate/";

/// The prefix of the upstreams' entries.
const UPSTREAMS_PREFIX: &str = "servers/";

/// The key under which harefield stores the decoded configuration.
const CATALOG_KEY: &str = "catalogs/operator";

/// The decoded value of an evacuation. Only the presence of the key matters; the stored value is
/// ignored.
const EVACUATION: &str = "{}";

/// One page of the listing of a prefix.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    items: Vec<Item>,
    truncated: bool,
    store_revision: u64,
}

impl Page {
    /// Returns the key that the next page starts from; `None` if this is the last page.
    fn next(&self, cursor: &mut PageCursor) -> Result<Option<String>, PlatformError> {
        if !self.truncated {
            return Ok(None);
        }
        let keys = self.items.iter().map(|item| item.key.as_str());
        let last = keys.rev().find(|key| !key.is_empty());
        cursor.advance(last).map(Some)
    }
}

/// The range of revisions at which the pages of a listing were read.
#[derive(Debug, Default)]
struct PageRevisions {
    range: Option<(Revision, Revision)>,
}

impl PageRevisions {
    /// Records the revision of the next page. Fails if the pages are from two eras, as they make no
    /// consistent listing.
    fn record(&mut self, revision: Revision) -> Result<(), PlatformError> {
        let (first, last) = self.range.unwrap_or((revision, revision));
        if first.era != revision.era {
            return Err(PlatformError::Restored);
        }
        self.range = Some((first.min(revision), last.max(revision)));
        Ok(())
    }

    fn listing(&self) -> Listing {
        let (first, last) = self.range.unwrap_or_default();
        Listing { first, last, ..Listing::default() }
    }
}

/// The reply to a watch.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Events {
    events: Vec<Item>,
    store_revision: u64,
}

/// Reads the platform's store over HTTP. The store lists no hosts: daemons find each other by
/// gossip.
#[derive(Clone, Debug)]
pub struct HttpStore {
    reader: JsonReader,
    unreadable: UnreadableEntries,
}

impl HttpStore {
    /// Creates the client on one thread's executor. `traffic` counts the bytes it receives, and
    /// `unreadable` shows the number of upstream entries that can't be decoded.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>, traffic: Traffic, unreadable: Gauge) -> Self {
        let answers =
            ReplyFormat { gone: &[StatusCode::GONE, StatusCode::NOT_FOUND], era: Some(headers::ERA) };
        Self {
            reader: JsonReader::new(executor, traffic, answers),
            unreadable: UnreadableEntries::new(unreadable),
        }
    }

    async fn list_config(&self, replica: SocketAddr) -> Result<Listing, PlatformError> {
        let mut pages = PageRevisions::default();
        let operator = self.read_pages(replica, OPERATOR_PREFIX, &mut pages).await?;
        // A listing without the configuration would remove all lookups.
        let config = operator.iter().find(|item| item.key == CONFIG_KEY);
        let config = config
            .ok_or_else(|| PlatformError::Malformed("the store holds no configuration yet".to_owned()))?;
        decode(config).map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let upstreams = self.read_pages(replica, UPSTREAMS_PREFIX, &mut pages).await?;
        let mut listing = pages.listing();
        for item in operator.iter().chain(&upstreams) {
            self.add_item(&mut listing, item);
        }
        let listed: HashSet<&str> = upstreams.iter().map(|item| &*item.key).collect();
        self.unreadable.retain_listed(|key| listed.contains(key));
        Ok(listing)
    }

    /// Reads all pages of a prefix and records the revision of each.
    async fn read_pages(
        &self,
        replica: SocketAddr,
        prefix: &str,
        pages: &mut PageRevisions,
    ) -> Result<Vec<Item>, PlatformError> {
        let (mut items, mut cursor) = (Vec::new(), PageCursor::default());
        let mut after = String::new();
        loop {
            let path = format!("/-/kv-range?pathPrefix={}{after}", http::encode(prefix));
            let StoreReply { era, body } = self.reader.get::<Page>(replica, &path, READ_LIMIT).await?;
            let page = body.ok_or_else(|| {
                PlatformError::Malformed("a page of the listing no longer exists".to_owned())
            })?;
            pages.record(Revision::new(era, page.store_revision))?;
            let next = page.next(&mut cursor)?;
            items.extend(page.items);
            match next {
                Some(key) => after = format!("&after={}", http::encode(&key)),
                None => return Ok(items),
            }
        }
    }

    /// Adds an item to a listing if harefield uses it.
    fn add_item(&self, listing: &mut Listing, item: &Item) {
        if let Some(Change { key, value: Some(value) }) = self.parse_change(listing.first.era, item) {
            listing.items.insert(key, value);
        }
    }

    /// Decodes an item into a change of one of harefield's resources. Returns `None` if the item
    /// isn't used, or if it is a configuration that can't be decoded; the previous configuration
    /// then stays in force.
    ///
    /// An upstream's entry that can't be decoded removes the upstream, as a deletion would. This
    /// way daemons that list and daemons that watch arrive at the same state, and an upstream that
    /// is alive writes its entry again within a second or two.
    fn parse_change(&self, era: Era, item: &Item) -> Option<Change> {
        let name = item.key.as_str();
        let id = name.strip_prefix(UPSTREAMS_PREFIX);
        let key: Key = match id {
            Some(id) if is_valid_id(id) => format!("upstreams/{id}").into(),
            None if name == CONFIG_KEY => CATALOG_KEY.into(),
            None if !name.is_empty() => return parse_evacuation(item),
            // No upstream has such a key, whatever its value says.
            _ if item.is_tombstone() => {
                self.unreadable.clear(name);
                return None;
            }
            _ => {
                self.unreadable.record(name, item.revision_in(era), &DecodeError::Key);
                return None;
            }
        };
        if item.is_tombstone() {
            self.unreadable.clear(name);
            return Some(Change { key, value: None });
        }
        match decode(item) {
            Ok(value) => {
                self.unreadable.clear(name);
                Some(Change { key, value: Some(value.into()) })
            }
            Err(error) => {
                self.unreadable.record(name, item.revision_in(era), &error);
                id.is_some().then_some(Change { key, value: None })
            }
        }
    }
}

/// Decodes the item of an evacuation; returns `None` for any other item.
fn parse_evacuation(item: &Item) -> Option<Change> {
    let zone = item.key.strip_prefix(EVACUATIONS_PREFIX).filter(|zone| !zone.is_empty())?;
    let value = (!item.is_tombstone()).then(|| EVACUATION.into());
    Some(Change { key: format!("evacuations/{zone}").into(), value })
}

/// Returns whether a text is valid as an upstream's id: letters, digits, and marks that have no
/// meaning of their own in headers, paths and queries.
fn is_valid_id(text: &str) -> bool {
    let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte);
    !text.is_empty() && text.bytes().all(is_valid)
}

impl Platform for HttpStore {
    async fn list(&self, replica: SocketAddr, space: Space) -> Result<Listing, PlatformError> {
        match space {
            Space::Config => self.list_config(replica).await,
            Space::Hosts => Err(no_hosts()),
        }
    }

    async fn watch(
        &self,
        replica: SocketAddr,
        space: Space,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        if space == Space::Hosts {
            return Err(no_hosts());
        }
        let Revision { era: known_era, number } = after;
        let path = format!("/-/kv-watch?pathPrefix=&after={number}&waitMs={}", wait.as_millis());
        let StoreReply { era, body } = self.reader.get::<Events>(replica, &path, watch_limit(wait)).await?;
        // After a restore, the events don't cover what was written below the known number.
        if era > known_era {
            return Ok(WatchResult::Restored(era));
        }
        let revision_at = |number| Revision::new(era, number);
        if era < known_era {
            return Err(PlatformError::Behind(revision_at(body.map_or(0, |events| events.store_revision))));
        }
        let Some(Events { events, store_revision }) = body else { return Ok(WatchResult::Compacted) };
        let newer = events.iter().filter(|item| item.revision.is_none_or(|revision| revision > number));
        let changes = newer.filter_map(|item| {
            let change = self.parse_change(era, item);
            Some((revision_at(item.revision?), change?))
        });
        Ok(WatchResult::Changes { deltas: deltas(after, changes), at: revision_at(store_revision) })
    }
}

/// Returns an error, since an empty listing would be taken for the store's own answer.
fn no_hosts() -> PlatformError {
    PlatformError::Malformed("the store does not list hosts".to_owned())
}

/// The reason why an item can't be decoded.
#[derive(Debug, thiserror::Error)]
enum DecodeError {
    #[error("the key is not that of an upstream")]
    Key,
    #[error("{0}")]
    Item(String),
    #[error("the entry has no value")]
    Empty,
    #[error("{0}")]
    Base64(#[from] base64::DecodeError),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Entry(#[from] EntryError),
}

/// Decodes an item's value into the JSON of one of harefield's resources.
fn decode(item: &Item) -> Result<String, DecodeError> {
    let value = match &item.content {
        Ok(Content::Value(value)) => value.as_deref(),
        Ok(Content::Tombstone) => None,
        Err(error) => return Err(DecodeError::Item(error.to_string())),
    };
    let bytes = STANDARD.decode(value.ok_or(DecodeError::Empty)?)?;
    let json = if item.key == CONFIG_KEY {
        serde_json::to_string(&parse_catalog(&bytes)?)?
    } else {
        serde_json::to_string(&parse_upstream(&bytes)?)?
    };
    Ok(json)
}
