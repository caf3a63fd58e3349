//! Fairness at a gate where one account sends far more requests than the others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use harefield::domain::admission::Admission;
use harefield::domain::admission::Arrival;
use harefield::domain::admission::Congestion;
use harefield::domain::admission::Dequeued;
use harefield::domain::admission::Gate;
use harefield::domain::admission::GateLimits;
use harefield::domain::admission::WaiterId;
use harefield::domain::resources::Urgency;

/// How long each request runs.
const RUNS: Duration = Duration::from_millis(50);

/// The length of a simulated step, in milliseconds.
const STEP: u64 = 5;

/// The counts of one account's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u32,
    served: u32,
    /// The longest wait of a request that was served.
    waited: Duration,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

struct Load {
    gate: Gate,
    start: Instant,
    waiting: BTreeMap<WaiterId, (Arc<str>, Instant)>,
    running: Vec<(Instant, Arc<str>)>,
    tallies: BTreeMap<Arc<str>, Tally>,
}

impl Load {
    fn new() -> Self {
        Self {
            gate: Gate::new(GateLimits { running: 4, waiting: 1024 }),
            start: Instant::now(),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            tallies: BTreeMap::new(),
        }
    }

    fn arrive(&mut self, account: &Arc<str>, now: Instant) {
        self.tallies.entry(Arc::clone(account)).or_default().sent += 1;
        let arrival = Arrival {
            urgency: Urgency::Ordinary,
            team: Arc::clone(account),
            deadline: now + Duration::from_secs(2),
            due: Some(now + Duration::from_millis(400)),
            late: false,
        };
        match self.gate.arrive(&arrival, now) {
            Admission::Run => self.run(account, now, now),
            Admission::Wait(id) => drop(self.waiting.insert(id, (Arc::clone(account), now))),
            Admission::Refuse(..) => {}
        }
    }

    fn run(&mut self, account: &Arc<str>, arrived: Instant, now: Instant) {
        let tally = self.tallies.entry(Arc::clone(account)).or_default();
        tally.served += 1;
        tally.waited = tally.waited.max(now - arrived);
        self.running.push((now + RUNS, Arc::clone(account)));
    }

    fn end_due(&mut self, now: Instant) {
        while let Some(at) = self.running.iter().position(|(until, _)| *until <= now) {
            let (_, account) = self.running.swap_remove(at);
            for call in self.gate.complete(&account, RUNS, Congestion::default(), now) {
                let (Dequeued::Run(id) | Dequeued::Refuse(id, _)) = call;
                let Some((account, arrived)) = self.waiting.remove(&id) else { continue };
                if matches!(call, Dequeued::Run(_)) {
                    self.run(&account, arrived, now);
                }
            }
        }
    }
}

/// Simulates ten accounts with 6 requests per second each, one of which sends `times` as many, for
/// twenty seconds at a gate that admits 80 per second.
fn simulate(times: u64) -> BTreeMap<Arc<str>, Tally> {
    let mut load = Load::new();
    let every = 1000 / 6;
    for millis in (0..20_000).step_by(usize::try_from(STEP).expect("it is small")) {
        let now = load.start + Duration::from_millis(millis);
        load.end_due(now);
        for number in 0..10_u64 {
            let account = format!("account-{number}").into();
            let rate = if number == 0 { times } else { 1 };
            let due = |at: u64| (at + number * 17) * rate / every;
            for _ in due(millis)..due(millis + STEP) {
                load.arrive(&account, now);
            }
        }
    }
    load.tallies
}

#[test]
fn heavy_account_starves_none() {
    let alone = simulate(1);
    assert!(alone.values().all(|tally| tally.share() > 0.99), "{alone:?}");
    // About 108 and 234 requests per second arrive, and 80 are admitted: the heavy account gets
    // what the others leave.
    for times in [9, 30] {
        let mut beside = simulate(times);
        let heavy = beside.remove("account-0").expect("it sent");
        for (name, tally) in &beside {
            assert!(tally.share() > 0.97, "{name} beside {times}: {tally:?}");
            let usual = alone[name].waited;
            assert!(tally.waited <= usual + RUNS * 2, "{name}: {:?} {usual:?}", tally.waited);
        }
        assert!(heavy.served > 400, "what the others leave is used: {heavy:?}");
    }
}

#[test]
fn earlier_use_ignored() {
    // An account that was alone at the gate for a long time must be treated as equal to others
    // that arrive later.
    let mut load = Load::new();
    let (early, other): (Arc<str>, Arc<str>) = ("early".into(), "other".into());
    let mut now = load.start;
    for _ in 0..500 {
        load.arrive(&early, now);
        now += RUNS;
        load.end_due(now);
    }
    load.tallies.clear();
    for step in 0..400 {
        if step % 2 == 0 {
            load.arrive(&early, now);
        }
        load.arrive(&other, now);
        load.arrive(&other, now);
        now += Duration::from_millis(20);
        load.end_due(now);
    }
    assert!(load.tallies["early"].share() > 0.95, "{:?}", load.tallies);
}
