//! A seeded model of one account's limit over fleets of 24 to 2,700 daemons. Requests arrive at
//! any daemon, which requests permits from the holders of the parts; daemons are partitioned off
//! and restarted.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::support::row;
use harefield::domain::accounts::FleetLimit;
use harefield::domain::accounts::GrantResponse;
use harefield::domain::accounts::Grants;
use harefield::domain::accounts::Holders;
use harefield::domain::accounts::Overage;
use harefield::domain::accounts::PartLimit;
use harefield::domain::accounts::SlotId;
use harefield::domain::ids::HostId;
use harefield::domain::membership::MemberRow;
use harefield::domain::membership::PeerState;
use harefield::domain::resources::Account;

const OVERAGE: Overage = Overage { window: Duration::from_secs(5), share: 0.25, slack: 20.0 };

const ACCOUNT: &str = "apex";

/// How a limit is divided over the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Division {
    /// A few parts, from which any daemon requests permits.
    Parts,
    /// An equal part at each daemon for the requests that arrive there.
    Equal,
}

/// The faults in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A third of the daemons are partitioned off from the others from 10 s to 40 s, but still
    /// reach callers and upstreams.
    Partition,
    /// One daemon after another restarts.
    Restarts,
}

/// The result of a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    requested: u32,
    rejected: u32,
    /// The most admitted requests within any window.
    busiest: usize,
}

impl Totals {
    fn rejected_share(self) -> f64 {
        f64::from(self.rejected) / f64::from(self.requested.max(1))
    }
}

struct Fleet {
    rows: Vec<MemberRow>,
    zones: Vec<Arc<str>>,
    grants: BTreeMap<HostId, Grants>,
    /// The daemons as the majority sees them, and as each partitioned daemon does.
    view: Holders,
    partitioned_views: BTreeMap<usize, Holders>,
    start: Instant,
    limit: FleetLimit,
    division: Division,
}

impl Fleet {
    fn new(daemons: usize, account: &Account, division: Division) -> Self {
        let zones: Vec<Arc<str>> = (0..6).map(|number| format!("z{number}").into()).collect();
        let rows: Vec<MemberRow> = (0..daemons).map(|number| row(number, &zones[number % 6])).collect();
        let start = Instant::now();
        let mut view = Holders::new(&zones, &zones[0]);
        view.update(&rows, start);
        let grants = rows.iter().map(|row| (Arc::clone(&row.host), Grants::new(start))).collect();
        let limit = FleetLimit::of(account, &OVERAGE).expect("it has a limit");
        Self { rows, zones, grants, view, partitioned_views: BTreeMap::new(), start, limit, division }
    }

    /// Partitions a third of the daemons off: they reach no other daemon, and none reaches them.
    fn partition(&mut self, now: Instant) {
        let is_cut = |number: usize| number.is_multiple_of(3);
        for number in (0..self.rows.len()).filter(|number| is_cut(*number)) {
            let mut alone = self.rows.clone();
            alone.iter_mut().filter(|row| row.host != self.rows[number].host).for_each(suspect);
            // Views are expensive at this size, and all views that reach no other daemon are
            // alike.
            if self.partitioned_views.len() < 60 {
                let mut holders = self.view.clone();
                holders.update(&alone, now);
                self.partitioned_views.insert(number, holders);
            }
        }
        let mut rows = self.rows.clone();
        rows.iter_mut().enumerate().filter(|(number, _)| is_cut(*number)).for_each(|(_, row)| suspect(row));
        self.view.update(&rows, now);
    }

    fn heal(&mut self, now: Instant) {
        self.partitioned_views.clear();
        self.view.update(&self.rows, now);
    }

    /// Requests a permit at a daemon; returns whether it was granted.
    fn request(&mut self, number: usize, now: Instant) -> bool {
        if self.division == Division::Equal {
            let daemons = u32::try_from(self.rows.len()).expect("it is small");
            let part = self.limit.part(daemons);
            return self.grant(&Arc::clone(&self.rows[number].host), 0, part, now);
        }
        let parts = self.limit.parts(self.view.part_count());
        let own = self.rows[number].clone();
        let alone = self.partitioned_views.contains_key(&number);
        let mut order: Vec<u32> = (0..parts).collect();
        order.sort_by_key(|part| self.view.zone_of(*part) != Some(&own.zone));
        order.into_iter().any(|part| {
            let slot: SlotId = (ACCOUNT.into(), part);
            let view = self.partitioned_views.get(&number).unwrap_or(&self.view);
            let holder = view.holder(&slot, now);
            let reached = |host: &HostId| *host == own.host || (!alone && view.is_present(host));
            holder.filter(reached).is_some_and(|host| self.grant(&host, part, self.limit.part(parts), now))
        })
    }

