//! The platform's store: the one client for it, which reads and watches.

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
use super::unreadable::UnreadableEntries;
use crate::adapters::http::Traffic;
use crate::adapters::reading::JsonReader;
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
use crate::ports::Watched;

/// The key of the configuration.
const CONFIG_KEY: &str = "op/config";

/// The prefix of what the operator says: the configuration, and each evacuation.
const OPERATOR_PREFIX: &str = "op/";

/// The prefix of the evacuations; the availability zone follows.
const EVACUATIONS_PREFIX: &str = "op/evacuate/";

/// The prefix of the upstreams' entries.
const UPSTREAMS_PREFIX: &str = "servers/";

/// The product's key of what the configuration holds.
const CATALOG_KEY: &str = "catalogs/operator";

/// The value of an evacuation: that it stands there is all that it says, whatever else may
/// be written.
const EVACUATION: &str = "{}";

/// One value, or that it was taken away.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Item {
    /// A name that misleads: the item's key, which everyone may read.
    private_key: String,
    /// The bytes, in base64.
    #[serde(default)]
    value: Option<String>,
    revision: u64,
    #[serde(default)]
    tombstone: bool,
}

/// A page of a prefix.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    items: Vec<Item>,
    truncated: bool,
    store_revision: u64,
}

/// The revisions that pages were read at.
#[derive(Debug, Default)]
struct PageRevisions {
    range: Option<(Revision, Revision)>,
}

impl PageRevisions {
    /// Takes the next page's revision; pages of two eras are no listing.
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

/// The answer to a watch.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Events {
    events: Vec<Item>,
    store_revision: u64,
}

/// Reads the store by HTTP. It lists no hosts: daemons find each other.
#[derive(Clone, Debug)]
pub struct HttpStore {
    reader: JsonReader,
    unreadable: UnreadableEntries,
}

impl HttpStore {
    /// Creates the client on one thread's executor; `traffic` counts its bytes, and
    /// `left_out` shows how many entries name no upstream.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>, traffic: Traffic, unreadable: Gauge) -> Self {
        let answers =
            ReplyFormat { gone: &[StatusCode::GONE, StatusCode::NOT_FOUND], era: Some(headers::ERA) };
        Self {
            reader: JsonReader::new(executor, traffic, answers),
            unreadable: UnreadableEntries::new(unreadable),
        }
    }

    async fn list_config(&self, copy: SocketAddr) -> Result<Listing, PlatformError> {
        let mut pages = PageRevisions::default();
        let operator = self.read_pages(copy, OPERATOR_PREFIX, &mut pages).await?;
        // Without it all lookups would be taken away.
        let config = operator.iter().find(|item| item.private_key == CONFIG_KEY);
        let config = config.ok_or_else(|| PlatformError::Malformed("nothing is published yet".to_owned()))?;
        decode(config).map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let upstreams = self.read_pages(copy, UPSTREAMS_PREFIX, &mut pages).await?;
        let mut listing = pages.listing();
        for item in operator.iter().chain(&upstreams) {
            self.add_item(&mut listing, item);
        }
        let listed: HashSet<&str> = upstreams.iter().map(|item| &*item.private_key).collect();
        self.unreadable.retain_listed(|key| listed.contains(key));
        Ok(listing)
    }

    /// Reads all pages of a prefix; notes the revisions that they were read at.
    async fn read_pages(
        &self,
        copy: SocketAddr,
        prefix: &str,
        pages: &mut PageRevisions,
    ) -> Result<Vec<Item>, PlatformError> {
        let (mut items, mut after) = (Vec::new(), String::new());
        loop {
            let path = format!("/-/kv-range?pathPrefix={prefix}{after}");
            let StoreReply { era, body } = self.reader.get::<Page>(copy, &path, READ_LIMIT).await?;
            let page = body.ok_or_else(|| PlatformError::Malformed("a page is gone".to_owned()))?;
            pages.record(Revision::new(era, page.store_revision))?;
            let last = page.items.last().map(|item| item.private_key.clone());
            items.extend(page.items);
            match last.filter(|_| page.truncated) {
                Some(key) => after = format!("&after={key}"),
                None => return Ok(items),
            }
        }
    }

    /// Puts an item into a listing, where it is the product's business.
    fn add_item(&self, listing: &mut Listing, item: &Item) {
        if let Some(Change { key, value: Some(value) }) = self.parse_change(listing.first.era, item) {
            listing.items.insert(key, value);
        }
    }

    /// Decodes an item into a change of the product's resources; none where it is none of
    /// the product's business, or a configuration that cannot be read, which leaves the one
    /// before in force.
    ///
    /// An entry that cannot be read takes its upstream away, as its deletion would: those
    /// that list find the same as those that watched, and an upstream that lives writes its
    /// entry again within a second or two.
    fn parse_change(&self, era: Era, item: &Item) -> Option<Change> {
        let name = &item.private_key;
        let id = name.strip_prefix(UPSTREAMS_PREFIX);
        let key: Key = match id {
            Some(id) if is_valid_id(id) => format!("upstreams/{id}").into(),
            None if name == CONFIG_KEY => CATALOG_KEY.into(),
            _ => return parse_evacuation(item),
        };
        if item.tombstone {
            self.unreadable.clear(name);
            return Some(Change { key, value: None });
        }
        match decode(item) {
            Ok(value) => {
                self.unreadable.clear(name);
                Some(Change { key, value: Some(value.into()) })
            }
            Err(error) => {
                self.unreadable.record(name, Revision::new(era, item.revision), &error);
                id.is_some().then_some(Change { key, value: None })
            }
        }
    }
}

