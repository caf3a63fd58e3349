//! The operators' address: status, time line and checks.

use std::collections::BTreeMap;
use std::sync::Arc;

use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use super::http;
use crate::domain::code::Code;
use crate::domain::feed::Items;
use crate::domain::ids::Key;
use crate::domain::resources::Fault;
use crate::domain::resources::ResourceSet;
use crate::telemetry::Board;
use crate::telemetry::Filter;

/// The most bytes of a resource set to check.
const MOST_BODY: usize = 64 << 20;

/// A resource set as a file or a request holds it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SetFile {
    /// The values by key.
    pub items: BTreeMap<Key, Box<RawValue>>,
}

impl SetFile {
    /// Checks the set.
    ///
    /// # Errors
    ///
    /// Returns every fault of the set.
    pub fn check(&self) -> Result<ResourceSet, Vec<Fault>> {
        let items: Items =
            self.items.iter().map(|(key, value)| (Arc::clone(key), value.get().into())).collect();
        ResourceSet::parse(&items)
    }
}

/// The result of a check.
#[derive(Debug, Serialize)]
struct Checked {
    accepted: bool,
    faults: Vec<Fault>,
}

/// Answers one request on the operators' address.
pub async fn handle(
    board: Arc<Board>,
    token: Option<String>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, incoming) = request.into_parts();
    if !http::shows_token(&head.headers, token.as_deref()) {
        return http::refusal(Code::TokenRequired, "");
    }
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/v1/status") => http::json(200, &*board.status()),
        (&Method::GET, "/v1/timeline") => timeline(&board, head.uri.query().unwrap_or("")),
        (&Method::POST, "/v1/check") => match http::read(incoming, MOST_BODY).await {
            Ok(body) => check(&body),
            Err(_error) => http::refusal(Code::BodyTooLarge, ""),
        },
        (_, "/v1/status" | "/v1/timeline" | "/v1/check") => http::refusal(Code::WrongMethod, ""),
        _ => http::refusal(Code::UnknownPath, ""),
    }
}

fn timeline(board: &Board, query: &str) -> Response<Full<Bytes>> {
    match serde_urlencoded::from_str::<Filter>(query) {
        Ok(filter) => http::json(200, &board.store().select(&filter)),
        Err(error) => http::refusal(Code::BadField, &error.to_string()),
    }
}

fn check(body: &Bytes) -> Response<Full<Bytes>> {
    let file: SetFile = match serde_json::from_slice(body) {
        Ok(file) => file,
        Err(error) => return http::refusal(Code::MalformedBody, &error.to_string()),
    };
    let faults = file.check().err().unwrap_or_default();
    http::json(200, &Checked { accepted: faults.is_empty(), faults })
}
