//! The rate limit for cold upstreams over the whole fleet, whatever its daemons know of
//! each other.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use serde_json::json;

use crate::support::at;
use crate::support::cases;
use crate::support::items;
use crate::support::replica;
use crate::support::row;
use crate::support::values;
use harefield::domain::cell::Candidate;
use harefield::domain::cell::CellSize;
use harefield::domain::cold::Allowance;
use harefield::domain::cold::ColdBounds;
use harefield::domain::cold::ColdPeriod;
use harefield::domain::hosts::HostList;
use harefield::domain::ids::HostId;
use harefield::domain::membership::MemberRow;
use harefield::domain::outcome::Gap;
use harefield::domain::resources::ResourceSet;
use harefield::domain::revision::Revision;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::ChoiceRequest;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;
use harefield::domain::topology::Topology;
use harefield::domain::view::View;
use harefield::domain::view::ViewInputs;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// The bounds that the operator set for the fleet.
const BOUND: ColdBounds = ColdBounds { overage: 1.5, slack: 5.0 };

/// The most members of a cell: two in each zone, so that most daemons aren't members.
const MEMBERS: usize = 6;

/// How long others take to learn of a daemon that joins or leaves, in milliseconds.
const GOSSIP_DELAY: u64 = 1500;

/// How long the fleet runs, in milliseconds.
const DURATION: u64 = 9000;

/// The interval at which each daemon tries to send, in milliseconds.
const SEND_INTERVAL: u64 = 50;

fn topology(zone: &str) -> Topology {
    let regions = ZONES.iter().map(|zone| ((*zone).into(), (*zone).into())).collect();
    Topology { zone: zone.into(), regions }
}

/// Returns a set of one shard with one upstream, which is cold and can handle `per_s`.
fn set(per_s: f64, cold_ms: u64) -> Arc<ResourceSet> {
    let mut all = values(1, 1, &[1]);
    let upstream = all.get_mut(&format!("upstreams/{}", replica(0, 0))).expect("it is there");
    upstream["holds"] = json!(["s/000"]);
    upstream["cold-ms"] = json!(cold_ms);
    all.get_mut("services/s").expect("it is there")["cold"] = json!({ "per-s": per_s, "start-ms": 3000 });
    Arc::new(ResourceSet::parse(&items(all)).expect("the values are valid"))
}

/// The time in which a daemon of the fleet runs, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Life {
    number: usize,
    from: u64,
    until: u64,
}

impl Life {
    fn candidate(self, live: bool) -> Candidate {
        let row = row(self.number, ZONES[self.number % 3]);
        Candidate { host: row.host, zone: row.zone, capacity: 1000, live }
    }

    /// Returns whether another daemon knows it at a time: joins and ends are learned of late.
    fn known_at(self, now: u64) -> bool {
        (self.from == 0 || now >= self.from + GOSSIP_DELAY) && now < self.until.saturating_add(GOSSIP_DELAY)
    }

    fn runs_at(self, now: u64) -> bool {
        (self.from..self.until).contains(&now)
    }
}

/// One daemon with its view and router.
struct Node {
    life: Life,
    host: HostId,
    view: View,
    router: Router,
}

impl Node {
    fn new(life: Life, start: Instant) -> Self {
        let host = life.candidate(true).host;
        let own = LocalDaemon { host: Arc::clone(&host), expects_peers: true, ..LocalDaemon::default() };
        let topology = topology(ZONES[life.number % 3]);
        let now = at(start, life.from);
        let router =
            Router::new(Policy::Cost, Budgets::single(0.05), 7, now).with_topology(topology).with_local(own);
        Self { life, host, view: View::default(), router }
    }

    /// Applies the view of a fleet in which some candidates may not be live.
    fn learn(&mut self, fleet: &[Candidate], set: &Arc<ResourceSet>, now: Instant) {
        self.view = self.view.next(&ViewInputs {
            own: &self.host,
            revision: Some(Revision::first(1)),
            set,
            hosts_revision: None,
            hosts: &HostList::default(),
            fleet,
            size: CellSize { max_members: MEMBERS, connections: 1 },
            topology: &topology(ZONES[self.life.number % 3]),
            cold: BOUND,
            require_keys: false,
        });
        self.router.apply(&self.view, now);
        let others = fleet.iter().filter(|other| other.host != self.host);
        let rows: Vec<_> =
            others.map(|other| MemberRow { host: Arc::clone(&other.host), ..row(0, &other.zone) }).collect();
        self.router.update_daemons(&rows);
    }

    /// Sends a request if one may be sent; returns whether it did.
    fn send(&mut self, now: Instant) -> bool {
        self.router.lease_mut().renew(now);
        let Some(plan) = self.view.lookups["l"].plans.first() else { return false };
        let kind = "l".into();
        let request = ChoiceRequest::first(&plan.shards[0].replicas, 1, &kind);
        let Ok(choice) = self.router.choose(&request, now) else { return false };
        self.router.begin(&choice.upstream, now);
        self.router.end(&choice.upstream, now, AttemptOutcome::Succeeded, &Report::default(), now);
        true
    }
}

