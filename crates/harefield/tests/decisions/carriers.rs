//! Carriers: within a region, all requests for a shard of a scheduled index go through one daemon.
//!
//! Guards against the collapse at 70% of the upstreams' capacity, in which eight daemons sent to
//! the same replica, each within a limit of its own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use serde_json::json;

use crate::scheduled::rules;
use crate::support::at;
use crate::support::cases;
use crate::support::items;
use crate::support::replica;
use crate::support::row;
use crate::support::values;
use crate::support::view;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::Fanout;
use harefield::domain::ids::HostId;
use harefield::domain::ids::ShardId;
use harefield::domain::membership::MemberRow;
use harefield::domain::membership::PeerState;
use harefield::domain::resources::ResourceSet;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::CarrierCandidate;
use harefield::domain::routing::Carriers;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::Policy;
use harefield::domain::routing::RelayOutcome;
use harefield::domain::routing::Router;
use harefield::domain::routing::Scheduling;
use harefield::domain::topology::Topology;
use harefield::domain::view::View;

/// As many shards as the users' indexes will have.
const SHARDS: usize = 135;

/// The time of one shard on a whole core.
const SHARD_TIME: Duration = Duration::from_micros(60);

/// Returns the names of shards.
fn names(count: usize) -> Vec<ShardId> {
    (0..count).map(|number| format!("s/{number:03}").into()).collect()
}

fn candidates(capacities: &[u32]) -> Vec<CarrierCandidate> {
    let candidate = |(number, capacity): (usize, &u32)| CarrierCandidate {
        host: format!("10.0.0.{number}:7200").into(),
        capacity: *capacity,
    };
    capacities.iter().enumerate().map(candidate).collect()
}

/// Returns the carrier of each shard.
fn assigned(shards: &[ShardId], carriers: &Carriers) -> BTreeMap<ShardId, HostId> {
    let carrier = |shard| carriers.carrier(shard, |_| true).map(Arc::clone);
    shards.iter().filter_map(|shard| Some((Arc::clone(shard), carrier(shard)?))).collect()
}

fn carried(assigned: &BTreeMap<ShardId, HostId>, host: &HostId) -> usize {
    assigned.values().filter(|carrier| *carrier == host).count()
}

proptest! {
    #![proptest_config(cases(300))]

    /// Daemons that list the same members and shards in any order assign them alike, and nobody
    /// takes more than 1.2 times its share.
    #[test]
    fn alike_and_bounded(
        count in 1_usize..200,
        capacities in prop::collection::vec(1_u32..1000, 1..12),
        turn in 0_usize..200,
    ) {
        let (mut shards, mut hosts) = (names(count), candidates(&capacities));
        let first = Carriers::assign(&shards, &hosts);
        let found = assigned(&shards, &first);
        prop_assert_eq!(found.len(), count, "every shard has a carrier");
        let largest = capacities.iter().copied().max().unwrap_or(0);
        let large: Vec<_> = hosts.iter().filter(|host| host.capacity * 2 >= largest).cloned().collect();
        let total: usize = large.iter().map(|host| host.capacity as usize).sum();
        for host in &hosts {
            let most = (6 * count * host.capacity as usize).div_ceil(5 * total);
            let most = if large.contains(host) { most } else { 0 };
            prop_assert!(carried(&found, &host.host) <= most);
        }
        shards.rotate_left(turn % count);
        shards.reverse();
        hosts.rotate_left(turn % capacities.len());
        prop_assert_eq!(Carriers::assign(&shards, &hosts), first);
    }

    /// When a carrier goes, hardly any shards of the others move with its own.
    #[test]
    fn few_others_move(gone in 0_usize..8, seed in 0_u32..1000) {
        let shards = names(SHARDS);
        let mut hosts = candidates(&[500; 8]);
        for host in &mut hosts {
            host.host = format!("{}-{seed}", host.host).into();
        }
        let before = assigned(&shards, &Carriers::assign(&shards, &hosts));
        let gone = hosts.remove(gone).host;
        let after = assigned(&shards, &Carriers::assign(&shards, &hosts));
        let moved = before.iter().filter(|(shard, host)| **host != gone && after[*shard] != **host).count();
        prop_assert!(moved <= SHARDS / 10, "{} of the others' shards moved", moved);
    }
}

#[test]
fn shares_by_capacity() {
    let hosts = candidates(&[500, 250, 500, 250]);
    let found = assigned(&names(3000), &Carriers::assign(&names(3000), &hosts));
    for host in &hosts {
        let (count, share) = (carried(&found, &host.host), host.capacity as usize * 2);
        assert!((share * 9 / 10..=share * 11 / 10).contains(&count), "{count} of a share of {share}");
    }
}

#[test]
fn weak_left_out() {
    // The small members of the users' cells have 0.084 cores, the large ones 0.5.
    let hosts = candidates(&[500, 84, 500, 84, 250, 249]);
    let found = assigned(&names(SHARDS), &Carriers::assign(&names(SHARDS), &hosts));
    let weak = [1, 3, 5].map(|number: usize| carried(&found, &hosts[number].host));
    assert_eq!(weak, [0, 0, 0]);
}

