//! A model of a platform that is restored from copies, of daemons that read it and gossip, and of
//! everything that was ever confirmed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::support::at;
use harefield::domain::configuration::Configuration;
use harefield::domain::feed::Change;
use harefield::domain::feed::Delta;
use harefield::domain::feed::DeltaKind;
use harefield::domain::feed::Items;
use harefield::domain::ids::Edition;
use harefield::domain::ids::Era;
use harefield::domain::ids::Key;
use harefield::domain::resources::Evacuation;
use harefield::domain::resources::Upstream;
use harefield::domain::retained::OPERATOR_TIME;
use harefield::domain::retained::RetentionTimes;
use harefield::domain::revision::Revision;
use harefield::domain::time::millis;

/// The interval at which upstreams write.
const HEARTBEAT: Duration = Duration::from_millis(1200);

const DAEMONS: usize = 4;
const UPSTREAMS: usize = 3;
const ZONES: usize = 2;

/// An event in a history.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The operator publishes its next edition.
    Publish,
    /// The operator evacuates a zone, or lifts its evacuation.
    Evacuate(usize),
    /// An upstream starts, begins to leave, or disappears.
    Upstream(usize),
    /// The platform is restored from a copy that lacks its last writes.
    Restore(usize),
    /// Operators and upstreams repeat their writes.
    WriteAgain,
    /// A daemon lists the platform.
    List(usize),
    /// A daemon watches the platform.
    Watch(usize),
    /// A daemon receives updates from another one.
    Receive(usize, usize),
    /// A daemon restarts. It reads the platform and gossips with the others before it serves.
    Restart(usize),
    /// This many milliseconds pass.
    Wait(u64),
}

pub fn step() -> impl Strategy<Value = Step> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        3 => Just(Step::Publish),
        2 => (0..ZONES).prop_map(Step::Evacuate),
        4 => (0..UPSTREAMS).prop_map(Step::Upstream),
        2 => (0_usize..8).prop_map(Step::Restore),
        2 => Just(Step::WriteAgain),
        3 => daemon.clone().prop_map(Step::List),
        6 => daemon.clone().prop_map(Step::Watch),
        6 => (daemon.clone(), daemon.clone()).prop_map(|(to, from)| Step::Receive(to, from)),
        1 => daemon.prop_map(Step::Restart),
        3 => (1_u64..4000).prop_map(Step::Wait),
    ]
}

/// The platform, and everything that was ever confirmed.
#[derive(Default)]
pub struct Platform {
    era: Era,
    log: Vec<Change>,
    /// The values that were confirmed and not removed.
    pub truth: Items,
    edition: Edition,
    starts: u64,
    /// When each era began, in milliseconds.
    restored: BTreeMap<Era, u64>,
}

impl Platform {
    pub fn at(&self) -> Revision {
        Revision::new(self.era, u64::try_from(self.log.len()).expect("small"))
    }

    fn items(&self) -> Items {
        let mut items = Items::new();
        for change in &self.log {
            match &change.value {
                Some(value) => items.insert(Arc::clone(&change.key), Arc::clone(value)),
                None => items.remove(&change.key),
            };
        }
        items
    }

    fn write(&mut self, key: &str, value: Option<String>) {
        let change = Change { key: key.into(), value: value.map(Into::into) };
        match &change.value {
            Some(value) => self.truth.insert(Arc::clone(&change.key), Arc::clone(value)),
            None => self.truth.remove(&change.key),
        };
        self.log.push(change);
    }

    fn publish(&mut self) {
        self.edition += 1;
        self.write("catalogs/operator", Some(json!({ "edition": self.edition }).to_string()));
    }

    fn evacuate(&mut self, zone: usize) {
        let key = format!("evacuations/z{zone}");
        self.starts += 1;
        let reason = json!({ "reason": self.starts.to_string() }).to_string();
        let value = (!self.truth.contains_key(key.as_str())).then_some(reason);
        self.write(&key, value);
    }

    /// Moves an upstream to its next state: absent, ready, leaving, absent.
    fn upstream(&mut self, number: usize) {
        let key = format!("upstreams/u{number}");
        let next = match self.truth.get(key.as_str()).map(|value| read::<Upstream>(value)) {
            None => {
                self.starts += 1;
                Some(entry(number, self.starts, false))
            }
            Some(Upstream { leaving: false, born, .. }) => Some(entry(number, born.unwrap_or(0), true)),
            Some(_) => None,
        };
        self.write(&key, next);
    }

