//! Asking daemons by HTTP from the command line.

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

const MOST_REPLY: usize = 256 << 20;

/// How daemons' addresses are asked.
#[derive(Clone, Debug, Default)]
pub(super) struct DaemonClient {
    token: Option<String>,
}

impl DaemonClient {
    /// Reads the token that operators show, or the key of a client account.
    pub fn with_token(path: &str) -> Result<Self, Failure> {
        let token = read_token(Some(Path::new(path))).map_err(|error| {
            Failure::new(Exit::Invalid, miette::miette!("{}: {path}: {error}", Code::SettingsUnreadable))
        })?;
        Ok(Self { token })
    }

    /// Gets a JSON document; none where the daemon gave none.
    pub fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str, limit: Duration) -> Option<T> {
        let body = self.call(Method::GET, address, path, String::new(), limit)?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends a request and returns the reply's body.
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
        let exchange = http::exchange(&executor, address, request, MOST_REPLY, limit);
        let reply = async_io::block_on(executor.run(exchange));
        reply.ok().map(hyper::Response::into_body)
    }
}

/// How long an operators' address may take to answer.
pub(super) const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);

/// A fleet as found from one daemon.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// The daemons that answered, with their operators' addresses.
    pub answered: Vec<(SocketAddr, Status)>,
    /// The operators' addresses that did not answer.
    pub unanswered: Vec<SocketAddr>,
}

/// Asks the daemons at `start` for the others, and all of them for their status.
pub(super) fn find_fleet(asker: &DaemonClient, start: &[SocketAddr]) -> Result<Fleet, Failure> {
    let mut fleet = Fleet::default();
    let mut found: Vec<SocketAddr> = start.to_vec();
    let mut at = 0;
    while let Some(address) = found.get(at).copied() {
        at += 1;
        let Some(status) = asker.get::<Status>(address, "/v1/status", OPERATOR_TIMEOUT) else {
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

/// Makes the failure for daemons that do not answer.
pub(super) fn unreachable_error(addresses: &[SocketAddr]) -> Failure {
    let code = Code::DaemonUnreachable;
    Failure::new(Exit::Unreachable, miette::miette!("{code}: {}: {addresses:?}", code.text()))
}
