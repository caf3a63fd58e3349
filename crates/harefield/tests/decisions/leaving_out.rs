//! Fan-outs without the shards that cannot answer in time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use crate::scheduled;
use crate::support::at;
use crate::support::items;
use crate::support::row;
use crate::support::values;
use crate::support::view;
use harefield::adapters::metrics::Metrics;
use harefield::domain::code::Code;
use harefield::domain::event::Event;
use harefield::domain::event::ShardDelay;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Fanout;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::MissingShard;
use harefield::domain::outcome::Outcome;
use harefield::domain::reply::OpaqueReply;
use harefield::domain::reply::Reply;
use harefield::domain::resources::ResourceSet;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Router;
use harefield::domain::topology::Topology;

const SHARDS: usize = 10;

fn rules(left_out: &[usize], now: Instant) -> AnswerRules {
    AnswerRules {
        hedge_factor: None,
        objective: Some(at(now, 200)),
        cutoff: Some(at(now, 200)),
        min_share: 0.7,
        grouped: true,
        attempts: 1,
        left_out: left_out.to_vec(),
        ..scheduled::rules(now)
    }
}

/// A fan-out that has been started.
struct Started {
    fanout: Fanout,
    router: Router,
    events: Vec<Event>,
    /// The shards that were sent to an upstream, with their attempts, and those in groups.
    sent: Vec<(usize, u32)>,
    grouped: Vec<usize>,
    now: Instant,
}

/// Starts a fan-out over ten shards, of which the last five are in zone `b`, where another daemon
/// is.
fn start(left_out: &[usize]) -> Started {
    let now = Instant::now();
    let mut values = values(SHARDS, 1, &[7]);
    for shard in SHARDS / 2..SHARDS {
        values.get_mut(&format!("upstreams/u{shard}-0")).expect("it is there")["zone"] = "b".into();
    }
    let view = view(&Arc::new(ResourceSet::parse(&items(values)).expect("the values are valid")));
    let regions = [("a", "r1"), ("b", "r2")].map(|(zone, region)| (zone.into(), region.into()));
    let topology = Topology { zone: "a".into(), regions: BTreeMap::from(regions) };
    let mut router = Router::new(Policy::Cost, Budgets::single(0.05), 7, now).with_topology(topology);
    router.apply(&view, now);
    router.update_daemons([&row(0, "b")]);
    let plan = Arc::clone(&view.lookups["l"].plans[0]);
    let mut started = Started {
        fanout: Fanout::new(plan, rules(left_out, now), 0),
        router,
        events: Vec::new(),
        sent: Vec::new(),
        grouped: Vec::new(),
        now,
    };
    let mut actions = started.fanout.start_groups(now, &mut started.router, &mut started.events);
    actions.extend(started.fanout.start(now, &mut started.router, &mut started.events));
    for action in actions {
        match action {
            Action::Send(send) => started.sent.push((send.shard, send.attempt)),
            Action::Delegate(group) => started.grouped.extend(group.shards),
            other => panic!("{other:?}"),
        }
    }
    started
}

impl Started {
    fn end_all(&mut self, end: &AttemptEnd) {
        for attempt in std::mem::take(&mut self.sent) {
            let actions = self.fanout.on_attempt_end(
                attempt,
                end.clone(),
                self.now,
                &mut self.router,
                &mut self.events,
            );
            assert!(actions.is_empty(), "{actions:?}");
        }
    }
}

fn answered() -> AttemptEnd {
    AttemptEnd::Answered(Reply::Opaque(Arc::new(OpaqueReply::default())))
}

#[test]
fn nothing_sent() {
    // A shard that is left out must get no request, neither from this daemon nor in a group.
    let started = start(&[1, 8]);
    assert_eq!(started.sent.iter().map(|(shard, _)| *shard).collect::<Vec<_>>(), [0, 2, 3, 4]);
    assert_eq!(started.grouped, [5, 6, 7, 9]);
}

