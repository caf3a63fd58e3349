//! The client of the platform in harefield's own protocol, over HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::http;
use super::http::Traffic;
use super::reading::JsonReader;
use super::reading::PageCursor;
use super::reading::READ_LIMIT;
use super::reading::ReplyFormat;
use super::reading::deltas;
use super::reading::watch_limit;
use crate::domain::feed::Change;
use crate::domain::ids::Key;
use crate::domain::revision::Revision;
use crate::ports::Listing;
use crate::ports::Platform;
use crate::ports::PlatformError;
use crate::ports::Space;
use crate::ports::WatchResult;

/// One page of a listing.
#[derive(Debug, Deserialize)]
struct Page {
    revision: u64,
    items: Vec<Item>,
    next: Option<Key>,
}

/// One value of a page.
#[derive(Debug, Deserialize)]
struct Item {
    key: Key,
    value: Box<RawValue>,
}

/// The reply to a watch.
#[derive(Debug, Deserialize)]
struct Changes {
    changes: Vec<Row>,
}

/// One change; a removal if it has no value.
#[derive(Debug, Deserialize)]
struct Row {
    revision: u64,
    key: Key,
    value: Option<Box<RawValue>>,
}

impl Row {
    fn into_change(self) -> Change {
        Change { key: self.key, value: self.value.as_deref().map(raw) }
    }
}

/// Reads the platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    reader: JsonReader,
}

impl HttpPlatform {
    /// Creates the client on one thread's executor; `traffic` counts the bytes it receives.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>, traffic: Traffic) -> Self {
        Self {
            reader: JsonReader::new(executor, traffic, ReplyFormat { gone: &[StatusCode::GONE], era: None }),
        }
    }
}

impl Platform for HttpPlatform {
    async fn list(&self, replica: SocketAddr, space: Space) -> Result<Listing, PlatformError> {
        let mut listing = Listing::default();
        let (mut from, mut cursor) = (String::new(), PageCursor::default());
        loop {
            let path = format!("/v1/{}/list?from={}", space.name(), http::encode(&from));
            let page = self.reader.get::<Page>(replica, &path, READ_LIMIT).await?.body;
            let page = page.ok_or_else(|| {
                PlatformError::Malformed("a page of the listing no longer exists".to_owned())
            })?;
            if from.is_empty() {
                listing.first = Revision::first(page.revision);
            }
            listing.last = Revision::first(page.revision);
            listing.items.extend(page.items.into_iter().map(|item| (item.key, raw(&item.value))));
            match page.next {
                Some(next) => from = cursor.advance(Some(&*next))?,
                None => return Ok(listing),
            }
        }
    }

    async fn watch(
        &self,
        replica: SocketAddr,
        space: Space,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        let path = format!("/v1/{}/watch?after={}&wait-ms={}", space.name(), after.number, wait.as_millis());
        let changes = self.reader.get::<Changes>(replica, &path, watch_limit(wait)).await?.body;
        Ok(match changes {
            Some(changes) => {
                let newer = changes.changes.into_iter().filter(|row| row.revision > after.number);
                let changes = newer.map(|row| (Revision::first(row.revision), row.into_change()));
                let deltas = deltas(after, changes);
                let at = deltas.last().map_or(after, |delta| delta.revision);
                WatchResult::Changes { deltas, at }
            }
            None => WatchResult::Compacted,
        })
    }
}

fn raw(value: &RawValue) -> Arc<str> {
    value.get().into()
}
