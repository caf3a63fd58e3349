//! Replica selection, concurrency limits and the budget of extra load.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::at;
use crate::support::cases;
use crate::support::replica;
use crate::support::router;
use crate::support::set;
use crate::support::view;
use harefield::domain::announcement::Announcement;
use harefield::domain::announcement::AnnouncementStamp;
use harefield::domain::ids::UpstreamId;
use harefield::domain::outcome::Gap;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::Budget;
use harefield::domain::routing::ChoiceRequest;
use harefield::domain::routing::ExclusionEnd;
use harefield::domain::routing::LatencyStats;
use harefield::domain::routing::Load;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;
use harefield::domain::routing::Window;
use harefield::domain::view::View;

fn two(now: Instant) -> (Router, [UpstreamId; 2]) {
    (router(&view(&set(1, 2, &[1])), now), [replica(0, 0), replica(0, 1)])
}

fn choose(router: &mut Router, replicas: &[UpstreamId], now: Instant) -> Result<UpstreamId, Gap> {
    let index: Arc<str> = "i".into();
    let request = ChoiceRequest::first(replicas, 1, &index);
    router.choose(&request, now).map(|choice| choice.upstream).map_err(|exclusion| exclusion.gap)
}

/// Records that a replica answered `count` requests, each after `millis`.
fn serve(router: &mut Router, name: &UpstreamId, millis: u64, count: usize, now: Instant, report: &Report) {
    for _ in 0..count {
        router.begin(name, now);
        router.end(name, now, AttemptOutcome::Succeeded, report, at(now, millis));
        router.set_idle(name, 1);
    }
}

#[test]
fn slow_avoided() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[0], 40, 10, now, &Report::default());
    serve(&mut router, &names[1], 4, 10, now, &Report::default());
    for _ in 0..20 {
        assert_eq!(choose(&mut router, &names, at(now, 50)), Ok(Arc::clone(&names[1])));
    }
}

#[test]
fn lying_report_loses() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    let idle = Report { load: Some(Load { active: 0, queued: 0, slowness: None }), announcement: None };
    let busy = Report { load: Some(Load { active: 2, queued: 1000, slowness: None }), announcement: None };
    serve(&mut router, &names[0], 40, 10, now, &idle);
    serve(&mut router, &names[1], 4, 10, now, &busy);
    let chosen = choose(&mut router, &names, at(now, 41));
    assert_eq!(chosen, Ok(Arc::clone(&names[1])), "observed times weigh more than reports");
}

#[test]
fn silent_replica_avoided() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[0], 4, 10, now, &Report::default());
    serve(&mut router, &names[1], 5, 10, now, &Report::default());
    router.begin(&names[0], now);
    let chosen = choose(&mut router, &names, at(now, 500));
    assert_eq!(chosen, Ok(Arc::clone(&names[1])), "a request without a reply for long shows a pause");
}

#[test]
fn slow_probed() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[0], 40, 40, now, &Report::default());
    serve(&mut router, &names[1], 4, 30, now, &Report::default());
    let index: Arc<str> = "i".into();
    let request = ChoiceRequest::first(&names, 1, &index);
    let soon = router.probe(&request, &names[1], at(now, 200));
    assert_eq!(soon, None, "it answered a moment ago");
    router.lease_mut().renew(at(now, 600));
    router.lease_mut().renew(at(now, 1041));
    let later = router.probe(&request, &names[1], at(now, 1041));
    assert_eq!(later, Some(Arc::clone(&names[0])), "it is probed beside the request");
    serve(&mut router, &names[0], 4, 30, at(now, 1041), &Report::default());
    let mut chosen = 0;
    for _ in 0..100 {
        chosen += u32::from(choose(&mut router, &names, at(now, 1060)) == Ok(Arc::clone(&names[0])));
    }
    assert!(chosen > 20, "{chosen}: it is used again once it is quick");
}