/// Daemons in two zones of region `r1`, and replicas of each shard in `r1`, `r2` and `r3`.
struct Fleet {
    rows: Vec<MemberRow>,
    view: View,
    scheduled: bool,
    start: Instant,
}

impl Fleet {
    fn new(daemons: usize, scheduled: bool) -> Self {
        let mut values = values(SHARDS, 3, &[7]);
        for (key, value) in &mut values {
            if let Some(zone) = key.strip_prefix("upstreams/").and_then(|name| name.split('-').nth(1)) {
                value["zone"] = ["a", "c", "d"][zone.parse::<usize>().expect("it is a number")].into();
            }
        }
        let lookup = values.get_mut("lookups/l").expect("it is there");
        lookup["attempts"] = json!(2);
        lookup["objective-ms"] = json!(200);
        let set = Arc::new(ResourceSet::parse(&items(values)).expect("the values are valid"));
        let rows = (0..daemons).map(|number| row(number, ["a", "b"][number % 2])).collect();
        Self { rows, view: view(&set), scheduled, start: Instant::now() }
    }

    /// Adds daemons in the region `r2`.
    fn with_far(mut self, daemons: usize) -> Self {
        let first = self.rows.len();
        self.rows.extend((first..first + daemons).map(|number| row(number, "c")));
        self
    }

    /// Returns the router of a daemon, which sees some others as not answering.
    fn router(&self, daemon: usize, suspects: &[usize]) -> Router {
        let own = &self.rows[daemon];
        let regions = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r3")];
        let regions = regions.map(|(zone, region)| (zone.into(), region.into()));
        let topology = Topology { zone: Arc::clone(&own.zone), regions: BTreeMap::from(regions) };
        let mut router = Router::new(Policy::Cost, Budgets::single(0.05), daemon as u64, self.start)
            .with_topology(topology)
            .with_scheduling(Scheduling::new(self.scheduled, &[]))
            .with_local(LocalDaemon { host: Arc::clone(&own.host), ..LocalDaemon::default() });
        router.apply(&self.view, self.start);
        router.record_sending(100, SHARD_TIME * 100);
        self.update(&mut router, suspects);
        router
    }

    fn update(&self, router: &mut Router, suspects: &[usize]) {
        let state = |at| if suspects.contains(&at) { PeerState::Suspect } else { PeerState::Live };
        let rows: Vec<MemberRow> = self
            .rows
            .iter()
            .enumerate()
            .map(|(at, row)| MemberRow { state: state(at), ..row.clone() })
            .collect();
        let own = Arc::clone(&router.local().host);
        router.update_daemons(rows.iter().filter(|row| row.host != own));
    }

    /// Starts a request; returns the daemon that queries each shard, and the fan-out.
    fn request(&self, router: &mut Router, now: Instant) -> (Vec<HostId>, Fanout) {
        router.lease_mut().renew(now);
        let rules = AnswerRules {
            deadline: at(now, 1000),
            hedge_factor: None,
            objective: Some(at(now, 200)),
            cutoff: Some(at(now, 200)),
            min_share: 0.85,
            grouped: true,
            ..rules(now)
        };
        let mut fanout = Fanout::new(Arc::clone(&self.view.lookups["l"].plans[0]), rules, 0);
        let mut actions = fanout.start_groups(now, router, &mut Vec::new());
        actions.extend(fanout.start(now, router, &mut Vec::new()));
        let mut senders = vec![HostId::default(); SHARDS];
        for action in actions {
            match action {
                Action::Send(send) => senders[send.shard] = Arc::clone(&router.local().host),
                Action::Delegate(group) => {
                    group.shards.iter().for_each(|shard| senders[*shard] = Arc::clone(&group.host));
                }
                Action::Revoke(_) | Action::Cancel(_) => {}
            }
        }
        (senders, fanout)
    }

    /// Returns at how many daemons the requests for a shard meet, at most, if each daemon of `r1`
    /// gets one.
    fn meeting_at(&self, daemons: usize) -> usize {
        let mut met = vec![BTreeSet::new(); SHARDS];
        for daemon in 0..daemons {
            let (senders, _) = self.request(&mut self.router(daemon, &[]), self.start);
            senders.into_iter().zip(&mut met).for_each(|(host, met)| {
                met.insert(host);
            });
        }
        met.iter().map(BTreeSet::len).max().unwrap_or(0)
    }
}

#[test]
fn met_by_one() {
    // Every daemon took a quota for itself and preferred the daemons of its own zone.
    let before = Fleet::new(8, false).meeting_at(8);
    assert!(before > 1, "the shards met at {before} daemons");
    assert_eq!(Fleet::new(8, true).meeting_at(8), 1);
}

