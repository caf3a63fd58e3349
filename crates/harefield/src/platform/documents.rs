//! The documents that the store holds, decoded into the product's resources.

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

/// The one shard that each of the users' services is.
const SHARD: &str = "all";

/// The version of the one snapshot that each index has: a changed set of
/// services is another index.
const VERSION: u64 = 1;

/// Routes of at most this rank are urgent; 0 is the highest rank.
const URGENT_RANK: u32 = 1;

/// Routes of at most this rank are ordinary, those beyond it bulk work.
const ORDINARY_RANK: u32 = 2;

/// Cold spells are kept in steps of so many milliseconds: an upstream writes its entry again
/// each second or so while it warms up, and each change would be told to every daemon. The
/// users' spells of 3 s are then told twice, as they begin and as they end.
const COLD_STEP_MS: f64 = 5000.0;

/// The longest cold spell, in steps: ten minutes.
const MAX_COLD_STEPS: f64 = 120.0;

/// Weights come as fractions too; they are kept in these parts of one.
const WEIGHT_PARTS: f64 = 1000.0;

/// The newest configuration in whole.
#[derive(Debug, Deserialize)]
struct ConfigDocument {
    /// Rises with each one published, by uneven steps.
    version: u64,
    routes: Vec<Route>,
    #[serde(default)]
    services: Vec<ServiceLimits>,
    #[serde(default)]
    limits: ClientLimits,
    /// The client accounts; keys are asked for where they are given, even if there are none.
    tenants: Option<Vec<Tenant>>,
}

/// A client account.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    name: Arc<str>,
    #[serde(default, deserialize_with = "digests")]
    api_keys: Vec<KeyDigest>,
    /// Goes before the route's.
    priority: Option<u32>,
    /// Not bound where it is 0.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    /// The only regions in which its requests may be served; everywhere where empty.
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

/// Reads keys as their digests; the error repeats no key.
fn digests<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<KeyDigest>, D::Error> {
    let keys = Vec::<String>::deserialize(deserializer);
    let keys = keys.map_err(|_error| serde::de::Error::custom("expected a list of keys"))?;
    Ok(keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect())
}

/// A kind of request.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Route {
    name: Arc<str>,
    host: String,
    path_prefix: Arc<str>,
    /// The one service that runs it, unless one of the next two stands.
    service: Option<Arc<str>>,
    /// Services that its requests are divided over.
    traffic_split: Option<Vec<SplitPart>>,
    /// The shards: every one of these services is asked.
    fanout_services: Option<Vec<Arc<str>>>,
    /// `safe` where a request may run more than once.
    kind: String,
    timeout_ms: u64,
    target_latency_ms: Option<u64>,
    #[serde(default)]
    priority: u32,
    attempts: Option<u32>,
    /// How many records an answer holds.
    result_limit: Option<usize>,
    /// A name that misleads: the least share of the shards that makes an
    /// answer, and no version.
    oldest_version: Option<f64>,
    /// The only regions in which its requests may be served; everywhere where empty.
    #[serde(default)]
    home_regions: Vec<Arc<str>>,
    /// Whether its requests need no key.
    #[serde(default)]
    public: bool,
}

/// A part of a route's requests.
#[derive(Debug, Deserialize)]
struct SplitPart {
    service: Arc<str>,
    weight: f64,
}

/// What holds for all upstreams of a service.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceLimits {
    name: Arc<str>,
    connection_limit: Option<u32>,
    /// How long an upstream is cold after a start, in seconds.
    #[serde(default)]
    cold_start_s: f64,
    /// How many requests a second a cold one bears; not bound where it is 0.
    #[serde(default)]
    cold_per_s: f64,
}

impl ServiceLimits {
    fn cold(&self) -> Option<ColdLimit> {
        let start = Duration::try_from_secs_f64(self.cold_start_s).unwrap_or_default();
        (self.cold_per_s > 0.0).then_some(ColdLimit { per_s: self.cold_per_s, start_ms: millis(start) })
    }
}

/// Bounds on what a client may send.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClientLimits {
    header_bytes: Option<usize>,
    body_bytes: Option<usize>,
}

/// An upstream's own entry; its key holds its id.
///
/// Every field is required, also those that nothing is done with: an entry without one, or
/// with another type in it, is some other writer's.
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
    /// For how much longer it is cold, in milliseconds.
    cold_remaining_ms: f64,
    #[serde(rename = "sequence")]
    _sequence: u64,
    /// When its process started, in milliseconds since the epoch; not from upstreams whose
    /// platform does not say so.
    #[serde(default, deserialize_with = "whole")]
    born: Option<u64>,
}

/// What an upstream says of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    /// It takes no new work.
    Draining,
}

/// Reads a whole number where the field stands; nothing else may stand there.
fn whole<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    u64::deserialize(deserializer).map(Some)
}

/// Why an entry names no upstream.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// It is not of the form of one.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// Nobody can be reached at its address.
    #[error("{0} is no address to connect to")]
    Address(SocketAddr),
}

/// Decodes the configuration.
///
/// # Errors
///
/// Returns why the document is not one.
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
/// Returns why the document names none.
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

/// Returns how long an upstream is cold, in whole steps, and never less than it says.
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

/// Decodes a route, and adds the indexes that it asks; none where it names no
/// service.
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

/// Adds the index over a set of services, and its services where no limits
/// name them; routes over the same set share it.
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
