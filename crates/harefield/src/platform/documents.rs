//! Decodes the documents in the platform's store into harefield's own resources.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use xxhash_rust::xxh3::xxh3_64;

use crate::domain::ids::AccountId;
use crate::domain::ids::shard_id;
use crate::domain::key::KeyDigest;
use crate::domain::resources::Account;
use crate::domain::resources::Bounds;
use crate::domain::resources::Catalog;
use crate::domain::resources::ColdLimit;
use crate::domain::resources::Entry;
use crate::domain::resources::Index;
use crate::domain::resources::Lookup;
use crate::domain::resources::Preference;
use crate::domain::resources::Service;
use crate::domain::resources::Snapshot;
use crate::domain::resources::Split;
use crate::domain::resources::Upstream;
use crate::domain::resources::Urgency;
use crate::domain::time::millis;

/// The name of the only shard of each of the users' services.
const SHARD: &str = "all";

/// The version of the only snapshot of each index: a changed set of services makes a new index.
const VERSION: u64 = 1;

/// Routes with a priority up to this value are urgent; 0 is the highest priority.
const URGENT_RANK: u32 = 1;

/// Routes with a priority up to this value are ordinary; those above it are bulk work.
const ORDINARY_RANK: u32 = 2;

/// The step to which remaining cold times are rounded up, in milliseconds. An upstream rewrites its
/// entry about once a second while it warms up, and each change would be sent to every daemon. With
/// this step, a cold period of 3 s, as the users' upstreams have it, is sent twice: at its start
/// and at its end.
const COLD_STEP_MS: f64 = 5000.0;

/// The longest cold period, in steps: ten minutes.
const MAX_COLD_STEPS: f64 = 120.0;

/// Weights may be fractions; they are stored as integers in units of 1/1000.
const WEIGHT_PARTS: f64 = 1000.0;

/// The operator's complete configuration document.
#[derive(Debug, Deserialize)]
struct ConfigDocument {
    /// Increases with each publication, though not necessarily by 1.
    version: u64,
    routes: Vec<Route>,
    #[serde(default)]
    services: Vec<ServiceLimits>,
    #[serde(default)]
    limits: ClientLimits,
    /// The client accounts. If the field is present, keys are required, even if the list is empty.
    tenants: Option<Vec<Tenant>>,
}

/// A client account.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    name: Arc<str>,
    #[serde(default, deserialize_with = "digests")]
    api_keys: Vec<KeyDigest>,
    /// Takes precedence over the route's priority.
    priority: Option<u32>,
    /// The requests per second that the account may send; unlimited if 0.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    /// The only regions that may serve the account's requests; any region if empty.
    #[serde(default)]
    home_regions: Vec<Arc<str>>,
}

impl Tenant {
    fn into_account(self) -> (AccountId, Account) {
        let account = Account {
            team: String::new(),
            keys: self.api_keys,
            urgency: self.priority.map(urgency),
            rate: self.rate_per_s,
            burst: self.burst,
            regions: self.home_regions.into(),
        };
        (self.name, account)
    }
}

/// Deserializes keys as digests. The error message never contains a key.
fn digests<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<KeyDigest>, D::Error> {
    let keys = Vec::<String>::deserialize(deserializer);
    let keys = keys.map_err(|_error| serde::de::Error::custom("expected a list of keys"))?;
    Ok(keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect())
}