    fn grant(&mut self, host: &HostId, part: u32, limit: PartLimit, now: Instant) -> bool {
        let grants = self.grants.get_mut(host).expect("it is a daemon");
        matches!(grants.grant(&(ACCOUNT.into(), part), limit, 1, now), GrantResponse::Granted(_))
    }
}

fn suspect(row: &mut MemberRow) {
    row.state = PeerState::Suspect;
}

/// Simulates a minute in which the account sends `per_s` requests per second, each to any daemon.
fn simulate(daemons: usize, account: &Account, per_s: f64, division: Division, fault: Fault) -> Totals {
    let mut random = StdRng::seed_from_u64(7);
    let mut fleet = Fleet::new(daemons, account, division);
    let (mut totals, mut runs) = (Totals::default(), VecDeque::new());
    let mut at = Duration::from_secs(5);
    let mut partitioned = false;
    while at < Duration::from_secs(65) {
        let draw: f64 = random.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-draw.ln() / per_s);
        let now = fleet.start + at;
        let within = (10..40).contains(&at.as_secs());
        if fault == Fault::Partition && within != partitioned {
            partitioned = within;
            if partitioned { fleet.partition(now) } else { fleet.heal(now) }
        }
        if fault == Fault::Restarts && random.random_bool(0.05) {
            let host = Arc::clone(&fleet.rows[random.random_range(0..daemons)].host);
            fleet.grants.insert(host, Grants::new(now));
        }
        totals.requested += 1;
        if fleet.request(random.random_range(0..daemons), now) {
            runs.push_back(now);
            while runs.front().is_some_and(|first| *first + OVERAGE.window <= now) {
                runs.pop_front();
            }
            totals.busiest = totals.busiest.max(runs.len());
        } else {
            totals.rejected += 1;
        }
    }
    assert_eq!(fleet.zones.len(), 6);
    totals
}

fn allowed(account: &Account) -> f64 {
    (account.rate * OVERAGE.window.as_secs_f64() + account.burst) * (1.0 + OVERAGE.share) + OVERAGE.slack
}

fn accounts() -> [Account; 3] {
    [(0.5, 0.5), (9.0, 9.0), (120.0, 120.0)].map(|(rate, burst)| Account {
        rate,
        burst,
        ..Account::default()
    })
}

#[test]
fn limit_holds_at_any_size() {
    for daemons in [24, 88, 584, 2700] {
        for account in accounts() {
            for fault in [Fault::None, Fault::Partition, Fault::Restarts] {
                let totals = simulate(daemons, &account, account.rate * 9.0, Division::Parts, fault);
                let busiest = f64::from(u32::try_from(totals.busiest).expect("it is small"));
                assert!(busiest <= allowed(&account), "{daemons} {fault:?} {} {totals:?}", account.rate);
            }
        }
    }
}

#[test]
fn usual_load_served() {
    // The users' accounts send 1 / 1.6 of what they are allowed.
    for daemons in [24, 88, 584, 2700] {
        for account in accounts() {
            let usual = account.rate / 1.6;
            let totals = simulate(daemons, &account, usual, Division::Parts, Fault::None);
            assert_eq!(totals.rejected, 0, "{daemons} {} {totals:?}", account.rate);
            let totals = simulate(daemons, &account, usual, Division::Parts, Fault::Restarts);
            assert!(totals.rejected_share() < 0.02, "{daemons} {} {totals:?}", account.rate);
        }
    }
}

#[test]
fn equal_parts_reject() {
    // The rejected alternative: an equal part at each of 584 daemons gains one permit per minute,
    // and rejects load that is far below the limit.
    let [_, account, _] = accounts();
    let totals = simulate(584, &account, account.rate / 1.6, Division::Equal, Fault::None);
    assert!(totals.rejected_share() > 0.9, "{totals:?}");
}
