//! The peers' address: forwarded requests, delegated groups of shards, permits, gossip exchanges
//! and pulls.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;

use super::http;
use super::http::BodyError;
use super::http::Traffic;
use super::opaque::OpaqueAnswer;
use super::peers::EXCHANGE_PATH;
use super::peers::FORWARD_PATH;
use super::peers::ForwardReply;
use super::peers::GROUP_PATH;
use super::peers::PERMITS_PATH;
use super::peers::PULL_PATH;
use super::peers::WireAnswer;
use crate::domain::buffers::Purpose;
use crate::domain::code::Code;
use crate::domain::key::Credential;
use crate::domain::query::Query;
use crate::engine::ForwardTerms;
use crate::engine::LookupRequest;
use crate::engine::Origin;
use crate::engine::ToControl;
use crate::engine::Worker;
use crate::memory::Memory;
use crate::ports::Clock;
use crate::ports::Exchange;
use crate::ports::Forward;
use crate::ports::Group;
use crate::ports::Peers;
use crate::ports::PermitRequest;
use crate::ports::Pull;
use crate::ports::Upstreams;

/// The maximum size of a message from a peer, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// What the peers' address needs besides a worker.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// The channel to the control duty.
    pub control: Sender<ToControl>,
    /// The token that peers must send; `None` if none is required.
    pub token: Option<String>,
    /// Counts the bytes of control messages and their replies.
    pub traffic: Traffic,
    /// Accounts for the memory that messages use.
    pub memory: Memory,
}

/// Answers one request on the peers' address.
pub async fn handle<U: Upstreams, P: Peers, C: Clock>(
    worker: Rc<Worker<U, P, C>>,
    server: PeerServer,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, incoming) = request.into_parts();
    if !http::has_token(&head.headers, server.token.as_deref()) {
        return http::refusal(Code::TokenRequired, "");
    }
    if head.method != Method::POST {
        return http::refusal(Code::WrongMethod, "");
    }
    let body = match http::read_counted(incoming, MAX_MESSAGE_BYTES, &server.memory, Purpose::Messages).await
    {
        Ok(body) => body,
        Err(BodyError::NoRoom) => return http::refusal(Code::NoRoom, ""),
        Err(_error) => return http::refusal(Code::BodyTooLarge, ""),
    };
    let mut reply = answer(&worker, &server, head.uri.path(), &body).await;
    if http::accepts_lz4(&head.headers) {
        reply = http::compress(reply).await;
    }
    if matches!(head.uri.path(), EXCHANGE_PATH | PULL_PATH) {
        let size = hyper::body::Body::size_hint(reply.body()).exact().unwrap_or(0);
        server.traffic.count(body.len(), usize::try_from(size).unwrap_or(usize::MAX));
    }
    http::counted(reply, &server.memory).await
}

async fn answer<U: Upstreams, P: Peers, C: Clock>(
    worker: &Rc<Worker<U, P, C>>,
    server: &PeerServer,
    path: &str,
    body: &Bytes,
) -> Response<Full<Bytes>> {
    match path {
        FORWARD_PATH => forward(worker, body).await,
        GROUP_PATH => group(worker, body).await,
        PERMITS_PATH => permits(worker, body),
        EXCHANGE_PATH => {
            query_control(server, body, |exchange: Exchange, reply| {
                ToControl::Exchange(Box::new(exchange), reply)
            })
            .await
        }
        PULL_PATH => query_control(server, body, |pull: Pull, reply| ToControl::Pull(pull, reply)).await,
        _ => http::refusal(Code::UnknownPath, ""),
    }
}

async fn forward<U: Upstreams, P: Peers, C: Clock>(
    worker: &Rc<Worker<U, P, C>>,
    body: &Bytes,
) -> Response<Full<Bytes>> {
    let message: Forward = match rmp_serde::from_slice(body) {
        Ok(message) => message,
        Err(error) => return http::refusal(Code::MalformedBody, &error.to_string()),
    };
    let opaque = message.opaque.is_some();
    worker.merge_reports(&message.suspects);
    let answer = worker.lookup(forwarded_request(message)).await;
    let answer = if opaque {
        WireAnswer::Opaque(Box::new(OpaqueAnswer::new(&answer)))
    } else {
        WireAnswer::Json(ByteBuf::from(serde_json::to_vec(&answer).unwrap_or_default()))
    };
    // A newer edition may have come into force while the request ran; reporting the newer one is
    // safe.
    http::msgpack_compact(&ForwardReply { stamp: worker.stamp(), edition: worker.edition(), answer })
}

fn forwarded_request(message: Forward) -> LookupRequest {
    let terms = ForwardTerms {
        gather: message.gather.map(Duration::from_micros),
        edition: message.edition,
        again: message.again,
        late: message.late,
    };
    LookupRequest {
        request: Some(message.request),
        lookup: message.lookup,
        query: match message.opaque {
            Some(query) => Query::Opaque(Arc::new(query)),
            None => Query::Json(message.query.into()),
        },
        ticket: message.ticket,
        limit: Some(Duration::from_millis(message.remaining)),
        origin: Origin::Peer { host: message.from, stamp: message.stamp, terms },
        credential: Credential::Missing,
        requester: message.asker,
    }
}

async fn group<U: Upstreams, P: Peers, C: Clock>(
    worker: &Rc<Worker<U, P, C>>,
    body: &Bytes,
) -> Response<Full<Bytes>> {
    match rmp_serde::from_slice::<Group>(body) {
        Ok(message) => http::msgpack_compact(&worker.group(message).await),
        Err(error) => http::refusal(Code::MalformedBody, &error.to_string()),
    }
}

fn permits<U: Upstreams, P: Peers, C: Clock>(
    worker: &Worker<U, P, C>,
    body: &Bytes,
) -> Response<Full<Bytes>> {
    match rmp_serde::from_slice::<PermitRequest>(body) {
        Ok(message) => http::msgpack_compact(&worker.grant(&message)),
        Err(error) => http::refusal(Code::MalformedBody, &error.to_string()),
    }
}

/// Sends a message to the control duty and returns its reply.
async fn query_control<M, R>(
    server: &PeerServer,
    body: &Bytes,
    wrap: impl FnOnce(M, Sender<R>) -> ToControl,
) -> Response<Full<Bytes>>
where
    M: DeserializeOwned,
    R: Serialize,
{
    let message: M = match rmp_serde::from_slice(body) {
        Ok(message) => message,
        Err(error) => return http::refusal(Code::MalformedBody, &error.to_string()),
    };
    let (sender, receiver) = async_channel::bounded(1);
    if server.control.try_send(wrap(message, sender)).is_err() {
        return http::refusal(Code::QueueFull, "the control duty is busy");
    }
    match receiver.recv().await {
        Ok(reply) => http::msgpack(&reply),
        Err(_closed) => http::refusal(Code::Stopping, ""),
    }
}