/// A route: which requests it matches, and the services that handle them.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Route {
    name: Arc<str>,
    host: String,
    path_prefix: Arc<str>,
    /// The only service of the route, unless one of the next two fields is set.
    service: Option<Arc<str>>,
    /// The services among which the route's requests are divided, by weight.
    traffic_split: Option<Vec<SplitPart>>,
    /// The services that are queried as shards: each request goes to all of them.
    fanout_services: Option<Vec<Arc<str>>>,
    /// `safe` if a request may run more than once.
    kind: String,
    timeout_ms: u64,
    target_latency_ms: Option<u64>,
    #[serde(default)]
    priority: u32,
    attempts: Option<u32>,
    /// The maximum number of records in a merged answer.
    result_limit: Option<usize>,
    /// The smallest share of the shards that makes an answer. The document's field name is
    /// misleading: it is not a version.
    oldest_version: Option<f64>,
    /// The only regions that may serve the route's requests; any region if empty.
    #[serde(default)]
    home_regions: Vec<Arc<str>>,
    /// Whether requests need no key.
    #[serde(default)]
    public: bool,
}

/// One service of a traffic split, with its share of the requests.
#[derive(Debug, Deserialize)]
struct SplitPart {
    service: Arc<str>,
    weight: f64,
}

/// Limits that apply to every upstream of a service.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceLimits {
    name: Arc<str>,
    connection_limit: Option<u32>,
    /// How long an upstream is cold after it has started, in seconds.
    #[serde(default)]
    cold_start_s: f64,
    /// How many requests per second a cold upstream can handle; unlimited if 0.
    #[serde(default)]
    cold_per_s: f64,
}

impl ServiceLimits {
    fn cold(&self) -> Option<ColdLimit> {
        let start = Duration::try_from_secs_f64(self.cold_start_s).unwrap_or_default();
        (self.cold_per_s > 0.0).then_some(ColdLimit { per_s: self.cold_per_s, start_ms: millis(start) })
    }
}

/// Size limits for client requests, in bytes.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClientLimits {
    header_bytes: Option<usize>,
    body_bytes: Option<usize>,
}

/// The entry that an upstream writes about itself; the entry's key contains the upstream's id.
///
/// Every field is required, even those that aren't used: an entry that lacks one, or has another
/// type in it, was written by some other program.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct UpstreamEntry {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    #[serde(rename = "version")]
    _software: String,
    slots: NonZeroU32,
    state: State,
    /// How much longer the upstream is cold, in milliseconds.
    cold_remaining_ms: f64,
    #[serde(rename = "sequence")]
    _sequence: u64,
    /// When the upstream's process started, in milliseconds since the Unix epoch. `None` if the
    /// upstream's platform doesn't report it.
    #[serde(default, deserialize_with = "whole")]
    born: Option<u64>,
}

/// The state that an upstream reports for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    /// The upstream accepts no new work.
    Draining,
}

/// Deserializes a field that may be absent but, if it is present, must be a whole number (so `null`
/// is an error).
fn whole<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    u64::deserialize(deserializer).map(Some)
}

/// The reason why an entry doesn't describe an upstream.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The document isn't valid JSON or doesn't have the fields of an entry.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The address can't be connected to.
    #[error("the address {0} cannot be connected to")]
    Address(SocketAddr),
}

/// Decodes the configuration document.
///
/// # Errors
///
/// Returns an error if the document isn't a valid configuration.
pub fn parse_catalog(document: &[u8]) -> Result<Catalog, serde_json::Error> {
    let config: ConfigDocument = serde_json::from_slice(document)?;
    let mut catalog = Catalog {
        bounds: Bounds { head_bytes: config.limits.header_bytes, body_bytes: config.limits.body_bytes },
        edition: config.version,
        ..Catalog::default()
    };
    for limits in config.services {
        let service = Service { cold: limits.cold(), ..service(limits.connection_limit) };
        catalog.services.insert(limits.name, service);
    }
    catalog.accounts = config.tenants.map(|tenants| tenants.into_iter().map(Tenant::into_account).collect());
    for route in config.routes {
        let name = Arc::clone(&route.name);
        if let Some(lookup) = lookup(route, &mut catalog) {
            catalog.lookups.insert(name, lookup);
        }
    }
    Ok(catalog)
}

