//! The platform's service by HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::http;
use super::http::Traffic;
use crate::domain::feed::Change;
use crate::domain::feed::Delta;
use crate::domain::ids::Key;
use crate::domain::ids::Revision;
use crate::ports::Listing;
use crate::ports::Platform;
use crate::ports::PlatformError;
use crate::ports::Space;
use crate::ports::Watched;

/// The most bytes of one reply: a page holds at most one megabyte of values.
const MOST_REPLY: usize = 8 << 20;

/// How long a read may take, beyond the wait of a watch.
const READ_LIMIT: Duration = Duration::from_secs(2);

/// One page of a listing.
#[derive(Debug, Deserialize)]
struct Page {
    revision: Revision,
    items: Vec<Item>,
    next: Option<Key>,
}

/// One value of a page.
#[derive(Debug, Deserialize)]
struct Item {
    key: Key,
    value: Box<RawValue>,
}

/// What a watch answers.
#[derive(Debug, Deserialize)]
struct Changes {
    changes: Vec<Row>,
}

/// One change; removed where it has no value.
#[derive(Debug, Deserialize)]
struct Row {
    revision: Revision,
    key: Key,
    value: Option<Box<RawValue>>,
}

/// Reads the platform by HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    executor: Rc<LocalExecutor<'static>>,
    traffic: Traffic,
}

impl HttpPlatform {
    /// Creates the adapter on one thread's executor; `traffic` counts its bytes.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>, traffic: Traffic) -> Self {
        Self { executor, traffic }
    }

    async fn get<R: DeserializeOwned>(
        &self,
        copy: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<Option<R>, PlatformError> {
        let request = Request::get(path).header("host", copy.to_string()).body(Full::default());
        let request = request.map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let reply = http::exchange(&self.executor, copy, request, MOST_REPLY, limit).await;
        let reply = reply.map_err(|_error| PlatformError::Unreachable)?;
        self.traffic.count(0, reply.body().len());
        match reply.status() {
            StatusCode::OK => {}
            StatusCode::GONE => return Ok(None),
            _ => return Err(PlatformError::Unreachable),
        }
        let parsed = serde_json::from_slice(reply.body());
        parsed.map(Some).map_err(|error| PlatformError::Malformed(error.to_string()))
    }
}

impl Platform for HttpPlatform {
    async fn list(&self, copy: SocketAddr, space: Space) -> Result<Listing, PlatformError> {
        let mut listing = Listing::default();
        let mut from = String::new();
        loop {
            let path = format!("/v1/{}/list?from={from}", space.name());
            let page: Option<Page> = self.get(copy, &path, READ_LIMIT).await?;
            let page = page.ok_or_else(|| PlatformError::Malformed("a page is gone".to_owned()))?;
            if from.is_empty() {
                listing.first = page.revision;
            }
            listing.last = page.revision;
            listing.items.extend(page.items.into_iter().map(|item| (item.key, raw(&item.value))));
            match page.next {
                Some(next) => from = next.to_string(),
                None => return Ok(listing),
            }
        }
    }

    async fn watch(
        &self,
        copy: SocketAddr,
        space: Space,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, PlatformError> {
        let path = format!("/v1/{}/watch?after={after}&wait-ms={}", space.name(), wait.as_millis());
        let changes: Option<Changes> = self.get(copy, &path, wait + READ_LIMIT).await?;
        Ok(match changes {
            Some(changes) => {
                let deltas = group(after, changes.changes);
                let at = deltas.last().map_or(after, |delta| delta.revision);
                Watched::Changes { deltas, at }
            }
            None => Watched::Compacted,
        })
    }
}

fn raw(value: &RawValue) -> Arc<str> {
    value.get().into()
}

/// Groups changes into one delta a revision, each on top of the one before.
fn group(after: Revision, rows: Vec<Row>) -> Vec<Delta> {
    let mut grouped: BTreeMap<Revision, Vec<Change>> = BTreeMap::new();
    for row in rows.into_iter().filter(|row| row.revision > after) {
        let value = row.value.as_deref().map(raw);
        grouped.entry(row.revision).or_default().push(Change { key: row.key, value });
    }
    let mut base = after;
    let deltas = grouped.into_iter().map(|(revision, changes)| {
        let delta = Delta { base, revision, changes };
        base = revision;
        delta
    });
    deltas.collect()
}