/// Decodes an evacuation's item; none where it is not one.
fn parse_evacuation(item: &Item) -> Option<Change> {
    let zone = item.private_key.strip_prefix(EVACUATIONS_PREFIX).filter(|zone| !zone.is_empty())?;
    let value = (!item.tombstone).then(|| EVACUATION.into());
    Some(Change { key: format!("evacuations/{zone}").into(), value })
}

/// Says whether a text may be an upstream's id: it is sent in a header, and is no path.
fn is_valid_id(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/')
}

impl Platform for HttpStore {
    async fn list(&self, copy: SocketAddr, space: Space) -> Result<Listing, PlatformError> {
        match space {
            Space::Config => self.list_config(copy).await,
            Space::Hosts => Err(no_hosts()),
        }
    }

    async fn watch(
        &self,
        copy: SocketAddr,
        space: Space,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, PlatformError> {
        if space == Space::Hosts {
            return Err(no_hosts());
        }
        let Revision { era: known_era, number } = after;
        let path = format!("/-/kv-watch?pathPrefix=&after={number}&waitMs={}", wait.as_millis());
        let StoreReply { era, body } = self.reader.get::<Events>(copy, &path, watch_limit(wait)).await?;
        // Of another era, the events say nothing of what was written below the number.
        if era > known_era {
            return Ok(Watched::Restored(era));
        }
        let revision_at = |number| Revision::new(era, number);
        if era < known_era {
            return Err(PlatformError::Behind(revision_at(body.map_or(0, |events| events.store_revision))));
        }
        let Some(Events { events, store_revision }) = body else { return Ok(Watched::Compacted) };
        let newer = events.iter().filter(|item| item.revision > number);
        let changes =
            newer.filter_map(|item| Some((revision_at(item.revision), self.parse_change(era, item)?)));
        Ok(Watched::Changes { deltas: deltas(after, changes), at: revision_at(store_revision) })
    }
}

/// An answer made up here would pass for one of the store.
fn no_hosts() -> PlatformError {
    PlatformError::Malformed("the store lists no hosts".to_owned())
}

/// Why an item cannot be read.
#[derive(Debug, thiserror::Error)]
enum DecodeError {
    #[error("it has no value")]
    Empty,
    #[error("{0}")]
    Base64(#[from] base64::DecodeError),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Entry(#[from] EntryError),
}

/// Decodes an item's value into a resource's JSON.
fn decode(item: &Item) -> Result<String, DecodeError> {
    let text = item.value.as_deref().ok_or(DecodeError::Empty)?;
    let bytes = STANDARD.decode(text)?;
    let json = if item.private_key == CONFIG_KEY {
        serde_json::to_string(&parse_catalog(&bytes)?)?
    } else {
        serde_json::to_string(&parse_upstream(&bytes)?)?
    };
    Ok(json)
}
