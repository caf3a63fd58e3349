//! Creates HTTP replies.

use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use serde::Serialize;

use super::body::bytes;
use crate::domain::code::Code;

/// The JSON body of a refusal outside a lookup.
#[derive(Serialize)]
struct Refusal<'a> {
    code: Code,
    message: &'a str,
}

/// Creates a JSON reply.
pub fn json<T: Serialize>(status: u16, value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    reply_with(status, "application/json", body)
}

/// Creates a `MessagePack` reply with named fields.
pub fn msgpack<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = rmp_serde::to_vec_named(value).unwrap_or_default();
    reply_with(200, "application/msgpack", body)
}

/// Creates a `MessagePack` reply whose fields are identified by position.
pub fn msgpack_compact<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = rmp_serde::to_vec(value).unwrap_or_default();
    reply_with(200, "application/msgpack", body)
}

/// Creates a plain text reply.
#[must_use]
pub fn text(text: &str) -> Response<Full<Bytes>> {
    reply_with(200, "text/plain; charset=utf-8", text.as_bytes().to_vec())
}

/// Creates an HTML reply.
#[must_use]
pub fn html(page: &str) -> Response<Full<Bytes>> {
    reply_with(200, "text/html; charset=utf-8", page.as_bytes().to_vec())
}

/// Creates an SVG reply.
#[must_use]
pub fn svg(drawing: &str) -> Response<Full<Bytes>> {
    reply_with(200, "image/svg+xml", drawing.as_bytes().to_vec())
}

/// Creates a refusal with a result code; `detail` is appended to the code's text unless it is
/// empty.
#[must_use]
pub fn refusal(code: Code, detail: &str) -> Response<Full<Bytes>> {
    let message =
        if detail.is_empty() { code.text().to_owned() } else { format!("{}: {detail}", code.text()) };
    json(code.status(), &Refusal { code, message: &message })
}

fn reply_with(status: u16, kind: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut reply = Response::new(bytes(body));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    reply.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static(kind));
    reply
}
