//! The operators' address: status, resources, time line, checks and a web page.
//!
//! Queries for the whole fleet are sent from here to the operators' addresses of the other daemons,
//! so that a browser only needs to reach one daemon.

mod fleet;
mod resources;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use async_executor::LocalExecutor;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use super::clock::SystemClock;
use super::http;
use crate::domain::code::Code;
use crate::domain::feed::Items;
use crate::domain::ids::Key;
use crate::domain::resources::ResourceError;
use crate::domain::resources::ResourceSet;
use crate::ports::Clock;
use crate::telemetry::Board;
use crate::telemetry::Filter;
use crate::telemetry::waterfall;

/// The operators' web page, which loads no other files.
const PAGE: &str = include_str!("page.html");

/// The maximum size of a resource set to check, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A set of resources, as in a file or in the body of a request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceFile {
    /// The values by key.
    pub items: BTreeMap<Key, Box<RawValue>>,
}

impl ResourceFile {
    /// Checks the set.
    ///
    /// # Errors
    ///
    /// Returns all errors in the set.
    pub fn check(&self) -> Result<ResourceSet, Vec<ResourceError>> {
        let items: Items =
            self.items.iter().map(|(key, value)| (Arc::clone(key), value.get().into())).collect();
        ResourceSet::parse(&items)
    }
}

/// The result of a check.
#[derive(Debug, Serialize)]
struct CheckResult {
    accepted: bool,
    faults: Vec<ResourceError>,
}

/// The server of the operators' address.
#[derive(Clone, Debug)]
pub struct Operators {
    board: Arc<Board>,
    token: Option<String>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Operators {
    /// Creates the server on one thread's executor. `token` is required of operators and sent to
    /// other daemons.
    #[must_use]
    pub fn new(board: Arc<Board>, token: Option<String>, executor: Rc<LocalExecutor<'static>>) -> Self {
        Self { board, token, executor }
    }

    /// Answers one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, incoming) = request.into_parts();
        let (method, path) = (head.method.clone(), head.uri.path().to_owned());
        match (&method, path.as_str()) {
            (&Method::GET, "/") => return http::html(PAGE),
            (&Method::GET, "/ready") => return self.ready(),
            (&Method::GET, "/metrics") => {
                return http::text(&self.board.metrics_at(SystemClock.now()).text());
            }
            _ => {}
        }
        if !http::has_token(&head.headers, self.token.as_deref()) {
            return http::refusal(Code::TokenRequired, "");
        }
        let query = head.uri.query().unwrap_or("");
        match (&method, path.as_str()) {
            (&Method::POST, "/v1/check") => match http::read(incoming, MAX_BODY_BYTES).await {
                Ok(body) => check(&body),
                Err(_error) => http::refusal(Code::BodyTooLarge, ""),
            },
            (&Method::GET, path) => self.get(path, query).await,
            _ => http::refusal(Code::WrongMethod, ""),
        }
    }

    /// Reports whether callers may open new connections. Load balancers poll this and send no
    /// token.
    fn ready(&self) -> Response<Full<Bytes>> {
        let status = self.board.status();
        if status.stopping {
            return http::refusal(Code::Stopping, "");
        }
        if status.config.revision.is_none() {
            return http::refusal(Code::NoConfiguration, "");
        }
        http::json(200, &status.config.revision)
    }

    async fn get(&self, path: &str, query: &str) -> Response<Full<Bytes>> {
        match path {
            "/v1/status" => http::json(200, &*self.board.status()),
            "/v1/timeline" => self.timeline(query),
            "/v1/fleet/status" => http::json(200, &self.fleet_status().await),
            "/v1/fleet/timeline" => self.fleet_timeline(query).await,
            "/v1/fleet/waterfall" => self.fleet_waterfall(query).await,
            "/v1/check" => http::refusal(Code::WrongMethod, ""),
            path => match path.strip_prefix("/v1/resources/") {
                Some(rest) => self.resources(rest, query).await,
                None => http::refusal(Code::UnknownPath, ""),
            },
        }
    }

    fn timeline(&self, query: &str) -> Response<Full<Bytes>> {
        match serde_urlencoded::from_str::<Filter>(query) {
            Ok(filter) => http::json(200, &self.board.store().select(&filter)),
            Err(error) => http::refusal(Code::BadField, &error.to_string()),
        }
    }

    async fn fleet_timeline(&self, query: &str) -> Response<Full<Bytes>> {
        match serde_urlencoded::from_str::<Filter>(query) {
            Ok(filter) => http::json(200, &self.fleet_events(&filter).await),
            Err(error) => http::refusal(Code::BadField, &error.to_string()),
        }
    }

    async fn fleet_waterfall(&self, query: &str) -> Response<Full<Bytes>> {
        match serde_urlencoded::from_str::<Filter>(query) {
            Ok(filter) => http::svg(&waterfall(&self.fleet_events(&filter).await.records)),
            Err(error) => http::refusal(Code::BadField, &error.to_string()),
        }
    }
}

fn check(body: &Bytes) -> Response<Full<Bytes>> {
    let file: ResourceFile = match serde_json::from_slice(body) {
        Ok(file) => file,
        Err(error) => return http::refusal(Code::MalformedBody, &error.to_string()),
    };
    let faults = file.check().err().unwrap_or_default();
    http::json(200, &CheckResult { accepted: faults.is_empty(), faults })
}