#[test]
fn killed_then_replaced() {
    let fleet = Fleet::new(6, true);
    let mut router = fleet.router(0, &[]);
    let (before, mut fanout) = fleet.request(&mut router, fleet.start);
    let victim = Arc::clone(&fleet.rows[2].host);
    let lost = before.iter().filter(|host| **host == victim).count();
    assert!(lost > 0, "the daemon carries shards");
    // Its groups are revoked while the members still show it as live.
    let now = at(fleet.start, 260);
    router.lease_mut().renew(now);
    let actions = fanout.on_timer(now, &mut router, &mut Vec::new());
    let revoked = actions.iter().filter(|action| matches!(action, Action::Revoke(_))).count();
    assert!(revoked > 0, "groups without an answer are revoked");
    // Once it is seen not to answer, the others take its shards and keep nearly all of theirs.
    fleet.update(&mut router, &[2]);
    let (after, _) = fleet.request(&mut fleet.router(0, &[2]), fleet.start);
    assert!(after.iter().all(|host| *host != victim && !host.is_empty()));
    let kept = before.iter().zip(&after).filter(|(before, after)| before == after).count();
    assert!(kept >= (SHARDS - lost) * 8 / 10, "{kept} of {} kept", SHARDS - lost);
}

#[test]
fn members_disagree() {
    let fleet = Fleet::new(6, true);
    for (daemon, suspects) in [(0, vec![]), (1, vec![2, 3]), (2, vec![0, 1, 3, 4, 5])] {
        let (senders, _) = fleet.request(&mut fleet.router(daemon, &suspects), fleet.start);
        assert!(senders.iter().all(|host| !host.is_empty()), "every shard is queried by daemon {daemon}");
        assert!(suspects.iter().all(|at| !senders.contains(&fleet.rows[*at].host)));
    }
}

#[test]
fn brief_backoff() {
    // A group without an answer moves a carrier's shards for 100 ms at first, and not at all where
    // the carrier answered another group meanwhile.
    let fleet = Fleet::new(6, true);
    let mut router = fleet.router(0, &[]);
    let host = Arc::clone(&fleet.rows[2].host);
    let kind = "l".into();
    let carries =
        |router: &mut Router, millis| fleet.request(router, at(fleet.start, millis)).0.contains(&host);
    let end = |router: &mut Router, sent, outcome, ended| {
        let (sent, ended) = (at(fleet.start, sent), at(fleet.start, ended));
        router.relays_mut().begin(&host, sent);
        router.relays_mut().end(&host, &kind, sent, outcome, ended);
    };
    end(&mut router, 1, RelayOutcome::Answered(Duration::from_millis(4)), 10);
    end(&mut router, 5, RelayOutcome::Silent, 20);
    assert!(carries(&mut router, 20), "it answered after the group was sent");
    let mut router = fleet.router(0, &[]);
    end(&mut router, 5, RelayOutcome::Silent, 20);
    end(&mut router, 6, RelayOutcome::Silent, 21);
    assert!(!carries(&mut router, 50));
    assert!(carries(&mut router, 120), "groups lost together count once");
    assert!(!carries(&mut router, 121), "one group at a time until one is answered");
}

#[test]
fn only_its_shards_move() {
    let fleet = Fleet::new(6, true);
    let (before, _) = fleet.request(&mut fleet.router(0, &[]), fleet.start);
    let mut router = fleet.router(0, &[]);
    let host = &fleet.rows[3].host;
    router.relays_mut().begin(host, fleet.start);
    router.relays_mut().end(host, &"l".into(), fleet.start, RelayOutcome::Silent, fleet.start);
    let (after, _) = fleet.request(&mut router, fleet.start);
    for (before, after) in before.iter().zip(&after).filter(|(before, _)| *before != host) {
        assert_eq!(before, after, "the members are the same, so the assignment is");
    }
    assert!(!after.contains(host));
}

#[test]
fn kept_in_region() {
    // A paused or slow replica is its carrier's to judge; one that takes no work isn't.
    let fleet = Fleet::new(4, true).with_far(3);
    let far = |senders: &[HostId], shard: usize| fleet.rows[4..].iter().any(|row| row.host == senders[shard]);
    let mut router = fleet.router(0, &[]);
    let slow = replica(5, 0);
    router.begin(&slow, fleet.start);
    let state = router.upstream(&slow).expect("it is known");
    assert!(!state.is_healthy(0.05, at(fleet.start, 2000)), "other indexes leave it");
    let (senders, _) = fleet.request(&mut router, at(fleet.start, 2000));
    assert!(!far(&senders, 5));
    let mut view = fleet.view.clone();
    let leaving = view.set.upstreams[&replica(6, 0)].address;
    view.leaving.insert(leaving);
    router.apply(&view, fleet.start);
    let moved: BTreeSet<bool> = (0..40)
        .map(|_| {
            let (senders, _) = fleet.request(&mut router, at(fleet.start, 2000));
            assert!(!far(&senders, 7), "the other shards stay");
            far(&senders, 6)
        })
        .collect();
    assert!(moved.contains(&true), "r2 has carriers and a replica");
}
