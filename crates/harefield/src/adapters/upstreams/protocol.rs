//! Harefield's own protocol to upstreams: JSON bodies, with metadata in headers; see
//! `docs/PROTOCOLS.md`.

use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use serde_json::value::RawValue;

use super::ParsedReply;
use super::Protocol;
use super::lost;
use crate::adapters::http;
use crate::domain::announcement::Announcement;
use crate::domain::announcement::AnnouncementStamp;
use crate::domain::fanout::AttemptEnd;
use crate::domain::fanout::ReplyIdentity;
use crate::domain::fanout::verify;
use crate::domain::outcome::Gap;
use crate::domain::reply::Reply;
use crate::domain::routing::AttemptOutcome;
use crate::domain::routing::Load;
use crate::domain::routing::Report;
use crate::domain::time::millis;
use crate::ports::Call;
use crate::ports::CallOutcome;
use crate::ports::Endpoint;

/// Harefield's own protocol to upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonProtocol;

impl Protocol for JsonProtocol {
    fn request(&self, call: &Call) -> Request<Full<Bytes>> {
        make_request(call)
    }

    fn read(&self, call: &Call, reply: Response<Bytes>) -> ParsedReply {
        let report = read_report(reply.headers());
        if let Err(gap) = verify(&call.echo, read_identity(reply.headers()).as_ref()) {
            return ParsedReply { end: lost(gap, report), keep: false };
        }
        let end = if reply.status() == StatusCode::OK {
            answered(reply.body(), report)
        } else {
            refused(reply.headers(), report)
        };
        ParsedReply { end, keep: true }
    }

    fn report(&self, headers: &HeaderMap) -> Report {
        read_report(headers)
    }

    fn cancel(&self, endpoint: &Endpoint, request: &str) -> Option<Request<Full<Bytes>>> {
        let message = Request::delete(format!("/v1/requests/{request}"));
        message.header("host", endpoint.address.to_string()).body(Full::default()).ok()
    }
}

fn make_request(call: &Call) -> Request<Full<Bytes>> {
    let remaining = millis(call.remaining);
    let mut request = Request::new(Full::from(Bytes::copy_from_slice(call.query.json())));
    *request.method_mut() = hyper::Method::POST;
    if let Ok(path) = format!("/v1/shards/{}", http::encode(&call.echo.shard)).parse() {
        *request.uri_mut() = path;
    }
    let headers = request.headers_mut();
    put(headers, "host", &call.endpoint.address.to_string());
    put(headers, "content-type", "application/json");
    put(headers, "harefield-request", &call.echo.request);
    put(headers, "harefield-shard", &call.echo.shard);
    put(headers, "harefield-snapshot", &call.echo.version.to_string());
    put(headers, "harefield-remaining-ms", &remaining.to_string());
    if call.once {
        put(headers, "harefield-once", "true");
    }
    if let Some(account) = &call.requester.account {
        put(headers, "harefield-account", account);
    }
    request
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn read_identity(headers: &HeaderMap) -> Option<ReplyIdentity> {
    Some(ReplyIdentity {
        request: text(headers, "harefield-request")?.to_owned(),
        shard: text(headers, "harefield-shard")?.to_owned(),
        version: text(headers, "harefield-snapshot")?.parse().ok()?,
    })
}

fn read_report(headers: &HeaderMap) -> Report {
    Report { load: read_load(headers), announcement: read_announcement(headers) }
}

fn read_load(headers: &HeaderMap) -> Option<Load> {
    let (active, queued) = text(headers, "harefield-load")?.split_once('/')?;
    Some(Load { active: active.parse().ok()?, queued: queued.parse().ok()?, slowness: None })
}

fn read_announcement(headers: &HeaderMap) -> Option<Announcement> {
    let (start, change) = text(headers, "harefield-word")?.split_once('.')?;
    let stamp = AnnouncementStamp { start: start.parse().ok()?, change: change.parse().ok()? };
    let draining = text(headers, "harefield-draining") == Some("true");
    let held = text(headers, "harefield-held")
        .map(|list| list.split(',').filter_map(|version| version.trim().parse().ok()).collect());
    Some(Announcement { stamp, draining, held })
}

fn answered(body: &Bytes, report: Report) -> CallOutcome {
    match serde_json::from_slice::<Box<RawValue>>(body) {
        Ok(reply) => CallOutcome {
            end: AttemptEnd::Answered(Reply::Json(reply)),
            outcome: AttemptOutcome::Succeeded,
            report,
        },
        Err(_malformed) => lost(Gap::Failed, report),
    }
}

/// Interprets a refusal. Unless the upstream says that the request had not begun, it may have run.
fn refused(headers: &HeaderMap, report: Report) -> CallOutcome {
    let begun = text(headers, "harefield-begun") != Some("false");
    let wait = text(headers, "harefield-retry-ms").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    let (why, outcome) = match text(headers, "harefield-refused") {
        Some("overloaded" | "connections" | "shedding") => (Gap::Overloaded, AttemptOutcome::Rejected(wait)),
        Some("draining") => (Gap::Leaving, AttemptOutcome::Declined),
        Some("snapshot") => (Gap::SnapshotMissing, AttemptOutcome::Declined),
        Some("shard") => (Gap::ShardMoved, AttemptOutcome::Declined),
        Some("late" | "cancelled") => (Gap::Late, AttemptOutcome::Abandoned),
        _ => (Gap::Failed, AttemptOutcome::Failed),
    };
    CallOutcome { end: AttemptEnd::Refused { why, begun }, outcome, report }
}
