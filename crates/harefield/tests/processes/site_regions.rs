//! Daemons and upstreams over two regions: `north` with the availability zones `n1` and
//! `n2`, and `south` with `s1`.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;
use standin::SignedSearcher;
use standin::SiteStore;
use standin::upstream_entry;

use crate::site_support::Answer;
use crate::site_support::limits;
use crate::site_support::request_at;
use crate::site_support::send_request;
use crate::support::Daemon;
use crate::support::await_true;

const REGIONS: &str = "[host.regions]\nn1 = \"north\"\nn2 = \"north\"\ns1 = \"south\"\n";

/// A store, upstreams and daemons in several regions.
pub struct RegionalSite {
    pub store: SiteStore,
    pub daemons: Vec<Daemon>,
    upstreams: BTreeMap<String, SignedSearcher>,
    zones: BTreeMap<String, String>,
    /// The published limit of requests a second to a cold upstream; 0 for no limit.
    pub cold_per_s: f64,
}

impl RegionalSite {
    /// Starts a daemon in each of `zones`, the first one being the seed of the others, and the
    /// shards `s1` to `s3` and the service `one` with one upstream each in `n1` and in `s1`.
    pub fn start(zones: &[&str], cell: usize) -> Self {
        let mut regions = Self::prepare();
        for zone in zones {
            regions.add_daemon(zone, cell);
        }
        let known = |daemon: &Daemon| daemon.status().peers.len() == zones.len();
        await_true("all daemons know each other", || regions.daemons.iter().all(known));
        regions.await_all("/one/", 200);
        regions
    }

    /// Starts the same store and upstreams without a daemon.
    pub fn prepare() -> Self {
        let store = SiteStore::start();
        let mut regions = Self {
            store,
            daemons: Vec::new(),
            upstreams: BTreeMap::new(),
            zones: BTreeMap::new(),
            cold_per_s: 0.0,
        };
        for service in ["s1", "s2", "s3", "one"] {
            regions.add("n1", service);
            regions.add("s1", service);
        }
        regions.publish(1, &[]);
        regions
    }

    /// Starts one more daemon in a zone, with cells of `cell` members.
    pub fn add_daemon(&mut self, zone: &str, cell: usize) {
        let seed = self.daemons.first().map(|first| format!("\"{}\"", first.addresses.peers));
        self.daemons.push(Daemon::start(&format!(
            "[host]\nzone = \"{zone}\"\n{REGIONS}[listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             operators = \"127.0.0.1:0\"\n[platform]\nkind = \"store\"\naddresses = [\"{}\"]\n[peers]\n\
             exchange-ms = 100\njoin-ms = 400\nseeds = [{}]\n[routing]\nextra-load = 0.5\nextra-slack = 50\n\
             cell-size = {cell}\n",
            self.store.address(),
            seed.unwrap_or_default(),
        )));
    }

    fn add(&mut self, zone: &str, service: &str) {
        let id = format!("{service}-{zone}");
        let upstream = SignedSearcher::start(&id, &[1, 2]);
        self.store.put(&upstream.key(), Some(&upstream_entry(upstream.address(), zone, service, "ready")));
        self.zones.insert(id.clone(), zone.to_owned());
        self.upstreams.insert(id, upstream);
    }

    /// Publishes a version whose routes are restricted to home regions; unrestricted if `homes`
    /// is empty.
    pub fn publish(&self, version: u64, homes: &[&str]) {
        let cold = self.cold_per_s;
        let services = ["s1", "s2", "s3", "one"]
            .map(|name| json!({ "name": name, "connectionLimit": 26, "coldStartS": 3.0, "coldPerS": cold }));
        let config = json!({
            "version": version, "routes": routes(homes), "services": services, "limits": limits(),
        });
        self.store.put("op/config", Some(&config));
    }

    /// Rewrites the entries of a zone's upstreams, which are now cold for `millis`.
    pub fn set_cold(&self, zone: &str, millis: u64) {
        for (name, upstream) in self.upstreams.iter().filter(|(name, _)| self.zones[*name] == zone) {
            let service = name.split('-').next().expect("the id starts with a service");
            let mut entry = upstream_entry(upstream.address(), zone, service, "ready");
            entry["coldRemainingMs"] = json!(millis);
            self.store.put(&upstream.key(), Some(&entry));
        }
    }

    /// Requests the evacuation of a zone, or withdraws it.
    pub fn evacuate(&self, zone: &str, asked: bool) {
        let empty = json!({});
        self.store.put(&format!("op/evacuate/{zone}"), asked.then_some(&empty));
    }

    /// Sends a request to the daemon with an index.
    pub fn request(&self, daemon: usize, path: &str, id: &str) -> Answer {
        request_at(&self.daemons[daemon], path, id, 2000)
    }

    /// Waits until all daemons answer a path with a status.
    pub fn await_all(&self, path: &str, status: u16) {
        let path = format!("{path}probe");
        let says = |daemon: &Daemon| {
            let head = "Attempt-Id: probe\r\nDeadline-Remaining: 2000\r\n";
            send_request(daemon.addresses.callers, &path, head).status == status
        };
        await_true("all daemons answer with the status", || self.daemons.iter().all(says));
    }

    /// Waits until a request to a daemon reaches upstreams in these zones only.
    pub fn await_only(&self, daemon: usize, path: &str, zones: &[&str]) {
        let mut number = 0;
        await_true("requests go to these zones only", || {
            number += 1;
            let id = format!("only-{daemon}-{number}");
            self.request(daemon, path, &id);
            self.zones_of(&id).iter().all(|zone| zones.contains(&zone.as_str()))
        });
    }

    /// Returns the zones of the upstreams that ran a request, sorted and without duplicates.
    pub fn zones_of(&self, id: &str) -> Vec<String> {
        let ran = |name: &&String| self.upstreams[*name].runs().iter().any(|run| run == id);
        let mut zones: Vec<String> =
            self.upstreams.keys().filter(ran).map(|name| self.zones[name].clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the upstreams of a zone.
    pub fn upstreams(&self, zone: &str) -> impl Iterator<Item = &SignedSearcher> {
        let there = move |name: &String| self.zones[name] == zone;
        self.upstreams.iter().filter(move |(name, _)| there(name)).map(|(_, upstream)| upstream)
    }
}

fn routes(homes: &[&str]) -> Vec<Value> {
    let route = |name: &str, kind: &str, more: Value| {
        let mut route = json!({
            "name": name, "host": "x.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "attempts": 2, "homeRegions": homes,
        });
        if let (Some(route), Value::Object(more)) = (route.as_object_mut(), more) {
            route.extend(more);
        }
        route
    };
    let shards = json!({ "fanoutServices": ["s1", "s2", "s3"], "resultLimit": 4, "oldestVersion": 0.6 });
    vec![
        route("all", "safe", shards),
        route("one", "safe", json!({ "service": "one" })),
        route("once", "unsafe", json!({ "service": "one" })),
    ]
}
