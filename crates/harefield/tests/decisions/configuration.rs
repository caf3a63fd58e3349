//! The configuration only moves forward, and only to resource sets without faults.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::support::cases;
use crate::support::items;
use crate::support::values;
use harefield::domain::code::Code;
use harefield::domain::configuration::Configuration;
use harefield::domain::configuration::OfferOutcome;
use harefield::domain::feed::Change;
use harefield::domain::feed::Delta;
use harefield::domain::feed::DeltaKind;
use harefield::domain::feed::Feed;
use harefield::domain::feed::Items;
use harefield::domain::feed::News;
use harefield::domain::resources::ResourceSet;
use harefield::domain::revision::Revision;

/// The complete history of the platform: the changes of each revision, and the resulting items.
struct History {
    changes: Vec<Vec<Change>>,
    states: Vec<Items>,
}

/// Creates a history. An odd choice introduces a fault, an even one removes it.
fn history(choices: &[u8]) -> History {
    let mut state = items(values(2, 2, &[1]));
    let mut states = vec![state.clone()];
    let all =
        state.iter().map(|(key, value)| Change { key: Arc::clone(key), value: Some(Arc::clone(value)) });
    let mut changes = vec![all.collect()];
    for (number, choice) in choices.iter().enumerate() {
        let value = if choice % 2 == 1 {
            json!({ "index": "nowhere", "urgency": "urgent", "deadline-ms": 1, "repeatable": true, "prefer": "time" })
        } else {
            json!({ "index": "i", "urgency": "bulk", "deadline-ms": 10 + number, "repeatable": true, "prefer": "time" })
        };
        let change = Change { key: "lookups/l".into(), value: Some(value.to_string().into()) };
        state.insert(Arc::clone(&change.key), change.value.clone().expect("it has a value"));
        changes.push(vec![change]);
        states.push(state.clone());
    }
    History { changes, states }
}

impl History {
    fn delta(&self, revision: usize) -> Delta {
        let number = |n: usize| Revision::first(u64::try_from(n).expect("small"));
        Delta {
            base: number(revision),
            revision: number(revision + 1),
            changes: self.changes[revision].clone(),
            kind: DeltaKind::Single,
        }
    }

    fn is_good(&self, revision: Revision) -> bool {
        let at = usize::try_from(revision.number).expect("small") - 1;
        ResourceSet::parse(&self.states[at]).is_ok()
    }
}

/// An event at one daemon.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A replica of the platform answers a watch with one revision.
    Watch(usize),
    /// A replica answers a watch with several revisions, starting from a given one.
    WatchMany(usize, usize),
    /// A replica, up to date or stale, is listed.
    List(usize),
    /// The daemon receives updates from another one.
    Receive(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<usize>().prop_map(Step::Watch),
        4 => (any::<usize>(), 1_usize..6).prop_map(|(from, count)| Step::WatchMany(from, count)),
        2 => any::<usize>().prop_map(Step::List),
        3 => any::<usize>().prop_map(Step::Receive),
    ]
}

