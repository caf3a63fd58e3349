//! The callers' address of the users' platform: routes opaque requests by host and path, and
//! returns either one upstream's reply unchanged or the merged replies of all shards.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;

use super::headers;
use super::headers::text;
use crate::adapters::callers::RequestLimits;
use crate::adapters::callers::head_bytes;
use crate::adapters::callers::read_body;
use crate::adapters::http;
use crate::domain::accounts::Requester;
use crate::domain::code::Code;
use crate::domain::merge::greatest;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Outcome;
use crate::domain::query::OpaqueQuery;
use crate::domain::query::Query;
use crate::domain::reply::OpaqueReply;
use crate::engine::LookupRequest;
use crate::engine::Origin;
use crate::engine::Worker;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// Answers one client request.
pub async fn handle<U: Upstreams, P: Peers, C: Clock>(
    worker: Rc<Worker<U, P, C>>,
    request: Request<Incoming>,
    limits: RequestLimits,
) -> Response<Full<Bytes>> {
    let mut reply = match worker.before_stop(read(&worker, request, limits)).await {
        Some(Ok(request)) => {
            let answer = worker.lookup(request).await;
            render(&answer)
        }
        Some(Err(code)) => refuse(code, None),
        None => render(&worker.refuse_stopping()),
    };
    if worker.is_stopping() {
        headers::set(reply.headers_mut(), "connection", "close");
    }
    reply
}

/// Reads a request and resolves the lookup for its host and path.
async fn read<U: Upstreams, P: Peers, C: Clock>(
    worker: &Worker<U, P, C>,
    request: Request<Incoming>,
    limits: RequestLimits,
) -> Result<LookupRequest, Code> {
    let (head, incoming) = request.into_parts();
    let bounds = worker.bounds();
    if head_bytes(&head) > bounds.head_bytes.unwrap_or(limits.head) {
        return Err(Code::HeadTooLarge);
    }
    let id = text(&head.headers, headers::CALLER_ID).ok_or(Code::BadField)?.to_owned();
    let limit = text(&head.headers, headers::TIME_LEFT).map(str::parse::<u64>);
    let limit = limit.transpose().map_err(|_error| Code::BadField)?.map(Duration::from_millis);
    let lookup = worker.lookup_at(&host_of(&head), head.uri.path())?;
    let max = bounds.body_bytes.unwrap_or(limits.body);
    let body = read_body(incoming, RequestLimits { body: max, ..limits }, worker.memory()).await?;
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    let mut forwardable = headers::forwardable(&head.headers);
    let claims = headers::extract_claims(&mut forwardable);
    let query = OpaqueQuery {
        id: id.as_str().into(),
        method: head.method.as_str().into(),
        target: target.into(),
        headers: forwardable,
        body,
        claims,
    };
    Ok(LookupRequest {
        request: Some(id),
        lookup: lookup.to_string(),
        query: Query::Opaque(Arc::new(query)),
        ticket: None,
        limit,
        origin: Origin::Caller,
        credential: http::credential(&head.headers),
        requester: Requester::default(),
    })
}

/// Returns the host name that a client addressed, in lower case and without a port.
fn host_of(head: &Parts) -> String {
    let host = text(&head.headers, "host").or_else(|| head.uri.host()).unwrap_or("");
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    name.to_ascii_lowercase()
}

fn render(answer: &Answer) -> Response<Full<Bytes>> {
    if answer.outcome == Outcome::Answered {
        return match answer.merge {
            Some(max) => merged(answer, max),
            None => answer
                .results
                .first()
                .and_then(|part| part.reply.opaque())
                .map_or_else(|| refuse(Code::Internal, None), |reply| pass_through(reply)),
        };
    }
    match answer.failure.as_ref().and_then(|reply| reply.opaque()).filter(|_| answer.merge.is_none()) {
        Some(failure) => pass_through(failure),
        None => refuse(answer.code, answer.retry_after),
    }
}

/// Returns an upstream's reply to the client unchanged.
fn pass_through(reply: &OpaqueReply) -> Response<Full<Bytes>> {
    let mut response = Response::new(http::bytes(reply.body.clone()));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    headers::append_all(response.headers_mut(), &reply.headers);
    response
}

/// Merges the shards' records into one answer.
fn merged(answer: &Answer, max: usize) -> Response<Full<Bytes>> {
    let replies = || answer.results.iter().filter_map(|part| part.reply.opaque());
    let body = greatest(replies().map(|reply| &*reply.body), max);
    let signatures: Vec<&str> = replies().filter_map(|reply| reply.signature.as_deref()).collect();
    let mut response = Response::new(http::bytes(body));
    headers::set(response.headers_mut(), "content-type", "application/octet-stream");
    headers::set(response.headers_mut(), headers::SIGNATURES, &signatures.join(", "));
    headers::set(response.headers_mut(), headers::MISSING, &answer.coverage.missing.len().to_string());
    response
}

fn refuse(code: Code, wait: Option<u64>) -> Response<Full<Bytes>> {
    let mut reply = http::refusal(code, "");
    if let Some(millis) = wait {
        let seconds = Duration::from_millis(millis).as_secs_f64();
        headers::set(reply.headers_mut(), "retry-after", &format!("{seconds:.3}"));
    }
    reply
}
