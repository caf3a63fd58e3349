//! Sends HTTP requests to daemons for the commands.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use async_executor::LocalExecutor;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::body::Bytes;
use serde::de::DeserializeOwned;

use super::Exit;
use super::Failure;
use crate::adapters::http;
use crate::adapters::settings::read_token;
use crate::domain::code::Code;
use crate::telemetry::Status;

/// The largest reply body that is read, in bytes.
const MAX_REPLY: usize = 256 << 20;

/// Sends requests to daemons, with a token where one is set.
#[derive(Clone, Debug, Default)]
pub(super) struct DaemonClient {
    token: Option<String>,
}

impl DaemonClient {
    /// Creates a client that sends the token of operators, or the key of a client account, in the
    /// first line of the file `path`.
    pub fn with_token(path: &str) -> Result<Self, Failure> {
        let token = read_token(Some(Path::new(path))).map_err(|error| {
            Failure::new(Exit::Invalid, miette::miette!("{}: {path}: {error}", Code::SettingsUnreadable))
        })?;
        Ok(Self { token })
    }

    /// Fetches a JSON document; none where the daemon did not return a valid one within `limit`.
    pub fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str, limit: Duration) -> Option<T> {
        let body = self.call(Method::GET, address, path, String::new(), limit)?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends a request and returns the reply's body, whatever its status; none where no reply came
    /// within `limit`.
    pub fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: String,
        limit: Duration,
    ) -> Option<Bytes> {
        let executor = LocalExecutor::new();
        let mut request = Request::builder().method(method).uri(path).header("host", address.to_string());
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        let exchange = http::exchange(&executor, address, request, MAX_REPLY, limit);
        let reply = async_io::block_on(executor.run(exchange));
        reply.ok().map(hyper::Response::into_body)
    }
}

/// How long a daemon may take to answer at its operators' address.
pub(super) const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);

/// The daemons that were found by following membership tables.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// The daemons that answered, with their operators' addresses.
    pub answered: Vec<(SocketAddr, Status)>,
    /// The operators' addresses that did not answer.
    pub unanswered: Vec<SocketAddr>,
}

/// Fetches the status of the daemons at `start`, and of all daemons that these statuses name.
pub(super) fn find_fleet(client: &DaemonClient, start: &[SocketAddr]) -> Result<Fleet, Failure> {
    let mut fleet = Fleet::default();
    let mut found: Vec<SocketAddr> = start.to_vec();
    let mut next = 0;
    while let Some(address) = found.get(next).copied() {
        next += 1;
        let Some(status) = client.get::<Status>(address, "/v1/status", OPERATOR_TIMEOUT) else {
            fleet.unanswered.push(address);
            continue;
        };
        for row in &status.peers {
            if let Ok(other) = row.operators.parse()
                && !found.contains(&other)
            {
                found.push(other);
            }
        }
        fleet.answered.push((address, status));
    }
    if fleet.answered.is_empty() {
        return Err(unreachable_error(start));
    }
    Ok(fleet)
}

/// Returns the failure for daemons that did not answer.
pub(super) fn unreachable_error(addresses: &[SocketAddr]) -> Failure {
    let code = Code::DaemonUnreachable;
    Failure::new(Exit::Unreachable, miette::miette!("{code}: {}: {addresses:?}", code.text()))
}