proptest! {
    #![proptest_config(cases(300))]

    /// In whatever order updates reach a fleet, no daemon goes back to an older revision, none has
    /// a faulty set in force, and two daemons at the same revision have the same set.
    #[test]
    fn never_reverts(
        choices in prop::collection::vec(any::<u8>(), 1..10),
        steps in prop::collection::vec((0_usize..3, step()), 1..60),
    ) {
        let history = history(&choices);
        let mut fleet: Vec<Configuration> = vec![Configuration::default(); 3];
        for (who, step) in steps {
            let before = fleet[who].revision();
            match step {
                Step::Watch(n) => {
                    let _offer = fleet[who].offer(&history.delta(n % history.changes.len()));
                }
                Step::WatchMany(n, count) => {
                    let from = n % history.changes.len();
                    let until = (from + count).min(history.changes.len());
                    let deltas: Vec<Delta> = (from..until).map(|at| history.delta(at)).collect();
                    let mut alone = fleet[who].clone();
                    if !fleet[who].offer_chain(&deltas) {
                        for delta in &deltas {
                            drop(fleet[who].offer(delta));
                        }
                    }
                    for delta in &deltas {
                        drop(alone.offer(delta));
                    }
                    prop_assert_eq!(fleet[who].revision(), alone.revision());
                    prop_assert_eq!(fleet[who].seen(), alone.seen());
                    prop_assert_eq!(fleet[who].set(), alone.set());
                }
                Step::List(n) => {
                    let at = n % history.states.len();
                    let revision = Revision::first(u64::try_from(at + 1).expect("small"));
                    let _offer = fleet[who].offer_all(revision, &history.states[at]);
                }
                Step::Receive(n) => {
                    let news = fleet[n % 3].since(fleet[who].revision());
                    fleet[who].merge_news(news);
                }
            }
            prop_assert!(fleet[who].revision() >= before, "it went back to an older revision");
            if let Some(revision) = fleet[who].revision() {
                prop_assert!(history.is_good(revision), "revision {} has faults", revision);
                let at = usize::try_from(revision.number).expect("small") - 1;
                let expected = ResourceSet::parse(&history.states[at]).expect("it is good");
                prop_assert_eq!(&**fleet[who].set(), &expected);
            }
        }
        // After every daemon has received updates from every other, all have the same set in force.
        for _ in 0..2 {
            for who in 0..3 {
                for other in 0..3 {
                    let news = fleet[other].since(fleet[who].revision());
                    fleet[who].merge_news(news);
                }
            }
        }
        prop_assert_eq!(fleet[0].revision(), fleet[1].revision());
        prop_assert_eq!(fleet[1].revision(), fleet[2].revision());
        prop_assert_eq!(fleet[0].set(), fleet[2].set());
    }

    /// A feed brings any requester up to date, whatever revision it has.
    #[test]
    fn feed_updates_any_requester(count in 1_usize..90, have in 0_usize..90) {
        let mut feed = Feed::default();
        let mut requester = Feed::default();
        for revision in 1..=count {
            let number = u64::try_from(revision).expect("small");
            let mut state = feed.items().clone();
            state.insert(format!("k{}", revision % 7).into(), revision.to_string().into());
            feed.replace(Revision::first(number), &state);
            if revision == have {
                requester = feed.clone();
            }
        }
        let news = feed.since(requester.revision());
        requester.merge_news(news);
        prop_assert_eq!(requester.revision(), feed.revision());
        prop_assert_eq!(requester.items(), feed.items());
    }

    /// In whatever order revisions are watched, listed and received, all feeds have the same values
    /// at the same revision, even if a value returned to an earlier one in between.
    ///
    /// Guards against a lost update: a daemon that received the value which a key had two revisions
    /// before recorded no change. It reported none to a peer at the revision in between, which kept
    /// that revision's value. An upstream whose entry expired and came back unchanged then stayed
    /// missing at such peers until its next change.
    #[test]
    fn values_that_return(
        values in proptest::collection::vec((0_u8..2, 0_u8..3), 2..20),
        steps in proptest::collection::vec((0_usize..3, 0_usize..3, 0_u8..3, 0_usize..20), 1..40),
    ) {
        let (mut states, mut changes) = (vec![Items::new()], vec![Vec::new()]);
        for (key, value) in values {
            let change = Change {
                key: format!("k{key}").into(),
                value: (value > 0).then(|| value.to_string().into()),
            };
            let mut state = states.last().expect("there is one").clone();
            match &change.value {
                Some(value) => state.insert(Arc::clone(&change.key), Arc::clone(value)),
                None => state.remove(&change.key),
            };
            states.push(state);
            changes.push(vec![change]);
        }
        let number = |at: usize| Revision::first(u64::try_from(at).expect("small"));
        let mut feeds = vec![Feed::default(); 3];
        for feed in &mut feeds {
            feed.replace(number(0), &states[0]);
        }
        for (who, other, how, to) in steps {
            let at = feeds[who].revision().map_or(0, |held| usize::try_from(held.number).expect("small"));
            let to = to % states.len();
            match how {
                0 => drop(feeds[who].replace(number(to), &states[to])),
                1 => (at + 1..=to).for_each(|at| watch(&mut feeds[who], number(at), &changes[at])),
                _ => {
                    let news = feeds[other].since(feeds[who].revision());
                    feeds[who].merge_news(news);
                }
            }
            let held = feeds[who].revision().expect("it has one");
            let expected = &states[usize::try_from(held.number).expect("small")];
            prop_assert_eq!(feeds[who].items(), expected, "at {}", held);
        }
    }
}

