//! An HTTP interface for scripts to control the stand-ins; tests call them directly.

use std::net::SocketAddr;
use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use super::behaviour::Behaviour;
use super::net;
use super::net::Reply;
use super::platform::Platform;
use super::searchers::Searchers;

/// Serves the control interface of the stand-ins given; returns the address it listens on.
///
/// - `POST /searchers/NAME` patches a searcher's behaviour; `*` stands for all searchers.
/// - `GET /tally` returns the searchers' counts.
/// - `POST /publish/SPACE` publishes `{KEY: VALUE}` as one revision; a null deletes its key.
/// - `POST /down/COPY` with `true` or `false` sets whether a replica of the platform is down.
/// - `GET /calls` returns the number of calls to the platform, and over how many seconds.
///
/// # Panics
///
/// Panics if the address cannot be bound or the thread cannot be started.
#[expect(clippy::must_use_candidate, reason = "most callers want the effect alone")]
pub fn serve_admin(
    address: SocketAddr,
    platform: Option<Platform>,
    searchers: Option<Searchers>,
) -> SocketAddr {
    let listener = net::bind(address);
    let bound = net::local(&listener);
    let stand_ins = Arc::new((platform, searchers));
    net::serve_on_thread(listener, move || move |request| handle(Arc::clone(&stand_ins), request));
    bound
}

async fn handle(stand_ins: Arc<(Option<Platform>, Option<Searchers>)>, request: Request<Incoming>) -> Reply {
    let (platform, searchers) = &*stand_ins;
    let path = request.uri().path().to_owned();
    let body =
        request.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    let mut parts = path.trim_start_matches('/').split('/');
    match (parts.next(), parts.next(), platform, searchers) {
        (Some("searchers"), Some(name), _, Some(searchers)) => patch_behaviour(searchers, name, &body),
        (Some("tally"), None, _, Some(searchers)) => {
            net::json(200, &serde_json::to_value(searchers.tally()).unwrap_or_default())
        }
        (Some("publish"), Some(space @ ("config" | "hosts")), Some(platform), _) => {
            publish(platform, space, &body)
        }
        (Some("down"), Some(replica), Some(platform), _) => match replica.parse() {
            Ok(replica) if replica < platform.replicas().len() => {
                platform.set_down(replica, &*body == b"true");
                net::json(200, &json!({}))
            }
            _ => net::json(404, &json!({ "error": "no such replica" })),
        },
        (Some("calls"), None, Some(platform), _) => {
            let (calls, time) = platform.calls();
            net::json(200, &json!({ "calls": calls, "seconds": time.as_secs_f64() }))
        }
        _ => net::json(404, &json!({ "error": "no such path" })),
    }
}

/// Replaces the given fields of the present behaviour. If the result is not valid, it is
/// ignored.
fn patch_behaviour(searchers: &Searchers, name: &str, body: &[u8]) -> Reply {
    let fields: serde_json::Map<String, Value> = match serde_json::from_slice(body) {
        Ok(fields) => fields,
        Err(error) => return net::json(400, &json!({ "error": error.to_string() })),
    };
    let apply = |behaviour: &mut Behaviour| {
        let Ok(Value::Object(mut present)) = serde_json::to_value(&*behaviour) else {
            return;
        };
        present.extend(fields.clone());
        if let Ok(changed) = serde_json::from_value(Value::Object(present)) {
            *behaviour = changed;
        }
    };
    if name == "*" {
        searchers.change_all(apply);
    } else if !searchers.change(name, apply) {
        return net::json(404, &json!({ "error": "no such searcher" }));
    }
    net::json(200, &json!({}))
}

fn publish(platform: &Platform, space: &str, body: &[u8]) -> Reply {
    let changes: serde_json::Map<String, Value> = match serde_json::from_slice(body) {
        Ok(changes) => changes,
        Err(error) => return net::json(400, &json!({ "error": error.to_string() })),
    };
    let changes = changes.into_iter().map(|(key, value)| (key, Some(value).filter(|value| !value.is_null())));
    let revision = platform.publish(space, changes.collect());
    net::json(200, &json!({ "revision": revision }))
}
