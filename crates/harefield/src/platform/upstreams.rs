//! The protocol of the users' upstreams: opaque requests and signed replies.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::HeaderMap;

use super::headers;
use super::headers::text;
use crate::adapters::upstreams::ParsedReply;
use crate::adapters::upstreams::Protocol;
use crate::adapters::upstreams::lost;
use crate::domain::fanout::AttemptEnd;
use crate::domain::outcome::Gap;
use crate::domain::query::Query;
use crate::domain::reply::OpaqueReply;
use crate::domain::reply::Reply;
use crate::domain::routing::AttemptOutcome;
use crate::domain::routing::Load;
use crate::domain::routing::Report;
use crate::domain::time::millis;
use crate::ports::Call;
use crate::ports::CallOutcome;
use crate::ports::Endpoint;

/// The protocol of the users' upstreams, whose replies carry a signature.
#[derive(Clone, Copy, Debug, Default)]
pub struct SignedProtocol;

impl Protocol for SignedProtocol {
    fn request(&self, call: &Call) -> Request<Full<Bytes>> {
        let Query::Opaque(query) = &call.query else {
            return Request::new(Full::default());
        };
        let mut request = Request::new(Full::new(query.body.clone()));
        if let Ok(method) = query.method.parse() {
            *request.method_mut() = method;
        }
        if let Ok(target) = query.target.parse() {
            *request.uri_mut() = target;
        }
        let left = millis(call.remaining).max(1);
        headers::append_all(request.headers_mut(), &query.headers);
        if call.requester.is_open() {
            headers::append_all(request.headers_mut(), &query.claims.0);
        }
        if let Some(account) = &call.requester.account {
            headers::set(request.headers_mut(), headers::ACCOUNT, account);
        }
        headers::set(request.headers_mut(), headers::TIME_LEFT, &left.to_string());
        headers::set(request.headers_mut(), headers::EXPECTED_UPSTREAM, &call.endpoint.upstream);
        request
    }

    fn read(&self, call: &Call, reply: Response<Bytes>) -> ParsedReply {
        let report = self.report(reply.headers());
        if !is_reply_to(call, reply.headers()) {
            return ParsedReply { end: lost(Gap::ReplyCrossed, report), keep: false };
        }
        if let Some(end) = parse_refusal(&reply, &report) {
            return ParsedReply { end, keep: true };
        }
        let status = reply.status();
        let answered = status.is_success();
        if is_encoded(reply.headers()) || (answered && text(reply.headers(), headers::SIGNATURE).is_none()) {
            return ParsedReply { end: lost(Gap::Failed, report), keep: false };
        }
        let reply = Reply::Opaque(Arc::new(into_reply(reply)));
        let (end, outcome) = if answered {
            (AttemptEnd::Answered(reply), AttemptOutcome::Succeeded)
        } else {
            (AttemptEnd::Failed(reply), outcome_of(status))
        };
        ParsedReply { end: CallOutcome { end, outcome, report }, keep: true }
    }

    fn report(&self, headers: &HeaderMap) -> Report {
        Report { load: text(headers, headers::LOAD).and_then(parse_load), announcement: None }
    }

    /// The protocol has no cancel message: a request can only be cancelled by closing its
    /// connection.
    fn cancel(&self, _endpoint: &Endpoint, _request: &str) -> Option<Request<Full<Bytes>>> {
        None
    }
}

/// Parses an upstream's load, which is a list of three or four whole numbers. Returns `None` for
/// anything else.
fn parse_load(text: &str) -> Option<Load> {
    let numbers: Result<Vec<u32>, _> = text.split(',').map(|number| number.trim().parse()).collect();
    match numbers.ok()?[..] {
        [active, queued, _slots] => Some(Load { active, queued, slowness: None }),
        [active, queued, _slots, slowness] => Some(Load { active, queued, slowness: Some(slowness) }),
        _ => None,
    }
}

/// Returns whether a reply belongs to this call. A late reply to an earlier request carries that
/// request's id.
fn is_reply_to(call: &Call, headers: &HeaderMap) -> bool {
    let Query::Opaque(query) = &call.query else { return false };
    text(headers, headers::CALLER_ID).is_none_or(|id| *id == *query.id)
}

fn is_encoded(headers: &HeaderMap) -> bool {
    headers.contains_key(hyper::header::CONTENT_ENCODING)
}

/// Parses a refusal of a request that wasn't run; returns `None` if the reply isn't a refusal.
fn parse_refusal(reply: &Response<Bytes>, report: &Report) -> Option<CallOutcome> {
    let status = reply.status();
    if !reply.headers().contains_key(headers::NOT_RUN) && status != StatusCode::MISDIRECTED_REQUEST {
        return None;
    }
    let wait = text(reply.headers(), "retry-after").and_then(|seconds| seconds.parse::<f64>().ok());
    let wait = wait.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let (why, outcome) = match status {
        StatusCode::MISDIRECTED_REQUEST => (Gap::Leaving, AttemptOutcome::Failed),
        _ => (Gap::Overloaded, AttemptOutcome::Rejected(wait)),
    };
    let end = AttemptEnd::Refused { why, begun: false };
    Some(CallOutcome { end, outcome, report: report.clone() })
}

fn outcome_of(status: StatusCode) -> AttemptOutcome {
    match status {
        StatusCode::GATEWAY_TIMEOUT => AttemptOutcome::Abandoned,
        status if status.is_server_error() => AttemptOutcome::Failed,
        _ => AttemptOutcome::Succeeded,
    }
}

fn into_reply(reply: Response<Bytes>) -> OpaqueReply {
    let signature = text(reply.headers(), headers::SIGNATURE).map(Arc::from);
    let forwardable = headers::forwardable(reply.headers());
    let status = reply.status().as_u16();
    OpaqueReply { status, headers: forwardable, body: reply.into_body(), signature }
}