/// Applies the changes of one revision, as received from a watch.
fn watch(feed: &mut Feed, revision: Revision, changes: &[Change]) {
    feed.advance(revision, changes, DeltaKind::Single);
}

#[test]
fn same_again_costs_nothing() {
    // Upstreams write their entries again and again without new content. Peers are sent only the
    // new revision number, whichever revision in between they are at.
    let mut feed = Feed::default();
    let mut state = feed.items().clone();
    state.insert("k".into(), "1".into());
    feed.replace(Revision::first(1), &state);
    let behind: Vec<Feed> = (2..3000)
        .map(|revision| {
            let change = Change { key: "k".into(), value: Some("1".into()) };
            feed.advance(Revision::first(revision), &[change], DeltaKind::Single);
            feed.clone()
        })
        .step_by(700)
        .collect();
    for mut requester in behind {
        let News::Deltas(deltas) = feed.since(requester.revision()) else {
            assert_eq!(requester.revision(), feed.revision());
            continue;
        };
        assert!(deltas.iter().all(|delta| delta.changes.is_empty()), "nothing is sent again");
        requester.merge_news(News::Deltas(deltas));
        assert_eq!((requester.revision(), requester.items()), (feed.revision(), feed.items()));
    }
}

/// A change to the set of [`values`], valid or not.
fn any_change() -> impl Strategy<Value = Change> {
    let upstream = json!({ "address": "127.0.0.1:9", "zone": "a", "slots": 1, "connections": 1 });
    let pick = |key: &str, value: Option<Value>| Change {
        key: key.into(),
        value: value.map(|value| value.to_string().into()),
    };
    let choices = vec![
        pick("upstreams/u0-0", None),
        pick("upstreams/u0-0", Some(upstream.clone())),
        pick("upstreams/u9-9", Some(upstream)),
        pick("upstreams/u0-1", Some(json!({ "address": "nowhere" }))),
        pick("services/s", Some(json!({ "shards": { "000": ["u0-1"], "001": ["u1-0"] } }))),
        pick("services/s", Some(json!({ "shards": { "000": ["u0-0", "u9-9"] } }))),
        pick("services/s", None),
        pick("services/t", Some(json!({ "shards": { "0": ["u1-0", "u1-0"] } }))),
        pick("services/t", None),
        pick("indexes/i", Some(json!({ "snapshots": [{ "version": 1, "shards": { "s": ["000"] } }] }))),
        pick("indexes/i", Some(json!({ "snapshots": [] }))),
        pick("indexes/i", None),
        pick("lookups/l", None),
        pick(
            "lookups/m",
            Some(
                json!({ "index": "i", "urgency": "bulk", "deadline-ms": 5, "repeatable": true, "prefer": "time" }),
            ),
        ),
        pick("things/x", Some(json!(1))),
        pick("things/x", None),
    ];
    prop::sample::select(choices)
}

proptest! {
    #![proptest_config(cases(500))]

    /// Validating only what a change affects gives the same result, and the same set, as parsing
    /// everything again.
    #[test]
    fn affected_part_is_enough(batches in prop::collection::vec(prop::collection::vec(any_change(), 1..5), 1..8)) {
        let mut state = items(values(2, 2, &[1]));
        let mut set = ResourceSet::parse(&state).expect("it is valid");
        for changes in batches {
            let mut next = state.clone();
            for change in &changes {
                match &change.value {
                    Some(value) => next.insert(Arc::clone(&change.key), Arc::clone(value)),
                    None => next.remove(&change.key),
                };
            }
            let mut whole = ResourceSet::parse(&next);
            let mut affected = set.apply(&changes);
            if let (Err(a), Err(b)) = (&mut whole, &mut affected) {
                a.sort_by(|x, y| (&x.key, &x.detail).cmp(&(&y.key, &y.detail)));
                b.sort_by(|x, y| (&x.key, &x.detail).cmp(&(&y.key, &y.detail)));
            }
            prop_assert_eq!(&affected, &whole);
            if let Ok(good) = affected {
                set = good;
                state = next;
            }
        }
    }
}

