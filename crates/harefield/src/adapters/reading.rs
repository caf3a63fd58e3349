//! What the clients of a platform share: they read JSON from one of its copies,
//! and put what changed in order.

use std::collections::BTreeMap;
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
use super::http::Traffic;
use crate::domain::feed::Change;
use crate::domain::feed::Delta;
use crate::domain::feed::Span;
use crate::domain::ids::Era;
use crate::domain::revision::Revision;
use crate::ports::PlatformError;

/// The most bytes of one reply: a page holds about a megabyte of values, in the
/// users' store as a text that is a third longer.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// How long a read may take, beyond the wait of a watch; the users' store answers
/// in 4 ms as a rule, and in some 240 ms where it is slow.
pub const READ_LIMIT: Duration = Duration::from_secs(2);

/// How much longer than its wait a watch may take before it is given up, where that is
/// more than a read may take: one whose answer is lost then costs no more than that.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Returns how long a watch may take that waits for some time.
#[must_use]
pub fn watch_limit(wait: Duration) -> Duration {
    READ_LIMIT.max(wait + WATCH_SLACK)
}

/// Reads JSON by HTTP from a copy of the platform.
#[derive(Clone, Debug)]
pub struct JsonReader {
    executor: Rc<LocalExecutor<'static>>,
    traffic: Traffic,
    format: ReplyFormat,
}

/// An answer, and the era that it is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReply<R> {
    /// The era.
    pub era: Era,
    /// What stands there; none where it is gone.
    pub body: Option<R>,
}

/// What a platform's answers look like.
#[derive(Clone, Copy, Debug)]
pub struct ReplyFormat {
    /// The statuses that say that there is nothing to read.
    pub gone: &'static [StatusCode],
    /// The header that names the era, where there is one.
    pub era: Option<&'static str>,
}

impl JsonReader {
    /// Creates a reader on one thread's executor; `traffic` counts its bytes.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>, traffic: Traffic, format: ReplyFormat) -> Self {
        Self { executor, traffic, format }
    }

    /// Reads the era of an answer; the first of a platform that names none.
    fn era_of(&self, headers: &HeaderMap) -> Result<Era, PlatformError> {
        let Some(value) = self.format.era.and_then(|name| headers.get(name)) else { return Ok(0) };
        let era = value.to_str().ok().and_then(|text| text.trim().parse().ok());
        era.ok_or_else(|| PlatformError::Malformed(format!("{value:?} is no era")))
    }

    /// Reads what stands under a path.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` where the copy does not answer within `limit`, `TurnedAway` where
    /// it answers with an error, and `Malformed` where its answer cannot be read.
    pub async fn get<R: DeserializeOwned>(
        &self,
        copy: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<StoreReply<R>, PlatformError> {
        let request = Request::get(path).header("host", copy.to_string()).body(Full::default());
        let request = request.map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let reply = http::exchange(&self.executor, copy, request, MAX_REPLY_BYTES, limit).await;
        let reply = reply.map_err(|_error| PlatformError::Unreachable)?;
        self.traffic.count(0, reply.body().len());
        let era = self.era_of(reply.headers())?;
        match reply.status() {
            StatusCode::OK => {}
            status if self.format.gone.contains(&status) => return Ok(StoreReply { era, body: None }),
            _ => return Err(PlatformError::TurnedAway(era)),
        }
        let parsed = serde_json::from_slice(reply.body());
        let reply = parsed.map(|body| StoreReply { era, body: Some(body) });
        reply.map_err(|error| PlatformError::Malformed(error.to_string()))
    }
}

/// Groups changes that came after a revision into one delta a revision, each on
/// top of the one before.
#[must_use]
pub fn deltas(after: Revision, changes: impl IntoIterator<Item = (Revision, Change)>) -> Vec<Delta> {
    let mut grouped: BTreeMap<Revision, Vec<Change>> = BTreeMap::new();
    for (revision, change) in changes {
        grouped.entry(revision).or_default().push(change);
    }
    let mut base = after;
    let deltas = grouped.into_iter().map(|(revision, changes)| {
        let delta = Delta { base, revision, changes, span: Span::Step };
        base = revision;
        delta
    });
    deltas.collect()
}
