//! Builds the configuration, in the form that the users' operators publish.

use std::collections::BTreeSet;

use serde_json::Value;
use serde_json::json;

use crate::cluster::MAX_ATTEMPTS;
use crate::cluster::MIN_SHARE;
use crate::cluster::RESULT_LIMIT;

/// The connection limit of each upstream.
const CONNECTIONS: u64 = 26;

/// Returns a version of the configuration, with these shards on its merged route and
/// all services.
pub(crate) fn configuration(version: u64, shards: &[String], services: &BTreeSet<&str>) -> Value {
    let services: Vec<Value> =
        services.iter().map(|name| json!({ "name": name, "connectionLimit": CONNECTIONS })).collect();
    json!({
        "version": version, "routes": routes(version, shards), "services": services, "limits": limits(),
        "tenants": accounts(version),
    })
}

/// The API key that most callers use; it belongs to the account [`STEADY`].
pub(crate) const STEADY_KEY: &str = "steady-key";

/// The client account of most callers.
pub(crate) const STEADY: &str = "steady";

/// The name prefix of the two accounts that keys move between.
pub(crate) const ROTATING_PREFIX: &str = "turn-";

/// Returns the API key that is introduced by a version, moves to another account with the
/// next version, and is revoked with the one after that.
pub(crate) fn key_of(version: u64) -> String {
    format!("key-of-{version}")
}

fn accounts(version: u64) -> [Value; 2] {
    let keys = [key_of(version), key_of(version.saturating_sub(1))];
    [
        json!({ "name": STEADY, "apiKeys": [STEADY_KEY], "ratePerS": 0 }),
        json!({ "name": format!("{ROTATING_PREFIX}{}", version % 2), "apiKeys": keys, "priority": 1, "ratePerS": 0 }),
    ]
}

fn routes(version: u64, shards: &[String]) -> [Value; 4] {
    let mut all = route("all", "/all/", "safe", 1);
    all["fanoutServices"] = json!(shards);
    all["resultLimit"] = json!(RESULT_LIMIT);
    all["oldestVersion"] = json!(MIN_SHARE);
    let own = format!("version-{version}");
    [
        all,
        on_service(route("one", "/one/", "safe", 2), "plain"),
        on_service(route("once", "/one/once/", "unsafe", 2), "plain"),
        on_service(route("version", "/version/", "safe", 2), &own),
    ]
}

fn on_service(mut route: Value, service: &str) -> Value {
    route["service"] = service.into();
    route
}

fn route(name: &str, path: &str, kind: &str, priority: u64) -> Value {
    json!({
        "name": name, "host": "x.example", "pathPrefix": path, "kind": kind, "timeoutMs": 1000,
        "targetLatencyMs": 300, "priority": priority, "attempts": MAX_ATTEMPTS,
    })
}

fn limits() -> Value {
    json!({ "headerBytes": 8192, "bodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 })
}
