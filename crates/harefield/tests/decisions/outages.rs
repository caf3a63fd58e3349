//! Whether upstreams that are missing from the platform have left, or an outage ended their entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::at;
use crate::support::cases;
use crate::support::replica;
use crate::support::set;
use harefield::domain::ids::UpstreamId;
use harefield::domain::outages::GRACE;
use harefield::domain::outages::Lapse;
use harefield::domain::outages::OutageTimes;
use harefield::domain::outages::Outages;
use harefield::domain::recently_removed::RecentlyRemoved;
use harefield::domain::resources::ResourceSet;

const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The time for which a store must have been free of disruptions for the promise to hold.
const CONTACT: u64 = 4000;

/// What is left of the promised time for a request on its way.
const SEND_TIME: u64 = 200;

const UPSTREAMS: usize = 8;

fn outages(deadline: u64) -> Outages {
    Outages::new(OutageTimes::new(HEARTBEAT, Duration::from_millis(deadline)))
}

/// Returns the resources without some of the upstreams.
fn without(all: &Arc<ResourceSet>, missing: &BTreeSet<UpstreamId>) -> Arc<ResourceSet> {
    let mut set = (**all).clone();
    Arc::make_mut(&mut set.upstreams).retain(|name, _| !missing.contains(name));
    Arc::new(set)
}

/// A daemon that reads the store, and what it takes for the truth.
struct Daemon {
    all: Arc<ResourceSet>,
    outages: Outages,
    removed: RecentlyRemoved,
    view: Arc<ResourceSet>,
}

impl Daemon {
    fn start(deadline: u64, missing: &BTreeSet<UpstreamId>, now: Instant) -> Self {
        let all = set(UPSTREAMS, 1, &[7]);
        let mut daemon = Self {
            view: Arc::clone(&all),
            all,
            outages: outages(deadline),
            removed: RecentlyRemoved::default(),
        };
        daemon.read(missing, now, now);
        daemon
    }

    /// Handles an answer of the store to a query sent at `sent`.
    fn read(&mut self, missing: &BTreeSet<UpstreamId>, sent: Instant, now: Instant) {
        self.publish(missing, now);
        self.outages.record_proof(sent, now);
    }

    fn publish(&mut self, missing: &BTreeSet<UpstreamId>, now: Instant) {
        let set = without(&self.all, missing);
        self.view = self.removed.patch(&set, self.outages.lapse(now), now);
    }

    fn uses(&self, name: &UpstreamId) -> bool {
        self.view.upstreams.contains_key(name)
    }
}

/// The next step of the store, the upstreams and the daemon.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// This many upstreams leave without a word, one after the other within a second.
    Leave(usize),
    /// An upstream comes back.
    Return(usize),
    /// The store answers nobody for this many milliseconds; entries lapse from the second
    /// heartbeat on.
    Outage(u64),
    /// The answer to the next query takes this long.
    Hang(u64),
    /// A call of the daemon fails, while the store serves others.
    Fail,
    /// The daemon is restarted.
    Restart,
    /// This many milliseconds pass.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_usize..5).prop_map(Step::Leave),
        2 => (0..UPSTREAMS).prop_map(Step::Return),
        1 => (100_u64..9000).prop_map(Step::Outage),
        1 => (100_u64..1500).prop_map(Step::Hang),
        2 => Just(Step::Fail),
        1 => Just(Step::Restart),
        4 => (50_u64..4000).prop_map(Step::Wait),
    ]
}

/// A store that a daemon with a deadline of some milliseconds watches.
struct Scene {
    deadline: u64,
    start: Instant,
    now: u64,
    /// When each missing upstream left, or its entry lapsed.
    gone: BTreeMap<UpstreamId, u64>,
    /// Until when the store was last away or slow.
    disturbed_until: u64,
    daemon: Daemon,
    next_query: u64,
}

impl Scene {
    fn new(deadline: u64) -> Self {
        let start = Instant::now();
        let daemon = Daemon::start(deadline, &BTreeSet::new(), start);
        Self { deadline, start, now: 0, gone: BTreeMap::new(), disturbed_until: 0, daemon, next_query: 0 }
    }

