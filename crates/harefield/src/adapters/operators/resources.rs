//! Published resources, together with the conditions that this daemon observes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use super::Operators;
use crate::adapters::http;
use crate::domain::code::Code;
use crate::domain::ids::UpstreamId;
use crate::domain::membership::MemberRow;
use crate::domain::resources::Account;
use crate::domain::resources::ResourceError;
use crate::domain::resources::ResourceSet;
use crate::domain::revision::Revision;
use crate::telemetry::Status;
use crate::telemetry::UpstreamStatus;

/// The maximum wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// How often a waiting watch checks for a newer revision.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The query parameters of a listing.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
struct Selection {
    team: Option<String>,
    after: Option<Revision>,
    wait_ms: u64,
}

/// Resources with their observed conditions.
#[derive(Debug, Serialize)]
struct Listing {
    revision: Option<Revision>,
    refused: Option<Revision>,
    items: Vec<Item>,
}

/// One resource.
#[derive(Debug, Serialize)]
struct Item {
    key: String,
    spec: Value,
    accepted: bool,
    faults: Vec<ResourceError>,
    conditions: Value,
}

impl Operators {
    /// Answers requests for `KIND` or `KIND/NAME`; with `after`, waits up to `wait-ms` for a newer
    /// revision.
    pub(super) async fn resources(&self, path: &str, query: &str) -> Response<Full<Bytes>> {
        let selection: Selection = match serde_urlencoded::from_str(query) {
            Ok(selection) => selection,
            Err(error) => return http::refusal(Code::BadField, &error.to_string()),
        };
        self.await_revision(&selection).await;
        let (kind, name) = path.split_once('/').map_or((path, None), |(kind, name)| (kind, Some(name)));
        let Some(mut items) = self.items(kind) else {
            return http::refusal(
                Code::UnknownPath,
                "services, upstreams, lookups, indexes, accounts or hosts",
            );
        };
        if let Some(team) = &selection.team {
            items.retain(|item| item.spec["team"].as_str() == Some(team));
        }
        if let Some(name) = name {
            let key = format!("{kind}/{name}");
            items.retain(|item| item.key == key);
            if items.is_empty() {
                return http::refusal(Code::UnknownPath, &key);
            }
        }
        let config = self.board.status().config.clone();
        http::json(200, &Listing { revision: config.revision, refused: config.refused, items })
    }

    async fn await_revision(&self, selection: &Selection) {
        let until = Instant::now() + Duration::from_millis(selection.wait_ms).min(MAX_WAIT);
        while Instant::now() < until && self.board.status().config.revision <= selection.after {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Returns the resources of a kind, or `None` if there is no such kind.
    fn items(&self, kind: &str) -> Option<Vec<Item>> {
        let set = self.board.set();
        let status = self.board.status().clone();
        let observed = observe(&status);
        let mut items = match kind {
            "services" => make_items(
                kind,
                &set.services,
                |_, service| json!({ "without-replica": unserved_shards(&service.shards, &observed) }),
            ),
            "upstreams" => make_items(kind, &set.upstreams, |name, _| condition(observed.get(name).copied())),
            "indexes" => make_items(kind, &set.indexes, |_, _| json!({})),
            "lookups" => make_items(kind, &set.lookups, |name, _| json!(status.lookups.get(&**name))),
            "accounts" => self.accounts(&set),
            "hosts" => hosts(&status),
            _ => return None,
        };
        add_faults(kind, &status, &mut items);
        Some(items)
    }

    /// Returns the accounts with the number of their keys, but without the keys themselves.
    fn accounts(&self, set: &ResourceSet) -> Vec<Item> {
        let item = |(name, account): (&Arc<str>, &Arc<Account>)| Item {
            key: format!("accounts/{name}"),
            spec: json!({
                "team": account.team, "keys": account.keys.len(), "urgency": account.urgency,
                "rate": account.rate, "burst": account.burst, "regions": account.regions,
            }),
            accepted: true,
            faults: Vec::new(),
            conditions: json!(self.board.account_usage(name)),
        };
        set.accounts.iter().map(item).collect()
    }
}

fn make_items<T: Serialize>(
    kind: &str,
    resources: &BTreeMap<Arc<str>, Arc<T>>,
    conditions: impl Fn(&Arc<str>, &T) -> Value,
) -> Vec<Item> {
    let item = |(name, resource): (&Arc<str>, &Arc<T>)| Item {
        key: format!("{kind}/{name}"),
        spec: serde_json::to_value(&**resource).unwrap_or_default(),
        accepted: true,
        faults: Vec::new(),
        conditions: conditions(name, resource),
    };
    resources.iter().map(item).collect()
}

/// Adds the errors in the newest published revision. A resource that exists only there is listed
/// without its spec.
fn add_faults(kind: &str, status: &Status, items: &mut Vec<Item>) {
    let prefix = format!("{kind}/");
    for fault in status.config.faults.iter().filter(|fault| fault.key.starts_with(&prefix)) {
        let key = fault.key.to_string();
        if !items.iter().any(|item| item.key == key) {
            let (spec, conditions) = (Value::Null, json!({}));
            items.push(Item { key: key.clone(), spec, accepted: false, faults: Vec::new(), conditions });
        }
        let found = items.iter_mut().find(|item| item.key == key);
        if let Some(item) = found {
            item.accepted = false;
            item.faults.push(fault.clone());
        }
    }
}

type Observed<'a> = BTreeMap<&'a UpstreamId, &'a UpstreamStatus>;

/// Returns each upstream as one of the workers observes it.
fn observe(status: &Status) -> Observed<'_> {
    let all = status.workers.values().flat_map(|worker| &worker.upstreams);
    all.map(|upstream| (&upstream.upstream, upstream)).collect()
}

fn condition(observed: Option<&UpstreamStatus>) -> Value {
    observed.map_or_else(|| json!({ "dialled": false }), |upstream| json!(upstream))
}

/// Returns the shards without a replica that accepts new work.
fn unserved_shards(shards: &BTreeMap<Arc<str>, Vec<UpstreamId>>, observed: &Observed<'_>) -> Vec<String> {
    let accepts_work = |name: &UpstreamId| observed.get(name).is_none_or(|upstream| !upstream.leaving);
    let without = shards.iter().filter(|(_, replicas)| !replicas.iter().any(accepts_work));
    without.map(|(shard, _)| shard.to_string()).collect()
}

fn hosts(status: &Status) -> Vec<Item> {
    let item = |row: &MemberRow| Item {
        key: format!("hosts/{}", row.host),
        spec: json!({ "zone": row.zone, "operators": row.operators }),
        accepted: true,
        faults: Vec::new(),
        conditions: json!({ "state": row.state, "incarnation": row.incarnation }),
    };
    status.peers.iter().map(item).collect()
}