    fn restore(&mut self, lost: usize, now: u64) {
        self.log.truncate(self.log.len().saturating_sub(lost).max(1));
        self.era += 1;
        self.restored.insert(self.era, now);
    }

    /// Writes what is missing again, and removes again what came back.
    fn write_again(&mut self) {
        let items = self.items();
        let keys: BTreeSet<Key> = items.keys().chain(self.truth.keys()).cloned().collect();
        for key in keys {
            let value = self.truth.get(&key).cloned();
            if items.get(&key) != value.as_ref() {
                self.log.push(Change { key, value });
            }
        }
    }
}

pub fn entry(number: usize, born: u64, leaving: bool) -> String {
    let address = format!("127.0.0.1:{}", 1000 + number);
    json!({ "address": address, "zone": "z0", "slots": 1, "connections": 1, "born": born, "leaving": leaving })
        .to_string()
}

fn read<T: DeserializeOwned>(value: &str) -> T {
    serde_json::from_str(value).expect("it is a resource")
}

/// A daemon, and what it has known at some time.
#[derive(Default)]
pub struct Daemon {
    pub config: Configuration,
    /// The evacuations that it had in force, as long as they last.
    evacuated: BTreeMap<Key, Evacuation>,
    /// The start times of upstreams that it knew to be leaving or gone, as long as they are.
    left: BTreeMap<Key, u64>,
    edition: Edition,
}

impl Daemon {
    fn list(&mut self, platform: &Platform) {
        drop(self.config.offer_all(platform.at(), &platform.items()));
    }

    fn watch(&mut self, platform: &Platform) {
        let Some(seen) = self.config.seen().filter(|seen| seen.era == platform.era) else {
            return self.list(platform);
        };
        for number in seen.number..platform.at().number {
            let change = platform.log[usize::try_from(number).expect("small")].clone();
            let revision = |number| Revision::new(platform.era, number);
            let delta = Delta {
                base: revision(number),
                revision: revision(number + 1),
                changes: vec![change],
                kind: DeltaKind::Single,
            };
            drop(self.config.offer(&delta));
        }
    }

    fn receive(&mut self, other: &Configuration, now: Instant) {
        if !self.config.is_behind(other.revision(), Some(other.retained_mark())) {
            return;
        }
        let mark = Some(self.config.retained_mark());
        let (news, retained) = other.news(self.config.revision(), mark, now).split();
        self.config.merge_news(news);
        if let Some(retained) = retained {
            self.config.merge_retained(&retained.into_retained(now));
        }
    }
}

/// The complete state of one history.
pub struct World {
    pub platform: Platform,
    pub daemons: Vec<Daemon>,
    start: Instant,
    now: u64,
}