/// Decodes an upstream's entry.
///
/// # Errors
///
/// Returns an error if the document doesn't describe an upstream.
pub fn parse_upstream(document: &[u8]) -> Result<Upstream, EntryError> {
    let entry: UpstreamEntry = serde_json::from_slice(document)?;
    let address = entry.address;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(EntryError::Address(address));
    }
    Ok(Upstream {
        address,
        zone: entry.zone,
        slots: entry.slots.get(),
        connections: 0,
        connect_ms: 0,
        holds: vec![shard_id(&entry.service, SHARD)],
        leaving: entry.state == State::Draining,
        born: entry.born,
        cold_ms: round_cold_ms(entry.cold_remaining_ms),
    })
}

/// Rounds the remaining cold time up to whole steps, so that it is never shorter than reported
/// unless it exceeds the maximum.
fn round_cold_ms(remaining: f64) -> u64 {
    let steps = (remaining / COLD_STEP_MS).ceil().clamp(0.0, MAX_COLD_STEPS);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it was clamped")]
    let cold = (steps * COLD_STEP_MS) as u64;
    cold
}

fn service(connections: Option<u32>) -> Service {
    let shards = BTreeMap::from([(SHARD.into(), Vec::new())]);
    Service { team: String::new(), shards, connections, cold: None }
}

/// Decodes a route and adds the indexes that it queries to the catalog. Returns `None` if the route
/// names no service.
fn lookup(route: Route, catalog: &mut Catalog) -> Option<Lookup> {
    let (index, split) = if let Some(services) = &route.fanout_services {
        (add_index(services, catalog)?, Vec::new())
    } else if let Some(parts) = &route.traffic_split {
        let split = parts.iter().filter_map(|part| {
            let index = add_index(std::slice::from_ref(&part.service), catalog)?;
            Some(Split { index, weight: weight(part.weight) })
        });
        let split: Vec<Split> = split.collect();
        (split.first()?.index.clone(), split)
    } else {
        (add_index(&[route.service?], catalog)?, Vec::new())
    };
    Some(Lookup {
        team: String::new(),
        index,
        services: Vec::new(),
        urgency: urgency(route.priority),
        rank: route.priority,
        deadline_ms: route.timeout_ms,
        repeatable: route.kind == "safe",
        prefer: Preference::Coverage,
        entries: vec![Entry { host: route.host.to_ascii_lowercase().into(), prefix: route.path_prefix }],
        objective_ms: route.target_latency_ms,
        least_share: route.oldest_version.unwrap_or(0.0),
        merge: route.fanout_services.map(|_| route.result_limit.unwrap_or(usize::MAX)),
        attempts: route.attempts,
        split,
        regions: route.home_regions.into(),
        public: route.public,
    })
}

fn weight(weight: f64) -> u32 {
    let parts = (weight * WEIGHT_PARTS).round().clamp(0.0, f64::from(u32::MAX / 2));
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it was clamped")]
    let parts = parts as u32;
    parts
}

fn urgency(rank: u32) -> Urgency {
    if rank <= URGENT_RANK {
        Urgency::Urgent
    } else if rank <= ORDINARY_RANK {
        Urgency::Ordinary
    } else {
        Urgency::Bulk
    }
}

/// Adds an index over a set of services, and those of its services that have no limits of their
/// own. Routes over the same set of services share an index.
fn add_index(services: &[Arc<str>], catalog: &mut Catalog) -> Option<String> {
    let first = services.first()?;
    let name = match services {
        [_] => first.to_string(),
        _ => format!("fan-out-{:016x}", xxh3_64(services.join(",").as_bytes())),
    };
    for service_name in services {
        catalog.services.entry(Arc::clone(service_name)).or_insert_with(|| service(None));
    }
    let shards = services.iter().map(|name| (Arc::clone(name), vec![SHARD.into()])).collect();
    let snapshots = vec![Snapshot { version: VERSION, shards }];
    catalog.indexes.insert(name.as_str().into(), Index { team: String::new(), snapshots });
    Some(name)
}