    fn missing(&self) -> BTreeSet<UpstreamId> {
        self.gone.keys().map(Arc::clone).collect()
    }

    /// Lets time pass in which the store answers; checks the promise at each moment.
    fn pass(&mut self, millis: u64) -> Result<(), TestCaseError> {
        let until = self.now + millis;
        while self.now < until {
            self.now += 50;
            let now = at(self.start, self.now);
            if self.now >= self.next_query {
                let missing = self.missing();
                self.daemon.read(&missing, at(self.start, self.now - 50), now);
                // A watch ends at the latest when four tenths of the deadline have passed.
                self.next_query = self.now + 300;
            } else if self.daemon.removed.next_removal().is_some_and(|due| due <= now) {
                let missing = self.missing();
                self.daemon.publish(&missing, now);
            }
            self.check()?;
        }
        Ok(())
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (name, since) in &self.gone {
            let is_stable = *since >= self.disturbed_until + CONTACT;
            let usable = self.deadline.saturating_sub(SEND_TIME) + 50;
            if is_stable && self.now > since + usable {
                prop_assert!(!self.daemon.uses(name), "{name} left {} ms ago", self.now - since);
            }
        }
        Ok(())
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Wait(millis) => return self.pass(millis),
            Step::Leave(count) => {
                let present = (0..UPSTREAMS).map(|n| replica(n, 0)).filter(|n| !self.gone.contains_key(n));
                for name in present.take(count).collect::<Vec<_>>() {
                    self.gone.insert(name, self.now);
                    self.pass(900 / u64::try_from(count).expect("a few"))?;
                }
            }
            Step::Return(number) => {
                self.gone.remove(&replica(number, 0));
            }
            Step::Outage(millis) => {
                let begun = self.now;
                self.now += millis;
                self.disturbed_until = self.now;
                if millis >= 2400 {
                    let lapsed = (0..UPSTREAMS).map(|number| replica(number, 0));
                    for name in lapsed {
                        self.gone.entry(name).or_insert(begun);
                    }
                }
            }
            Step::Hang(millis) => {
                let sent = at(self.start, self.now);
                self.now += millis;
                self.disturbed_until = self.now;
                let missing = self.missing();
                self.daemon.read(&missing, sent, at(self.start, self.now));
            }
            Step::Fail => self.daemon.outages.record_failure(at(self.start, self.now)),
            Step::Restart => {
                let missing = self.missing();
                self.daemon = Daemon::start(self.deadline, &missing, at(self.start, self.now));
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(cases(600))]

    /// While the store is stable, nothing is sent to an upstream once the promised time since its
    /// removal is over, whatever happened before, to it or to others.
    #[test]
    fn bound_holds(deadline in prop::sample::select(vec![3000_u64, 5000, 8000]), steps in prop::collection::vec(step(), 1..40)) {
        let mut scene = Scene::new(deadline);
        for step in steps {
            scene.apply(step)?;
        }
        scene.pass(9000)?;
    }

    /// After an outage that ends entries, the upstreams that were in use stay until they have had the
    /// time to register again, at any length of the outage.
    #[test]
    fn lapsed_stay(length in 2400_u64..60_000, before in 5000_u64..9000) {
        let mut scene = Scene::new(3000);
        scene.pass(before)?;
        let expected: Vec<UpstreamId> = (0..UPSTREAMS).map(|n| replica(n, 0)).collect();
        scene.apply(Step::Outage(length))?;
        for _ in 0..20 {
            scene.pass(100)?;
            prop_assert!(expected.iter().all(|name| scene.daemon.uses(name)), "{} ms", scene.now);
        }
        scene.pass(1000)?;
        prop_assert!(!expected.iter().any(|name| scene.daemon.uses(name)), "those still missing are gone");
    }
}

/// Guards against three upstreams that leave within a second and are used again, for more than 3 s.
#[test]
fn count_proves_nothing() {
    let mut scene = Scene::new(3000);
    scene.pass(5000).expect("nothing leaves");
    for number in 0..3 {
        scene.gone.insert(replica(number, 0), scene.now);
        scene.pass(450).expect("the bound holds");
        assert!(!scene.daemon.uses(&replica(number, 0)), "it is out of use at once");
    }
    scene.pass(5000).expect("the bound holds");
}

/// A proof from another daemon that is old when it is handled shows no outage by itself.
#[test]
fn old_proof() {
    let start = Instant::now();
    let mut seen = outages(3000);
    for second in 0..20 {
        seen.record_proof(at(start, second * 1000), at(start, second * 1000 + 900));
    }
    assert_eq!(seen.lapse(at(start, 20_000)), Lapse::Excluded);
}

/// A watch that is answered late shows an outage by the time that passed without any proof.
#[test]
fn hung_watch() {
    let start = Instant::now();
    let mut seen = outages(3000);
    seen.record_proof(start, start);
    assert_eq!(seen.lapse(at(start, 2300)), Lapse::Excluded);
    assert_eq!(seen.lapse(at(start, 2400)), Lapse::Certain(at(start, 2400) + GRACE));
    // The watch was sent before the outage, so that its proof is older than its answer.
    seen.record_proof(at(start, 100), at(start, 2500));
    assert_eq!(seen.lapse(at(start, 2600)), Lapse::Certain(at(start, 2600) + GRACE));
    seen.record_proof(at(start, 2700), at(start, 2700));
    assert_eq!(seen.lapse(at(start, 4899)), Lapse::Certain(at(start, 2700) + GRACE));
    seen.record_proof(at(start, 4000), at(start, 4000));
    assert_eq!(seen.lapse(at(start, 4900)), Lapse::Excluded, "all that live have registered again");
}

/// Guards against a proof that another daemon passes on during an outage, and that hides how long the
/// outage was.
#[test]
fn old_proof_in_outage() {
    let start = Instant::now();
    let mut seen = outages(3000);
    seen.record_proof(start, start);
    seen.record_proof(at(start, 50), at(start, 2450));
    assert_eq!(seen.lapse(at(start, 4700)), Lapse::Certain(at(start, 4700) + GRACE));
}

/// Where proofs are rarer than outages that end entries, an entry stays only as long as the promise
/// on upstreams that leave allows.
#[test]
fn possible_outage() {
    let start = Instant::now();
    let mut seen = outages(5000);
    seen.record_proof(start, start);
    assert_eq!(seen.lapse(at(start, 2000)), Lapse::Excluded);
    assert_eq!(seen.lapse(at(start, 2500)), Lapse::Possible(at(start, 4700)));
    assert_eq!(seen.lapse(at(start, 3500)), Lapse::Possible(at(start, 4800)));
    assert_eq!(seen.lapse(at(start, 4000)), Lapse::Certain(at(start, 6200)));
}

/// Calls that fail while others' succeed keep an entry no longer than the promise allows.
#[test]
fn own_calls_fail() {
    let start = Instant::now();
    let mut seen = outages(3000);
    seen.record_proof(start, start);
    seen.record_failure(at(start, 500));
    assert_eq!(seen.lapse(at(start, 600)), Lapse::Suspected(at(start, 2800)), "not until 600 + 2200");
    seen.record_proof(at(start, 900), at(start, 1000));
    assert_eq!(seen.lapse(at(start, 1100)), Lapse::Suspected(at(start, 3200)));
    assert_eq!(seen.lapse(at(start, 3200)), Lapse::Excluded);
}

/// The first view of a daemon holds what the platform lists.
#[test]
fn first_view() {
    let start = Instant::now();
    assert_eq!(outages(3000).lapse(start), Lapse::Excluded);
    let missing = BTreeSet::from([replica(0, 0), replica(1, 0), replica(2, 0)]);
    let daemon = Daemon::start(3000, &missing, start);
    assert!(missing.iter().all(|name| !daemon.uses(name)));
}
