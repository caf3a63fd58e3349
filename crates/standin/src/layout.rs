//! The two users' deployments at their present sizes, and a small one, as resources and
//! searchers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use super::behaviour::Behaviour;

/// The deployments that a layout can describe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// A small one, for the demo and tests: three shards with two replicas each.
    Small,
    /// Caroni Sortworks: address search.
    Caroni,
    /// The licence front: seat lookups.
    Licence,
}

/// The searchers of one index, which are all alike, and the settings of its lookups. `shards`
/// and `searchers` count per service.
#[derive(Clone, Copy, Debug)]
struct SearcherGroup {
    index: &'static str,
    services: usize,
    shards: usize,
    searchers: usize,
    slots: u32,
    connections: u32,
    connect_ms: u32,
    urgency: &'static str,
    prefer: &'static str,
    deadline_ms: u32,
    repeatable: bool,
}

/// One searcher of a layout.
#[derive(Clone, Debug)]
pub struct SearcherSpec {
    /// Its name.
    pub name: String,
    /// The service whose shards it holds.
    pub service: String,
    /// Its number within its service, from 0.
    pub replica: usize,
    /// Its behaviour when it is started.
    pub behaviour: Behaviour,
    zone: &'static str,
}

/// The searchers, services, indexes and lookups of a deployment.
#[derive(Clone, Debug)]
pub struct Layout {
    /// All searchers, in the order in which the `standin` program assigns ports.
    pub searchers: Vec<SearcherSpec>,
    /// The lookups by name, with the number of shards of each, without the `-audit` ones.
    pub lookups: BTreeMap<String, usize>,
    groups: Vec<SearcherGroup>,
}

const SMALL: SearcherGroup = SearcherGroup {
    index: "parcels",
    services: 3,
    shards: 1,
    searchers: 2,
    slots: 2,
    connections: 25,
    connect_ms: 1,
    urgency: "urgent",
    prefer: "time",
    deadline_ms: 1000,
    repeatable: true,
};

const CONSOLE: SearcherGroup =
    SearcherGroup { index: "console", services: 20, connect_ms: 6, deadline_ms: 250, ..SMALL };

const COURIER: SearcherGroup = SearcherGroup {
    index: "courier",
    services: 1,
    shards: 7,
    searchers: 7,
    slots: 4,
    connections: 100,
    connect_ms: 1,
    deadline_ms: 250,
    ..SMALL
};

impl Layout {
    /// Returns the layout of a deployment.
    #[must_use]
    pub fn new(deployment: Deployment) -> Self {
        let groups = match deployment {
            Deployment::Small => vec![SMALL],
            Deployment::Caroni => vec![
                CONSOLE,
                SearcherGroup {
                    index: "counter",
                    services: 30,
                    urgency: "ordinary",
                    deadline_ms: 500,
                    ..CONSOLE
                },
                COURIER,
                SearcherGroup {
                    index: "bulk",
                    shards: 3,
                    searchers: 3,
                    urgency: "bulk",
                    deadline_ms: 2000,
                    prefer: "coverage",
                    ..COURIER
                },
            ],
            Deployment::Licence => vec![
                SearcherGroup { index: "usage", prefer: "coverage", deadline_ms: 500, ..CONSOLE },
                SearcherGroup {
                    index: "overuse",
                    services: 30,
                    urgency: "ordinary",
                    deadline_ms: 1000,
                    prefer: "coverage",
                    ..CONSOLE
                },
                SearcherGroup {
                    index: "availability",
                    shards: 3,
                    searchers: 3,
                    connections: 40,
                    urgency: "ordinary",
                    prefer: "coverage",
                    deadline_ms: 500,
                    ..COURIER
                },
                SearcherGroup {
                    index: "renewal",
                    shards: 3,
                    searchers: 3,
                    connections: 40,
                    urgency: "bulk",
                    prefer: "coverage",
                    deadline_ms: 1000,
                    ..COURIER
                },
            ],
        };
        let searchers = groups.iter().flat_map(searcher_specs).collect();
        let mut lookups: BTreeMap<String, usize> =
            groups.iter().map(|g| (g.index.to_owned(), g.services * g.shards)).collect();
        for group in &groups {
            lookups.insert(format!("{}-once", group.index), group.services * group.shards);
        }
        Self { searchers, lookups, groups }
    }

