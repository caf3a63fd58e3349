//! What a daemon speaks to its surroundings: its own protocols or the users'.

use std::rc::Rc;

use async_executor::LocalExecutor;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use prometheus_client::metrics::gauge::Gauge;

use crate::adapters::callers;
use crate::adapters::callers::RequestLimits;
use crate::adapters::clock::SystemClock;
use crate::adapters::http::Traffic;
use crate::adapters::peers::HttpPeers;
use crate::adapters::platform::HttpPlatform;
use crate::adapters::upstreams::HttpUpstreams;
use crate::adapters::upstreams::JsonProtocol;
use crate::adapters::upstreams::Protocol;
use crate::engine::Worker;
use crate::platform;
use crate::ports::Platform;

/// A worker that asks upstreams by a protocol.
pub(super) type HttpWorker<W> = Worker<HttpUpstreams<W>, HttpPeers, SystemClock>;

/// The protocols of one kind of surroundings.
pub(super) trait Edge: 'static {
    /// The platform's client.
    type Platform: Platform;
    /// What is said to upstreams.
    type Protocol: Protocol;

    /// Creates the platform's client on one thread's executor.
    fn platform(executor: Rc<LocalExecutor<'static>>, traffic: Traffic, left_out: Gauge) -> Self::Platform;

    /// Returns what is said to upstreams.
    fn protocol() -> Self::Protocol;

    /// Answers one request of a caller.
    fn answer(
        worker: Rc<HttpWorker<Self::Protocol>>,
        request: Request<Incoming>,
        limits: RequestLimits,
    ) -> impl Future<Output = Response<Full<Bytes>>>;
}

/// The product's own protocols.
#[derive(Debug)]
pub(super) struct OwnEdge;

impl Edge for OwnEdge {
    type Platform = HttpPlatform;
    type Protocol = JsonProtocol;

    fn platform(executor: Rc<LocalExecutor<'static>>, traffic: Traffic, _left_out: Gauge) -> HttpPlatform {
        HttpPlatform::new(executor, traffic)
    }

    fn protocol() -> JsonProtocol {
        JsonProtocol
    }

    async fn answer(
        worker: Rc<HttpWorker<JsonProtocol>>,
        request: Request<Incoming>,
        limits: RequestLimits,
    ) -> Response<Full<Bytes>> {
        callers::handle(worker, request, limits).await
    }
}

/// The protocols of the users' machines.
#[derive(Debug)]
pub(super) struct StoreEdge;

impl Edge for StoreEdge {
    type Platform = platform::HttpStore;
    type Protocol = platform::SignedProtocol;

    fn platform(
        executor: Rc<LocalExecutor<'static>>,
        traffic: Traffic,
        left_out: Gauge,
    ) -> platform::HttpStore {
        platform::HttpStore::new(executor, traffic, left_out)
    }

    fn protocol() -> platform::SignedProtocol {
        platform::SignedProtocol
    }

    async fn answer(
        worker: Rc<HttpWorker<platform::SignedProtocol>>,
        request: Request<Incoming>,
        limits: RequestLimits,
    ) -> Response<Full<Bytes>> {
        platform::handle(worker, request, limits).await
    }
}