#[test]
fn faulty_revision_skipped() {
    let history = history(&[1, 0]);
    let mut config = Configuration::default();
    assert_eq!(config.offer_all(Revision::first(1), &history.states[0]), OfferOutcome::Accepted);
    assert!(matches!(config.offer(&history.delta(1)), OfferOutcome::Rejected(_)));
    assert_eq!(config.revision(), Some(Revision::first(1)), "the last valid set stays in force");
    assert_eq!(config.rejected().map(|rejected| rejected.revision), Some(Revision::first(2)));
    assert_eq!(config.offer(&history.delta(2)), OfferOutcome::Accepted);
    assert_eq!(config.revision(), Some(Revision::first(3)));
    assert!(config.rejected().is_none());
}

#[test]
fn late_start() {
    let history = history(&[1]);
    let mut first = Configuration::default();
    first.offer_all(Revision::first(1), &history.states[0]);
    first.offer(&history.delta(1));
    let mut second = Configuration::default();
    assert!(matches!(second.offer_all(Revision::first(2), &history.states[1]), OfferOutcome::Rejected(_)));
    assert_eq!(second.revision(), None);
    assert!(second.merge_news(first.since(None)), "a peer has the last valid set");
    assert_eq!(second.revision(), Some(Revision::first(1)));
}

#[test]
fn stale_copy_ignored() {
    let history = history(&[0, 0]);
    let mut config = Configuration::default();
    config.offer_all(Revision::first(3), &history.states[2]);
    assert_eq!(config.offer_all(Revision::first(1), &history.states[0]), OfferOutcome::Stale);
    assert_eq!(config.offer(&history.delta(1)), OfferOutcome::Stale);
    assert_eq!(config.revision(), Some(Revision::first(3)));
    assert!(
        !config.merge_news(News::Full { revision: Revision::first(2), items: history.states[1].clone() })
    );
}

/// Returns the code of each fault of a set, by key.
fn faults(changes: &[(&str, Value)]) -> BTreeMap<String, Code> {
    let mut all = values(2, 2, &[1]);
    all.extend(changes.iter().map(|(key, value)| ((*key).to_owned(), value.clone())));
    let found = ResourceSet::parse(&items(all)).expect_err("the set has faults");
    found.into_iter().map(|fault| (fault.key.to_string(), fault.code)).collect()
}

#[test]
fn every_fault_reported() {
    let found = faults(&[
        ("services/t", json!({ "shards": { "0": ["ghost"] } })),
        ("upstreams/bad", json!({ "address": "nowhere" })),
        ("upstreams/idle", json!({ "address": "127.0.0.1:1", "zone": "a", "slots": 0, "connections": 1 })),
        ("things/x", json!({})),
        ("indexes/j", json!({ "snapshots": [{ "version": 1, "shards": { "s": ["000", "000"] } }] })),
        ("services/u", json!({ "shards": { "0": ["u0-0"] }, "extra": 1 })),
    ]);
    let expected = [
        ("services/t", Code::ResourceReference),
        ("upstreams/bad", Code::ResourceMalformed),
        ("upstreams/idle", Code::ResourceRange),
        ("things/x", Code::ResourceUnknownKind),
        ("indexes/j", Code::ResourceDuplicate),
        ("services/u", Code::ResourceMalformed),
    ];
    let expected: BTreeMap<String, Code> =
        expected.into_iter().map(|(key, code)| (key.to_owned(), code)).collect();
    assert_eq!(found, expected);
}

#[test]
fn value_too_large() {
    let found = faults(&[("services/big", json!({ "team": "x".repeat(1 << 20), "shards": {} }))]);
    assert_eq!(found["services/big"], Code::ResourceTooLarge);
}