    /// Returns the resources by key; `address` returns where the searcher of a name listens.
    pub fn resources(&self, address: impl Fn(&str) -> SocketAddr) -> Vec<(String, Option<Value>)> {
        let mut items = Vec::new();
        for group in &self.groups {
            for spec in self.searchers.iter().filter(|s| s.service.starts_with(group.index)) {
                items.push((
                    format!("upstreams/{}", spec.name),
                    Some(upstream_resource(group, spec, address(&spec.name))),
                ));
            }
            items.extend(service_resources(group));
            items.push((format!("indexes/{}", group.index), Some(index_resource(group, &[1]))));
            items.push((format!("lookups/{}", group.index), Some(lookup_resource(group, group.repeatable))));
            let audit = SearcherGroup { urgency: "ordinary", deadline_ms: group.deadline_ms * 4, ..*group };
            items.push((format!("lookups/{}-audit", group.index), Some(lookup_resource(&audit, true))));
            items.push((format!("lookups/{}-once", group.index), Some(lookup_resource(group, false))));
        }
        items
    }

    /// Returns the resource of an index with the snapshot versions given, `None` if the layout
    /// has no such index.
    #[must_use]
    pub fn index_resource(&self, name: &str, versions: &[u64]) -> Option<Value> {
        self.groups.iter().find(|group| group.index == name).map(|group| index_resource(group, versions))
    }
}

fn service_name(group: &SearcherGroup, number: usize) -> String {
    format!("{}-{number:02}", group.index)
}

fn searcher_specs(group: &SearcherGroup) -> Vec<SearcherSpec> {
    let behaviour = Behaviour {
        slots: usize::try_from(group.slots).unwrap_or(1),
        connections: usize::try_from(group.connections).unwrap_or(1),
        connect_ms: f64::from(group.connect_ms),
        latency_ms: 0.5,
        ..Behaviour::default()
    };
    let mut all = Vec::new();
    for number in 0..group.services {
        let service = service_name(group, number);
        for replica in 0..group.searchers {
            let zone = if replica % 2 == 0 { "hall-1a" } else { "hall-1b" };
            let name = format!("{service}-{replica}");
            all.push(SearcherSpec {
                name,
                service: service.clone(),
                replica,
                behaviour: behaviour.clone(),
                zone,
            });
        }
    }
    all
}

fn upstream_resource(group: &SearcherGroup, spec: &SearcherSpec, address: SocketAddr) -> Value {
    json!({
        "address": address, "zone": spec.zone, "slots": group.slots,
        "connections": group.connections, "connect-ms": group.connect_ms,
    })
}

/// Returns the service resources of a group. Shard `s` of a service has two replicas, searchers
/// `s` and `s + 1`, counted round.
fn service_resources(group: &SearcherGroup) -> Vec<(String, Option<Value>)> {
    let mut all = Vec::new();
    for number in 0..group.services {
        let name = service_name(group, number);
        let mut shards = serde_json::Map::new();
        for shard in 0..group.shards {
            let next = (shard + 1) % group.searchers;
            shards.insert(shard.to_string(), json!([format!("{name}-{shard}"), format!("{name}-{next}")]));
        }
        all.push((format!("services/{name}"), Some(json!({ "team": group.index, "shards": shards }))));
    }
    all
}

fn index_resource(group: &SearcherGroup, versions: &[u64]) -> Value {
    let numbers: Vec<String> = (0..group.shards).map(|shard| shard.to_string()).collect();
    let services: BTreeMap<String, &Vec<String>> =
        (0..group.services).map(|number| (service_name(group, number), &numbers)).collect();
    let snapshots: Vec<Value> =
        versions.iter().map(|version| json!({ "version": version, "shards": services })).collect();
    json!({ "team": group.index, "snapshots": snapshots })
}

fn lookup_resource(group: &SearcherGroup, repeatable: bool) -> Value {
    json!({
        "team": group.index, "index": group.index, "urgency": group.urgency,
        "deadline-ms": group.deadline_ms, "repeatable": repeatable, "prefer": group.prefer,
    })
}