#[test]
fn coverage_names_them() {
    let mut started = start(&[1, 8]);
    started.end_all(&answered());
    let finished = started.fanout.finish();
    let missing = |number: usize| MissingShard {
        shard: format!("s/{number:03}").into(),
        why: Gap::Overloaded,
        ran: false,
    };
    for number in [1, 8] {
        let at = finished.coverage.missing.iter().position(|found| *found == missing(number));
        assert_eq!(at.map(|at| finished.sent[at]), Some(0), "{:?}", finished.coverage.missing);
    }
}

#[test]
fn partial_answer() {
    // An answer with enough shards must not wait for those that were left out.
    let mut started = start(&[5, 6, 7]);
    assert!(!started.fanout.is_done());
    started.end_all(&answered());
    let group = started.events.iter().find_map(|event| match event {
        Event::GroupSent { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = group.expect("two shards are in a group");
    for shard in [8, 9] {
        let (now, router) = (started.now, &mut started.router);
        let _ = started.fanout.on_attempt_end((shard, attempt), answered(), now, router, &mut started.events);
    }
    assert!(started.fanout.is_done());
    let finished = started.fanout.finish();
    assert_eq!((finished.outcome, finished.code), (Outcome::Answered, Code::Partial));
    assert!(!finished.coverage.whole);
}

#[test]
fn not_run_exact() {
    // A request counts as not run only if nothing was sent, whatever was left out.
    let none = start(&[5, 6, 7, 8, 9]);
    assert!(none.sent.is_empty() && none.grouped.is_empty(), "five of ten are too few for an answer");
    assert_eq!(none.fanout.finish().outcome, Outcome::NotRun);
    let mut some = start(&[5, 6, 7]);
    let _ = some.fanout.on_timer(at(some.now, 2000), &mut some.router, &mut some.events);
    let finished = some.fanout.finish();
    assert_eq!(finished.outcome, Outcome::MayHaveRun);
    let ran: Vec<bool> = finished.coverage.missing.iter().map(|missing| missing.ran).collect();
    assert_eq!(ran, [true, true, true, true, true, false, false, false, true, true]);
}

#[test]
fn groups_lack_less() {
    // What is left out uses up what the answer may lack: groups must not lack the same again.
    let now = Instant::now();
    assert_eq!(rules(&[], now).needed(5, SHARDS), 2);
    assert_eq!(rules(&[], now).min_possible(5, SHARDS), 2);
    assert_eq!(rules(&[1, 2], now).needed(5, SHARDS), 4);
    assert_eq!(rules(&[1, 2, 3], now).needed(5, SHARDS), 5);
    assert_eq!(rules(&[1, 2, 3], now).min_possible(5, SHARDS), 5);
}

#[test]
fn metrics_count() {
    // Operators must see what was left out and refused without reading events.
    let metrics = Metrics::new();
    let delay = ShardDelay { shard: "s/001".into(), micros: 150_000 };
    metrics.record(&Event::LeftOut { lookup: "l".into(), count: 3, shards: vec!["s/001".into()] });
    metrics.record(&Event::NoShardRoom { lookup: "l".into(), count: 1, shards: vec![delay] });
    let text = metrics.text();
    assert!(text.contains("harefield_shards_left_out_total{lookup=\"l\"} 3"), "{text}");
    assert!(text.contains("harefield_refused_no_room_total{lookup=\"l\"} 1"), "{text}");
}

#[test]
fn odd_name_escaped() {
    // A lookup's name that ends its label makes all metrics unreadable.
    let metrics = Metrics::new();
    metrics.record(&Event::LeftOut { lookup: "a\"b\\c\nd".into(), count: 3, shards: Vec::new() });
    let text = metrics.text();
    assert!(text.contains(r#"harefield_shards_left_out_total{lookup="a\"b\\c\nd"} 3"#), "{text}");
}
