//! Collects data from all reachable daemons.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Operators;
use crate::adapters::http;
use crate::domain::event::Record;
use crate::telemetry::Filter;
use crate::telemetry::Status;

/// How long another daemon may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// The maximum size of another daemon's reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Events of the whole fleet, ordered by hybrid logical time.
#[derive(Debug, Serialize)]
pub(super) struct FleetEvents {
    /// The operators' addresses that did not answer.
    pub silent: Vec<SocketAddr>,
    /// The events.
    pub records: Vec<Record>,
}

/// The status of all daemons.
#[derive(Debug, Serialize)]
pub(super) struct FleetStatus {
    /// The operators' addresses that did not answer.
    pub silent: Vec<SocketAddr>,
    /// The status of this daemon, followed by those of the others that answered.
    pub daemons: Vec<Status>,
}

/// The replies of the other daemons.
struct FleetReplies<T> {
    silent: Vec<SocketAddr>,
    answers: Vec<T>,
}

impl Operators {
    /// Collects the selected events of the whole fleet.
    pub(super) async fn fleet_events(&self, filter: &Filter) -> FleetEvents {
        let query = serde_urlencoded::to_string(filter).unwrap_or_default();
        let others: FleetReplies<Vec<Record>> = self.query_peers(&format!("/v1/timeline?{query}")).await;
        let mut records = self.board.store().select(filter);
        records.extend(others.answers.into_iter().flatten());
        records.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
        FleetEvents { silent: others.silent, records }
    }

    /// Collects the status of every daemon.
    pub(super) async fn fleet_status(&self) -> FleetStatus {
        let others: FleetReplies<Status> = self.query_peers("/v1/status").await;
        let mut daemons = vec![self.board.status().clone()];
        daemons.extend(others.answers);
        FleetStatus { silent: others.silent, daemons }
    }

    /// Queries all other known daemons at the same time.
    async fn query_peers<T: DeserializeOwned + 'static>(&self, path: &str) -> FleetReplies<T> {
        let addresses = self.peer_addresses();
        let queries = addresses.iter().map(|address| {
            let (this, address, path) = (self.clone(), *address, path.to_owned());
            self.executor.spawn(async move { this.query(address, &path).await })
        });
        let tasks: Vec<_> = queries.collect();
        let mut replies = FleetReplies { silent: Vec::new(), answers: Vec::new() };
        for (address, task) in addresses.into_iter().zip(tasks) {
            match task.await {
                Some(answer) => replies.answers.push(answer),
                None => replies.silent.push(address),
            }
        }
        replies
    }

    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let status = self.board.status();
        let others = status.peers.iter().filter(|row| row.host != status.host);
        others.filter_map(|row| row.operators.parse().ok()).collect()
    }

    async fn query<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let mut request = Request::get(path).header("host", address.to_string());
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request.body(Full::default()).ok()?;
        let reply =
            http::exchange(&self.executor, address, request, MAX_REPLY_BYTES, ANSWER_LIMIT).await.ok()?;
        serde_json::from_slice(reply.body()).ok()
    }
}