#[test]
fn slow_takes_overflow() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[0], 40, 40, now, &Report::default());
    serve(&mut router, &names[1], 4, 30, now, &Report::default());
    while choose(&mut router, &names, at(now, 50)) == Ok(Arc::clone(&names[1])) {
        router.begin(&names[1], at(now, 50));
    }
    let index: Arc<str> = "i".into();
    let request = ChoiceRequest::first(&names[1..], 1, &index);
    let exclusion = router.choose(&request, at(now, 50)).expect_err("the window of the quick one is full");
    assert_eq!((exclusion.gap, exclusion.until), (Gap::Overloaded, ExclusionEnd::Soon));
    assert!(choose(&mut router, &names, at(now, 50)).is_ok_and(|name| name == names[0]));
}

#[test]
fn straggler_says_little() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[0], 8, 30, now, &Report::default());
    serve(&mut router, &names[0], 1000, 1, now, &Report::default());
    let upstream = router.upstream(&names[0]).expect("it is known");
    assert!(upstream.observed_time(0.0) < 0.0095, "{}", upstream.observed_time(0.0));
}

#[test]
fn abandoned_counts() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[0], 8, 30, now, &Report::default());
    for _ in 0..30 {
        router.begin(&names[0], now);
        router.end(&names[0], now, AttemptOutcome::Abandoned, &Report::default(), at(now, 20));
    }
    let upstream = router.upstream(&names[0]).expect("it is known");
    let observed = upstream.observed_time(0.0);
    assert!(observed > 0.030, "{observed}: winning hedges must not hide how slow it is");
    assert!(observed <= 0.040, "{observed}");
}

#[test]
fn equal_shared() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[0], 8, 30, now, &Report::default());
    serve(&mut router, &names[1], 8, 30, now, &Report::default());
    let mut first = 0;
    for _ in 0..1000 {
        first += u32::from(choose(&mut router, &names, at(now, 9)) == Ok(Arc::clone(&names[0])));
    }
    assert!((400..600).contains(&first), "{first}: equal replicas share evenly");
}

#[test]
fn probation_last() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[0], 4, 10, now, &Report::default());
    serve(&mut router, &names[1], 40, 10, now, &Report::default());
    router.begin(&names[0], now);
    router.end(&names[0], now, AttemptOutcome::Failed, &Report::default(), now);
    for _ in 0..50 {
        let chosen = choose(&mut router, &names, at(now, 500));
        assert_eq!(chosen, Ok(Arc::clone(&names[1])), "a replica that failed last is selected last");
    }
    assert_eq!(choose(&mut router, &names[..1], at(now, 500)), Ok(Arc::clone(&names[0])));
}

#[test]
fn queue_believed() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[0], 8, 20, now, &Report::default());
    let full = router.upstream(&names[0]).expect("it is known").window().size();
    let queue = Report { load: Some(Load { active: 2, queued: 6, slowness: None }), announcement: None };
    serve(&mut router, &names[0], 8, 20, now, &queue);
    let same = router.upstream(&names[0]).expect("it is known").window().size();
    assert!((same - full).abs() < 1e-9, "a queue that takes no time is not plausible");
    serve(&mut router, &names[0], 32, 20, now, &queue);
    let shrunk = router.upstream(&names[0]).expect("it is known").window().size();
    assert!(shrunk < full, "a plausible queue shrinks the window");
}

#[test]
fn retry_after_honored() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    for name in &names {
        router.begin(name, now);
        let wait = Some(Duration::from_millis(300));
        router.end(name, now, AttemptOutcome::Rejected(wait), &Report::default(), now);
    }
    assert_eq!(choose(&mut router, &names, at(now, 299)), Err(Gap::Overloaded));
    let chosen = choose(&mut router, &names, at(now, 300));
    assert!(chosen.is_ok_and(|name| names.contains(&name)));
}

