//! How soon a replica of a scheduled index that becomes much slower, or recovers, is known.

use std::sync::Arc;
use std::time::Instant;

use crate::scheduled::answer;
use crate::scheduled::first;
use crate::scheduled::router_with;
use crate::scheduled::scheduled_view;
use crate::support::at;
use crate::support::replica;
use harefield::domain::ids::UpstreamId;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;

const WORK_MS: u64 = 28;

/// The time between two requests for the shard.
const INTERVAL_MS: u64 = 100;

/// A daemon that sends to the near replica of a shard and compares it with a far one.
struct Site {
    router: Router,
    names: Vec<UpstreamId>,
    kind: Arc<str>,
    start: Instant,
    /// When each request in flight was sent, and how long it takes.
    flying: Vec<(Instant, u64)>,
}

impl Site {
    fn start(enabled: bool) -> Self {
        let view = scheduled_view(3, 2);
        let mut router = router_with(&view, 3, 0, LocalDaemon::default(), enabled);
        let names: Vec<UpstreamId> = (0..3).map(|region| replica(0, region)).collect();
        let now = Instant::now();
        answer(&mut router, &names[0], WORK_MS, 20, now);
        answer(&mut router, &names[1], WORK_MS + 24, 20, now);
        Self { router, names, kind: "l".into(), start: at(now, 2000), flying: Vec::new() }
    }

    fn observed_ms(&self) -> f64 {
        self.router.upstream(&self.names[0]).map_or(0.0, |s| s.observed_time(0.0) * 1000.0)
    }

    fn is_known_slow(&self, now: Instant) -> bool {
        let state = |at: usize| self.router.upstream(&self.names[at]).expect("the upstream exists");
        state(0).is_slower(state(1), 0.0, now)
    }

    /// Sends a request, unless both slots are in use.
    fn send(&mut self, now: Instant, takes: u64) {
        if self.flying.len() < 2 {
            self.router.begin(&self.names[0], now);
            self.flying.push((now, takes));
        }
    }

    /// Ends the requests that are due.
    fn end_due(&mut self, now: Instant) {
        for (start, takes) in std::mem::take(&mut self.flying) {
            if now < at(start, takes) {
                self.flying.push((start, takes));
                continue;
            }
            let outcome = AttemptOutcome::Succeeded;
            self.router.end(&self.names[0], start, outcome, &Report::default(), now);
        }
    }

    /// Sends ten requests a second that take `takes` milliseconds; returns how long it took until
    /// the replica was known to be slow.
    fn slow_known_after(&mut self, takes: u64) -> Option<u64> {
        (0..3000).find(|millis| {
            let now = at(self.start, *millis);
            self.end_due(now);
            if millis % INTERVAL_MS == 0 {
                self.send(now, takes);
            }
            self.is_known_slow(now)
        })
    }
}

#[test]
fn slowdown_known() {
    let known = Site::start(true).slow_known_after(6 * WORK_MS);
    assert!(known.is_some_and(|millis| millis < 1000), "known after {known:?} ms");
}

#[test]
fn unscheduled_as_before() {
    // Without scheduling the observed time rises by a tenth with each slow reply.
    let known = Site::start(false).slow_known_after(6 * WORK_MS);
    assert!(known.is_none_or(|millis| millis > 1000), "known after {known:?} ms");
}

#[test]
fn recovery_known() {
    // While the replica is avoided, only probes show that it has recovered.
    let mut site = Site::start(true);
    answer(&mut site.router, &site.names[0], 6 * WORK_MS, 10, site.start);
    let slow_until = at(site.start, 2000);
    assert!(site.is_known_slow(slow_until));
    let known = (0..3000).find(|millis| {
        let now = at(slow_until, *millis);
        site.end_due(now);
        let request = first(&site.names, &site.kind);
        if millis % INTERVAL_MS == 0 && site.router.probe(&request, &site.names[1], now).is_some() {
            site.send(now, WORK_MS);
        }
        !site.is_known_slow(now)
    });
    assert!(known.is_some_and(|millis| millis < 1000), "known after {known:?} ms");
}

#[test]
fn stragglers_ignored() {
    // One reply in a hundred takes five times as long, also two in a row.
    let mut site = Site::start(true);
    for number in 0..1000_u64 {
        let now = at(site.start, number * INTERVAL_MS);
        let straggler = number % 100 == 0 || number == 501;
        answer(&mut site.router, &site.names[0], if straggler { 5 * WORK_MS } else { WORK_MS }, 1, now);
        assert!(!site.is_known_slow(at(now, 90)), "after request {number}");
        assert!(site.observed_ms() < 1.25 * 28.0, "{} ms", site.observed_ms());
    }
}

#[test]
fn pause_ignored() {
    // All requests that were in flight during a pause of 250 ms are one piece of evidence.
    let mut site = Site::start(true);
    for pause in 0..20 {
        let now = at(site.start, pause * 6000);
        site.send(now, 260);
        site.send(at(now, 10), 250);
        site.end_due(at(now, 260));
        assert!(!site.is_known_slow(at(now, 260)));
        answer(&mut site.router, &site.names[0], WORK_MS, 10, at(now, 300));
    }
    assert!(site.observed_ms() < 1.25 * 28.0, "{} ms", site.observed_ms());
}
