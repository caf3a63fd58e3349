//! Code shared by the clients of both kinds of platform: reading JSON from one replica of the
//! platform, following the pages of a listing, and grouping changes by revision.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use serde::de::DeserializeOwned;

use super::http;
use super::http::ClientError;
use super::http::Traffic;
use crate::domain::feed::Change;
use crate::domain::feed::Delta;
use crate::domain::feed::DeltaKind;
use crate::domain::ids::Era;
use crate::domain::revision::Revision;
use crate::ports::PlatformError;

/// The maximum size of a reply, in bytes. A page contains about a megabyte of values, which the
/// users' store sends as base64 text, a third longer.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// How long a read may take until its answer begins, not counting the wait of a watch, and how long
/// the answer may make no progress. The users' store usually answers in 4 ms, and in about 240 ms
/// when it is slow.
pub const READ_LIMIT: Duration = Duration::from_secs(2);

/// How much longer than its wait a watch may take before it is abandoned, if that is more than
/// `READ_LIMIT`. It bounds the cost of a lost answer.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Returns the time limit of a watch that waits for `wait`.
#[must_use]
pub fn watch_limit(wait: Duration) -> Duration {
    READ_LIMIT.max(wait + WATCH_SLACK)
}

/// Reads JSON over HTTP from a replica of the platform.
#[derive(Clone, Debug)]
pub struct JsonReader {
    executor: Rc<LocalExecutor<'static>>,
    traffic: Traffic,
    format: ReplyFormat,
}

/// A reply of the platform, with its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReply<R> {
    /// The era of the platform's data that the reply is from.
    pub era: Era,
    /// The content; `None` if it no longer exists.
    pub body: Option<R>,
}

/// How to interpret a platform's replies.
#[derive(Clone, Copy, Debug)]
pub struct ReplyFormat {
    /// The statuses that mean that there is nothing to read.
    pub gone: &'static [StatusCode],
    /// The header that contains the era; `None` if the platform has only one era.
    pub era: Option<&'static str>,
}

impl JsonReader {
    /// Creates a reader on one thread's executor; `traffic` counts the bytes it receives.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>, traffic: Traffic, format: ReplyFormat) -> Self {
        Self { executor, traffic, format }
    }

    /// Returns the era of a reply; the first era if the platform doesn't name one.
    fn era_of(&self, headers: &HeaderMap) -> Result<Era, PlatformError> {
        let Some(value) = self.format.era.and_then(|name| headers.get(name)) else { return Ok(0) };
        let era = value.to_str().ok().and_then(|text| text.trim().parse().ok());
        era.ok_or_else(|| PlatformError::Malformed(format!("{value:?} is not an era")))
    }

    /// Reads the JSON document at a path.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if the replica doesn't answer within `limit`, `Rejected` if it answers
    /// with an error, `TooLarge` if its answer exceeds `MAX_REPLY_BYTES`, and `Malformed` if it
    /// can't be parsed.
    pub async fn get<R: DeserializeOwned>(
        &self,
        replica: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<StoreReply<R>, PlatformError> {
        let request = Request::get(path).header("host", replica.to_string()).body(Full::default());
        let request = request.map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let reply =
            http::exchange_large(&self.executor, replica, request, MAX_REPLY_BYTES, limit, READ_LIMIT);
        let reply = reply.await;
        let reply = reply.map_err(|error| match error {
            ClientError::TooLarge => PlatformError::TooLarge,
            ClientError::NotSent | ClientError::Lost => PlatformError::Unreachable,
        })?;
        self.traffic.count(0, reply.body().len());
        let era = self.era_of(reply.headers())?;
        match reply.status() {
            StatusCode::OK => {}
            status if self.format.gone.contains(&status) => return Ok(StoreReply { era, body: None }),
            _ => return Err(PlatformError::Rejected(era)),
        }
        let parsed = serde_json::from_slice(reply.body());
        let reply = parsed.map(|body| StoreReply { era, body: Some(body) });
        reply.map_err(|error| PlatformError::Malformed(error.to_string()))
    }
}

/// Follows the pages of a listing, and ends a listing whose pages repeat.
#[derive(Debug, Default)]
pub struct PageCursor {
    /// The keys that pages were read from.
    used: HashSet<String>,
}

impl PageCursor {
    /// Returns the key that the next page starts from, given the one that the last page ended with.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if there is no such key, or if a page was read from it before.
    pub fn advance(&mut self, key: Option<&str>) -> Result<String, PlatformError> {
        let key = key.filter(|key| self.used.insert((*key).to_owned()));
        let key = key.ok_or_else(|| {
            PlatformError::Malformed("a page of the listing leads to no further page".to_owned())
        })?;
        Ok(key.to_owned())
    }
}

/// Groups changes after a revision into one delta per revision, each based on the previous one.
#[must_use]
pub fn deltas(after: Revision, changes: impl IntoIterator<Item = (Revision, Change)>) -> Vec<Delta> {
    let mut grouped: BTreeMap<Revision, Vec<Change>> = BTreeMap::new();
    for (revision, change) in changes {
        grouped.entry(revision).or_default().push(change);
    }
    let mut base = after;
    let deltas = grouped.into_iter().map(|(revision, changes)| {
        let delta = Delta { base, revision, changes, kind: DeltaKind::Single };
        base = revision;
        delta
    });
    deltas.collect()
}