#[test]
fn failed_backs_off() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    let only = &names[..1];
    let mut time = now;
    let mut pauses = Vec::new();
    for _ in 0..4 {
        router.begin(&names[0], time);
        router.end(&names[0], time, AttemptOutcome::Failed, &Report::default(), time);
        let index: Arc<str> = "i".into();
        let request = ChoiceRequest::first(only, 1, &index);
        router.lease_mut().renew(time);
        let exclusion = router.choose(&request, time).expect_err("it is backed off");
        let ExclusionEnd::At(until) = exclusion.until else { panic!("{exclusion:?}") };
        pauses.push(until - time);
        time = until;
    }
    let millis: Vec<u128> = pauses.iter().map(Duration::as_millis).collect();
    assert_eq!(millis, [100, 200, 400, 800]);
}

#[test]
fn leaving_never_chosen() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    let announcement =
        Announcement { stamp: AnnouncementStamp { start: 1, change: 1 }, draining: true, held: None };
    router.merge_announcement(&names[0], &announcement);
    for _ in 0..20 {
        assert_eq!(choose(&mut router, &names, now), Ok(Arc::clone(&names[1])));
    }
    router.merge_announcement(&names[1], &announcement);
    assert_eq!(choose(&mut router, &names, now), Err(Gap::Leaving));
}

#[test]
fn pause_stops_choice() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    assert_eq!(choose(&mut router, &names, now).err(), None);
    assert_eq!(choose(&mut router, &names, at(now, 1500)), Err(Gap::Unconfirmed));
}

#[test]
fn version_held() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    let announcement = Announcement {
        stamp: AnnouncementStamp { start: 1, change: 1 },
        draining: false,
        held: Some(vec![2]),
    };
    router.merge_announcement(&names[0], &announcement);
    assert_eq!(choose(&mut router, &names, now), Ok(Arc::clone(&names[1])));
    assert_eq!(choose(&mut router, &names[..1], now), Err(Gap::SnapshotMissing));
}

proptest! {
    #![proptest_config(cases(200))]

    /// A window stays within the share of the connections, and halves on a rejection.
    #[test]
    fn window_bounded(slots in 1_u32..8, sharers in 1_u32..30, most in 1_u32..20, good in prop::collection::vec(any::<bool>(), 0..100)) {
        let mut window = Window::new(slots, sharers, most);
        for good in good {
            let before = window.size();
            if good {
                window.grow(100);
            } else {
                window.shrink();
                prop_assert!(window.size() <= (before / 2.0).max(1.0));
            }
            prop_assert!(window.size() >= 1.0);
            prop_assert!(window.size() <= f64::from(most));
            prop_assert!(window.has_room(0));
            prop_assert!(!window.has_room(usize::try_from(most).expect("small")));
        }
    }

    /// Hedges stay within their share of the requests plus the initial tokens.
    #[test]
    fn budget_kept(requests in 0_u32..2000) {
        let mut budget = Budget::new(0.05);
        let mut hedges = 0_u32;
        for _ in 0..requests {
            budget.earn();
            hedges += u32::from(budget.spend_hedge());
        }
        prop_assert!(f64::from(hedges) <= f64::from(requests) * 0.05 + 16.0 + 1e-6);
    }
}

#[test]
fn retries_before_hedges() {
    let mut budget = Budget::new(0.05);
    while budget.spend_hedge() {}
    assert!(budget.spend_retry(), "a retry may overdraw");
    let mut retries = 0;
    while budget.spend_retry() {
        retries += 1;
    }
    assert!((200..300).contains(&retries), "{retries}: the overdraft is limited");
}

#[test]
fn latency_follows() {
    let mut latency = LatencyStats::default();
    for n in 0..4000 {
        let millis = if n % 10 == 0 { 30 } else { 5 };
        latency.record(Duration::from_millis(millis));
    }
    assert!(latency.mean() > Duration::from_millis(6) && latency.mean() < Duration::from_millis(10));
    assert!(latency.slow() > Duration::from_millis(20), "{:?}", latency.slow());
}

