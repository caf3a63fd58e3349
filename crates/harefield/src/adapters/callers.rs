//! The callers' address: lookups over HTTP with JSON bodies.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use serde::Deserialize;
use serde_json::error::Category;
use serde_json::value::RawValue;

use super::http;
use super::http::BodyError;
use crate::domain::accounts::Requester;
use crate::domain::buffers::Purpose;
use crate::domain::code::Code;
use crate::domain::key::Credential;
use crate::domain::outcome::Answer;
use crate::domain::query::Query;
use crate::engine::LookupRequest;
use crate::engine::Origin;
use crate::engine::Worker;
use crate::memory::Memory;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// The path prefix of lookups; the lookup's name follows.
const LOOKUPS: &str = "/v1/lookups/";

/// Limits on one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// The maximum size of its head, in bytes.
    pub head: usize,
    /// The maximum size of its body, in bytes.
    pub body: usize,
    /// The time within which the body must arrive.
    pub time: Duration,
}

/// The JSON body of a lookup request.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Body {
    query: Box<RawValue>,
    id: Option<String>,
    ticket: Option<String>,
    deadline_ms: Option<u64>,
}

/// A request that is rejected before its lookup starts.
struct Rejection {
    code: Code,
    detail: String,
}

impl From<Code> for Rejection {
    fn from(code: Code) -> Self {
        Self { code, detail: String::new() }
    }
}

/// Answers one request on the callers' address.
pub async fn handle<U: Upstreams, P: Peers, C: Clock>(
    worker: Rc<Worker<U, P, C>>,
    request: Request<Incoming>,
    limits: RequestLimits,
) -> Response<Full<Bytes>> {
    let mut reply = match worker.before_stop(read(request, limits, worker.memory())).await {
        Some(Ok((body, lookup, credential))) => render(&look_up(&worker, body, lookup, credential).await),
        Some(Err(rejection)) => render(&not_run(&rejection)),
        None => render(&worker.refuse_stopping()),
    };
    if worker.is_stopping() {
        reply.headers_mut().insert("connection", HeaderValue::from_static("close"));
    }
    http::counted(reply, worker.memory()).await
}

async fn look_up<U: Upstreams, P: Peers, C: Clock>(
    worker: &Rc<Worker<U, P, C>>,
    body: Body,
    lookup: String,
    credential: Credential,
) -> Answer {
    let query: Box<str> = body.query.into();
    let request = LookupRequest {
        request: None,
        lookup,
        query: Query::Json(Arc::from(query.as_bytes())),
        ticket: body.ticket,
        limit: body.deadline_ms.map(Duration::from_millis),
        origin: Origin::Caller,
        credential,
        requester: Requester::default(),
    };
    let mut answer = worker.lookup(request).await;
    answer.id = body.id;
    answer
}

async fn read(
    request: Request<Incoming>,
    limits: RequestLimits,
    memory: &Memory,
) -> Result<(Body, String, Credential), Rejection> {
    let (head, incoming) = request.into_parts();
    if head_bytes(&head) > limits.head {
        return Err(Code::HeadTooLarge.into());
    }
    let lookup = head.uri.path().strip_prefix(LOOKUPS).filter(|name| !name.is_empty() && !name.contains('/'));
    let lookup = lookup.ok_or(Code::UnknownPath)?.to_owned();
    if head.method != Method::POST {
        return Err(Code::WrongMethod.into());
    }
    let credential = http::credential(&head.headers);
    let bytes = read_body(incoming, limits, memory).await?;
    let body: Body = serde_json::from_slice(&bytes).map_err(|error| Rejection {
        code: if error.classify() == Category::Data { Code::BadField } else { Code::MalformedBody },
        detail: error.to_string(),
    })?;
    if body.deadline_ms == Some(0) {
        return Err(Rejection { code: Code::BadField, detail: "deadline-ms must be at least 1".to_owned() });
    }
    Ok((body, lookup, credential))
}

/// Returns the approximate size of a request's head, in bytes.
#[must_use]
pub fn head_bytes(head: &Parts) -> usize {
    let headers = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    headers.sum::<usize>() + head.uri.path().len()
}

/// Reads a whole body within the limits.
///
/// # Errors
///
/// Returns the code of the limit that the body exceeds, `NoRoom` if the daemon has no memory for
/// it, or `MalformedBody` if the connection is lost before its end.
pub async fn read_body(incoming: Incoming, limits: RequestLimits, memory: &Memory) -> Result<Bytes, Code> {
    if incoming.is_end_stream() {
        return Ok(Bytes::new());
    }
    let expired = async {
        Timer::after(limits.time).await;
        None
    };
    let read = async { Some(http::read_counted(incoming, limits.body, memory, Purpose::Requests).await) }
        .or(expired)
        .await;
    match read {
        None => Err(Code::SlowBody),
        Some(Err(BodyError::TooLarge)) => Err(Code::BodyTooLarge),
        Some(Err(BodyError::NoRoom)) => Err(Code::NoRoom),
        Some(Err(BodyError::CutShort)) => Err(Code::MalformedBody),
        Some(Ok(bytes)) => Ok(bytes),
    }
}

/// Returns the answer to a rejected request: it was not run anywhere.
fn not_run(rejection: &Rejection) -> Answer {
    let mut answer = Answer::not_run("", rejection.code, None);
    if !rejection.detail.is_empty() {
        answer.message = format!("{}: {}", answer.message, rejection.detail);
    }
    answer
}

fn render(answer: &Answer) -> Response<Full<Bytes>> {
    let mut reply = http::json(answer.code.status(), answer);
    let seconds = answer.retry_after.map(|millis| millis.div_ceil(1000));
    if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s.to_string()).ok()) {
        reply.headers_mut().insert("retry-after", value);
    }
    reply
}
