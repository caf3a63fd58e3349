//! A seeded model of one account's limit over fleets of 24 to 2,700 daemons: its requests come
//! to any daemon, which asks the holders of the parts; daemons are cut off and start again.

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
use harefield::domain::accounts::GrantAnswer;
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

/// How a limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Division {
    /// A few parts, asked for from anywhere.
    Parts,
    /// An equal part at each daemon for what comes there.
    Equal,
}

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// A third of the daemons are cut off from the others from 10 s to 40 s, and reach callers
    /// and upstreams all the time.
    Cuts,
    /// One daemon after the other starts again.
    Restarts,
}

/// What came of a play.
#[derive(Clone, Copy, Debug, Default)]
struct Played {
    asked: u32,
    refused: u32,
    /// The most runs within any window.
    busiest: usize,
}

impl Played {
    fn refused_share(self) -> f64 {
        f64::from(self.refused) / f64::from(self.asked.max(1))
    }
}

struct Fleet {
    rows: Vec<MemberRow>,
    zones: Vec<Arc<str>>,
    grants: BTreeMap<HostId, Grants>,
    /// The daemons as those in touch see them, and as each that is cut off does.
    seen: Holders,
    seen_cut: BTreeMap<usize, Holders>,
    start: Instant,
    limit: FleetLimit,
    division: Division,
}

impl Fleet {
    fn new(daemons: usize, account: &Account, division: Division) -> Self {
        let zones: Vec<Arc<str>> = (0..6).map(|number| format!("z{number}").into()).collect();
        let rows: Vec<MemberRow> = (0..daemons).map(|number| row(number, &zones[number % 6])).collect();
        let start = Instant::now();
        let mut seen = Holders::over(&zones, &zones[0]);
        seen.see(&rows, start);
        let grants = rows.iter().map(|row| (Arc::clone(&row.host), Grants::new(start))).collect();
        let limit = FleetLimit::of(account, &OVERAGE).expect("it has a limit");
        Self { rows, zones, grants, seen, seen_cut: BTreeMap::new(), start, limit, division }
    }

    /// Cuts a third of the daemons off: they see nobody, and nobody sees them.
    fn cut(&mut self, now: Instant) {
        let is_cut = |number: usize| number.is_multiple_of(3);
        for number in (0..self.rows.len()).filter(|number| is_cut(*number)) {
            let mut alone = self.rows.clone();
            alone.iter_mut().filter(|row| row.host != self.rows[number].host).for_each(suspect);
            // Views cost much at this size, and one that sees nobody is like another.
            if self.seen_cut.len() < 60 {
                let mut holders = self.seen.clone();
                holders.see(&alone, now);
                self.seen_cut.insert(number, holders);
            }
        }
        let mut rows = self.rows.clone();
        rows.iter_mut().enumerate().filter(|(number, _)| is_cut(*number)).for_each(|(_, row)| suspect(row));
        self.seen.see(&rows, now);
    }

    fn mend(&mut self, now: Instant) {
        self.seen_cut.clear();
        self.seen.see(&self.rows, now);
    }

    /// Asks for a permit at a daemon.
    fn ask(&mut self, number: usize, now: Instant) -> bool {
        if self.division == Division::Equal {
            let daemons = u32::try_from(self.rows.len()).expect("it is small");
            let part = self.limit.part(daemons);
            return self.grant(&Arc::clone(&self.rows[number].host), 0, part, now);
        }
        let parts = self.limit.parts(self.seen.wanted());
        let own = self.rows[number].clone();
        let alone = self.seen_cut.contains_key(&number);
        let mut order: Vec<u32> = (0..parts).collect();
        order.sort_by_key(|part| self.seen.zone_of(*part) != Some(&own.zone));
        order.into_iter().any(|part| {
            let slot: SlotId = (ACCOUNT.into(), part);
            let seen = self.seen_cut.get(&number).unwrap_or(&self.seen);
            let holder = seen.holder(&slot, now);
            let reached = |host: &HostId| *host == own.host || (!alone && seen.is_present(host));
            holder.filter(reached).is_some_and(|host| self.grant(&host, part, self.limit.part(parts), now))
        })
    }

    fn grant(&mut self, host: &HostId, part: u32, limit: PartLimit, now: Instant) -> bool {
        let grants = self.grants.get_mut(host).expect("it is a daemon");
        matches!(grants.grant(&(ACCOUNT.into(), part), limit, 1, now), GrantAnswer::Granted(_))
    }
}

fn suspect(row: &mut MemberRow) {
    row.state = PeerState::Suspect;
}

/// Plays a minute in which the account asks `per_s` times a second, at any daemon.
fn play(daemons: usize, account: &Account, per_s: f64, division: Division, trouble: Trouble) -> Played {
    let mut random = StdRng::seed_from_u64(7);
    let mut fleet = Fleet::new(daemons, account, division);
    let (mut played, mut runs) = (Played::default(), VecDeque::new());
    let mut at = Duration::from_secs(5);
    let mut cut = false;
    while at < Duration::from_secs(65) {
        let draw: f64 = random.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-draw.ln() / per_s);
        let now = fleet.start + at;
        let within = (10..40).contains(&at.as_secs());
        if trouble == Trouble::Cuts && within != cut {
            cut = within;
            if cut { fleet.cut(now) } else { fleet.mend(now) }
        }
        if trouble == Trouble::Restarts && random.random_bool(0.05) {
            let host = Arc::clone(&fleet.rows[random.random_range(0..daemons)].host);
            fleet.grants.insert(host, Grants::new(now));
        }
        played.asked += 1;
        if fleet.ask(random.random_range(0..daemons), now) {
            runs.push_back(now);
            while runs.front().is_some_and(|first| *first + OVERAGE.window <= now) {
                runs.pop_front();
            }
            played.busiest = played.busiest.max(runs.len());
        } else {
            played.refused += 1;
        }
    }
    assert_eq!(fleet.zones.len(), 6);
    played
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
            for trouble in [Trouble::None, Trouble::Cuts, Trouble::Restarts] {
                let played = play(daemons, &account, account.rate * 9.0, Division::Parts, trouble);
                let busiest = f64::from(u32::try_from(played.busiest).expect("it is small"));
                assert!(busiest <= allowed(&account), "{daemons} {trouble:?} {} {played:?}", account.rate);
            }
        }
    }
}

#[test]
fn usual_load_served() {
    // The users' accounts ask 1 / 1.6 of what they may.
    for daemons in [24, 88, 584, 2700] {
        for account in accounts() {
            let usual = account.rate / 1.6;
            let played = play(daemons, &account, usual, Division::Parts, Trouble::None);
            assert_eq!(played.refused, 0, "{daemons} {} {played:?}", account.rate);
            let played = play(daemons, &account, usual, Division::Parts, Trouble::Restarts);
            assert!(played.refused_share() < 0.02, "{daemons} {} {played:?}", account.rate);
        }
    }
}

#[test]
fn equal_parts_refuse() {
    // The way that was not taken: an equal part at each of 584 daemons gathers one permit in a
    // minute, and refuses what is far inside the limit.
    let [_, account, _] = accounts();
    let played = play(584, &account, account.rate / 1.6, Division::Equal, Trouble::None);
    assert!(played.refused_share() > 0.9, "{played:?}");
}