/// Returns the most requests within any second.
fn most_within_second(sent: &[u64]) -> usize {
    let within = |from: &u64| sent.iter().filter(|at| (*from..from + 1000).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

/// Runs a fleet whose daemons all try to send all the time; returns the times of the requests.
/// `answers` decides for each pair of daemons and each update whether the other one is live.
fn simulate(lives: &[Life], per_s: f64, mut answers: impl FnMut() -> bool) -> Vec<u64> {
    let start = Instant::now();
    let published = set(per_s, 60_000);
    let mut nodes: Vec<Node> = lives.iter().map(|life| Node::new(*life, start)).collect();
    let mut sent = Vec::new();
    for step in 0..DURATION / SEND_INTERVAL {
        let now = step * SEND_INTERVAL;
        for node in &mut nodes {
            if !node.life.runs_at(now) {
                continue;
            }
            if step.is_multiple_of(10) || node.view.lookups.is_empty() {
                let known = lives.iter().filter(|life| life.number == node.life.number || life.known_at(now));
                let fleet: Vec<Candidate> =
                    known.map(|life| life.candidate(life.number == node.life.number || answers())).collect();
                node.learn(&fleet, &published, at(start, now));
            }
            if node.send(at(start, now)) {
                sent.push(now);
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(cases(24))]

    #[test]
    fn bound_holds(
        stay in 1_usize..24,
        joins in prop::collection::vec(0_u64..6000, 0..8),
        ends in prop::collection::vec(0_u64..6000, 0..8),
        per_s in prop::sample::select(vec![0.5, 2.0, 6.0, 25.0]),
        seeds in prop::collection::vec(any::<bool>(), 64),
    ) {
        let lasting = (0..stay).map(|number| (number, 0, u64::MAX));
        let joining = joins.iter().enumerate().map(|(n, from)| (100 + n, *from, u64::MAX));
        let ending = ends.iter().enumerate().map(|(n, until)| (200 + n, 0, *until));
        let lives: Vec<Life> = lasting
            .chain(joining)
            .chain(ending)
            .map(|(number, from, until)| Life { number, from, until })
            .collect();
        let mut turn = 0;
        let sent = simulate(&lives, per_s, || {
            turn += 1;
            seeds[turn % seeds.len()]
        });
        let allowed = (per_s * BOUND.overage + BOUND.slack).floor();
        let most = most_within_second(&sent);
        let most = f64::from(u32::try_from(most).expect("they are few"));
        prop_assert!(most <= allowed, "{most} of {allowed}");
    }
}

#[test]
fn allowance_is_used() {
    let lives: Vec<Life> = (0..9).map(|number| Life { number, from: 0, until: u64::MAX }).collect();
    let sent = simulate(&lives, 25.0, || true);
    let late = sent.iter().filter(|at| **at >= 4000).count();
    assert!(late >= 75, "{late} requests in 5 s of about 105 that are distributed");
    assert!(sent.iter().all(|at| *at >= 3000), "daemons that have just started send nothing");
}

#[test]
fn each_cut_off() {
    // A daemon that sees no other one answer takes itself for a member of every cell.
    let lives: Vec<Life> = (0..36).map(|number| Life { number, from: 0, until: u64::MAX }).collect();
    let most = most_within_second(&simulate(&lives, 6.0, || false));
    assert!(most <= 14, "{most} requests where 14 are allowed");
    assert!(most > 0, "some of the allowance is used");
}

#[test]
fn isolated_start_abstains() {
    // A daemon that has learned of no other one since its start has no quota, however long that
    // lasts.
    let start = Instant::now();
    let life = Life { number: 0, from: 0, until: u64::MAX };
    let mut node = Node::new(life, start);
    let set = set(25.0, 60_000);
    for now in (0..30).map(|second| at(start, second * 1000)) {
        node.learn(&[life.candidate(true)], &set, now);
        assert!(!node.send(now));
    }
}

#[test]
fn period_ends() {
    let start = Instant::now();
    let mut period = ColdPeriod::default();
    period.record_cold(Duration::from_secs(3), start);
    assert!(!period.is_cold(start), "no limit is set");
    period.set_allowance(Some(Allowance { quota: 2, assumed_cold: Duration::from_secs(3) }));
    assert!(period.is_cold(at(start, 2999)) && !period.is_cold(at(start, 3000)));
    for millis in [0, 100] {
        assert_eq!(period.excluded_until(at(start, millis)), None);
        period.record_send(at(start, millis));
    }
    assert_eq!(period.excluded_until(at(start, 200)), Some(at(start, 1000)));
    assert_eq!(period.excluded_until(at(start, 1000)), None);
    period.record_cold(Duration::ZERO, at(start, 1500));
    assert!(!period.is_cold(at(start, 1500)));
    period.assume_cold(at(start, 2000));
    assert!(period.is_cold(at(start, 4999)), "it may have restarted");
}

#[test]
fn no_quota_excluded() {
    let start = Instant::now();
    let lives: Vec<Life> = (0..9).map(|number| Life { number, from: 0, until: u64::MAX }).collect();
    let fleet: Vec<Candidate> = lives.iter().map(|life| life.candidate(true)).collect();
    let set = set(6.0, 60_000);
    // The daemon isn't in the zone of those that share the quota.
    let mut node = Node::new(lives[1], start);
    node.learn(&fleet, &set, start);
    let now = at(start, 5000);
    node.router.lease_mut().renew(now);
    node.router.lease_mut().confirm(now, now);
    let plan = Arc::clone(&node.view.lookups["l"].plans[0]);
    let kind = "l".into();
    let request = ChoiceRequest::first(&plan.shards[0].replicas, 1, &kind);
    assert!(node.router.choose(&request, now).is_err_and(|exclusion| exclusion.gap == Gap::Cold));
}