impl World {
    pub fn new() -> Self {
        let mut platform = Platform { era: 1, ..Platform::default() };
        platform.publish();
        let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|_| Daemon::default()).collect();
        for daemon in &mut daemons {
            daemon.list(&platform);
        }
        Self { platform, daemons, start: Instant::now(), now: 0 }
    }

    fn instant(&self) -> Instant {
        at(self.start, self.now)
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Publish => self.platform.publish(),
            Step::Evacuate(zone) => self.platform.evacuate(zone),
            Step::Upstream(number) => self.platform.upstream(number),
            Step::Restore(lost) => self.platform.restore(lost, self.now),
            Step::WriteAgain => self.platform.write_again(),
            Step::List(who) => self.daemons[who].list(&self.platform),
            Step::Watch(who) => self.daemons[who].watch(&self.platform),
            Step::Receive(to, from) => self.receive(to, from),
            Step::Restart(who) => self.restart(who),
            Step::Wait(time) => self.now += time,
        }
        let (now, times) = (self.instant(), RetentionTimes::new(HEARTBEAT));
        for daemon in &mut self.daemons {
            daemon.config.expire(now, times);
        }
    }

    fn receive(&mut self, to: usize, from: usize) {
        let other = self.daemons[from].config.clone();
        let now = self.instant();
        self.daemons[to].receive(&other, now);
    }

    fn restart(&mut self, who: usize) {
        self.daemons[who] = Daemon::default();
        self.daemons[who].list(&self.platform);
        for other in (0..DAEMONS).filter(|other| *other != who) {
            // Daemons that are behind enter the era first.
            self.receive(other, who);
            self.receive(who, other);
        }
        // It starts to serve now, with an edition that is no older than any that it received.
        let editions = self.daemons.iter().map(|daemon| daemon.edition);
        self.daemons[who].edition = editions.max().unwrap_or(0);
    }

    /// Returns how long ago an era began. `None` for the first one.
    fn era_age(&self, era: Era) -> Option<Duration> {
        self.platform.restored.get(&era).map(|restored| Duration::from_millis(self.now - restored))
    }

    pub fn check(&mut self) -> Result<(), TestCaseError> {
        let era_ages: Vec<Option<Duration>> =
            self.daemons.iter().map(|daemon| daemon.config.era().and_then(|era| self.era_age(era))).collect();
        let truth = &self.platform.truth;
        for (who, (daemon, era_age)) in self.daemons.iter_mut().zip(era_ages).enumerate() {
            let set = daemon.config.set();
            prop_assert!(set.edition() >= daemon.edition, "daemon {} went back to an older edition", who);
            daemon.edition = set.edition();
            let zones = set.evacuations.iter();
            let evacuated = zones.map(|(zone, held)| (Key::from(format!("evacuations/{zone}")), held));
            let evacuated: BTreeMap<Key, &Arc<Evacuation>> = evacuated.collect();
            // An evacuation that was lifted and requested again is a different one.
            let confirmed = |zone: &Key| truth.get(zone).map(|value| read::<Evacuation>(value));
            daemon.evacuated.retain(|zone, held| confirmed(zone).as_ref() == Some(held));
            if era_age.is_none_or(|era_age| era_age < OPERATOR_TIME) {
                let missed = daemon.evacuated.keys().filter(|zone| !evacuated.contains_key(*zone));
                let missed: Vec<&Key> = missed.collect();
                prop_assert!(
                    missed.is_empty(),
                    "daemon {} sends to {:?} again despite the evacuation",
                    who,
                    missed
                );
            }
            let known = evacuated.into_iter().filter(|(zone, held)| confirmed(zone).as_ref() == Some(held));
            daemon.evacuated = known.map(|(zone, held)| (zone, (**held).clone())).collect();
            check_left(who, daemon, truth, era_age)?;
        }
        Ok(())
    }

    /// Writes everything again, lets every daemon read it and lets all retention times pass.
    pub fn settle(&mut self) {
        self.platform.write_again();
        (0..DAEMONS).for_each(|who| self.apply(Step::Watch(who)));
        for to in 0..DAEMONS {
            (0..DAEMONS).for_each(|from| self.apply(Step::Receive(to, from)));
        }
        self.apply(Step::Wait(millis(OPERATOR_TIME)));
    }
}

/// Checks that an upstream that is known to be leaving or gone gets no work under the same start
/// time while nobody could have written again.
fn check_left(
    who: usize,
    daemon: &mut Daemon,
    truth: &Items,
    era_age: Option<Duration>,
) -> Result<(), TestCaseError> {
    let ready = |name: &str| {
        let upstream = daemon.config.set().upstreams.get(name);
        upstream.filter(|upstream| !upstream.leaving).and_then(|upstream| upstream.born)
    };
    if era_age.is_some_and(|era_age| era_age >= HEARTBEAT * 3) {
        // An upstream that has not written by now has the state that the platform reports.
        daemon.left.clear();
    }
    for number in 0..UPSTREAMS {
        let name = format!("u{number}");
        let key = Key::from(format!("upstreams/{name}"));
        if let Some(born) = daemon.left.get(&key) {
            prop_assert!(ready(&name) != Some(*born), "daemon {} uses {} again, which had left", who, name);
        }
        let reported: Option<Upstream> = truth.get(&key).map(|value| read(value));
        let live = reported.as_ref().filter(|upstream| !upstream.leaving).and_then(|upstream| upstream.born);
        if live.is_some() {
            daemon.left.remove(&key);
        } else if let Some(Upstream { leaving: true, born: Some(born), .. }) =
            daemon.config.set().upstreams.get(&*name).map(|upstream| (**upstream).clone())
        {
            daemon.left.insert(key, born);
        }
    }
    Ok(())
}