#[test]
fn shedding_deprioritized() {
    // A replica that rejects some requests without a retry-after ranks behind one that accepts
    // them, until a probe is answered.
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[0], 4, 20, now, &Report::default());
    serve(&mut router, &names[1], 4, 20, now, &Report::default());
    router.begin(&names[0], at(now, 10));
    router.end(&names[0], at(now, 10), AttemptOutcome::Rejected(None), &Report::default(), at(now, 11));
    for _ in 0..20 {
        assert_eq!(choose(&mut router, &names, at(now, 12)), Ok(Arc::clone(&names[1])));
    }
}

/// Returns how many of 100 requests, 20 ms apart, are sent first to one of two replicas: one that
/// accepts two requests in five and reports `load`. The other one accepts all.
fn sent_to_rejecting(load: Load) -> u32 {
    let now = Instant::now();
    let (mut router, names) = two(now);
    let report = Report { load: Some(load), announcement: None };
    serve(&mut router, &names[0], 4, 20, now, &Report::default());
    serve(&mut router, &names[1], 4, 20, now, &Report::default());
    let mut chosen = 0;
    for n in 0..100_u64 {
        let now = at(now, 20 * n);
        router.lease_mut().renew(now);
        if n % 10 == 0 {
            // The outcome of a probe, of which there are five a second here.
            let outcome =
                if n % 50 < 20 { AttemptOutcome::Succeeded } else { AttemptOutcome::Rejected(None) };
            router.begin(&names[0], now);
            router.end(&names[0], now, outcome, &report, at(now, 4));
        }
        if choose(&mut router, &names, at(now, 5)) == Ok(Arc::clone(&names[0])) {
            chosen += 1;
        }
    }
    chosen
}

#[test]
fn rejecting_deprioritized() {
    let idle = Load { active: 0, queued: 0, slowness: None };
    let chosen = sent_to_rejecting(idle);
    assert!(chosen <= 15, "{chosen} of 100 are sent to a replica that rejects three in five");
}

#[test]
fn used_after_recovery() {
    let now = Instant::now();
    let (mut router, names) = two(now);
    serve(&mut router, &names[1], 4, 20, now, &Report::default());
    for n in 0..10 {
        router.begin(&names[0], at(now, n));
        router.end(&names[0], at(now, n), AttemptOutcome::Rejected(None), &Report::default(), at(now, n));
    }
    serve(&mut router, &names[0], 4, 8, at(now, 20), &Report::default());
    let chosen = (0..100).filter(|_| choose(&mut router, &names, at(now, 30)) == Ok(Arc::clone(&names[0])));
    assert!(chosen.count() > 20, "eight answers in a row show that it accepts requests");
}

#[test]
fn begun_before_move() {
    // A request waits for a free slot while its cell moves to another daemon. It continues as far
    // as the state of the upstreams permits.
    let now = Instant::now();
    let set = set(1, 2, &[1]);
    let held = view(&set);
    let mut moved = held.clone();
    moved.upstreams = Arc::default();
    let names = [replica(0, 0), replica(0, 1)];
    let after = |view: &View, millis: u64| {
        let mut router = router(&held, now);
        router.apply(&moved, now);
        router.apply(view, at(now, millis));
        choose(&mut router, &names, at(now, millis))
    };
    after(&moved, 50).expect("requests that began before may continue");
    let address = |name: &UpstreamId| set.upstreams[name].address;
    let mut leaving = moved.clone();
    leaving.leaving = names.iter().map(address).collect();
    assert_eq!(after(&leaving, 50), Err(Gap::Leaving));
    let mut gone = moved.clone();
    gone.set = Arc::default();
    assert_eq!(after(&gone, 50), Err(Gap::NoReplica), "the configuration does not contain them any more");
    let longest = held.lookups["l"].lookup.deadline_ms;
    assert_eq!(after(&moved, longest), Err(Gap::NoReplica), "the deadlines of such requests have passed");
}
