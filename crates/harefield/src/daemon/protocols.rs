//! The protocols by which a daemon serves callers and reaches upstreams and the platform: its own
//! or the users'.

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

/// A worker that sends requests to upstreams by the protocol `W`.
pub(super) type HttpWorker<W> = Worker<HttpUpstreams<W>, HttpPeers, SystemClock>;

/// The protocols of one kind of deployment.
pub(super) trait Protocols: 'static {
    /// The client of the platform.
    type Platform: Platform;
    /// The protocol for requests to upstreams.
    type UpstreamProtocol: Protocol;

    /// Creates the platform's client on one thread's executor; `left_out` shows how many listed
    /// entries were left out, where the platform's protocol can have such.
    fn platform(executor: Rc<LocalExecutor<'static>>, traffic: Traffic, left_out: Gauge) -> Self::Platform;

    /// Returns the protocol for requests to upstreams.
    fn upstream_protocol() -> Self::UpstreamProtocol;

    /// Answers one request from a caller.
    fn answer(
        worker: Rc<HttpWorker<Self::UpstreamProtocol>>,
        request: Request<Incoming>,
        limits: RequestLimits,
    ) -> impl Future<Output = Response<Full<Bytes>>>;
}

/// Harefield's own protocols.
#[derive(Debug)]
pub(super) struct NativeProtocols;

impl Protocols for NativeProtocols {
    type Platform = HttpPlatform;
    type UpstreamProtocol = JsonProtocol;

    fn platform(executor: Rc<LocalExecutor<'static>>, traffic: Traffic, _left_out: Gauge) -> HttpPlatform {
        HttpPlatform::new(executor, traffic)
    }

    fn upstream_protocol() -> JsonProtocol {
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

/// The protocols of the users' machines, with their store as the platform.
#[derive(Debug)]
pub(super) struct PlatformProtocols;

impl Protocols for PlatformProtocols {
    type Platform = platform::HttpStore;
    type UpstreamProtocol = platform::SignedProtocol;

    fn platform(
        executor: Rc<LocalExecutor<'static>>,
        traffic: Traffic,
        left_out: Gauge,
    ) -> platform::HttpStore {
        platform::HttpStore::new(executor, traffic, left_out)
    }

    fn upstream_protocol() -> platform::SignedProtocol {
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
