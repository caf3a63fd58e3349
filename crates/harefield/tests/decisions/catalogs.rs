//! Catalogs that are published whole, and held and passed on as one value for each resource.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::support::cases;
use harefield::domain::catalogs::join_items;
use harefield::domain::configuration::Configuration;
use harefield::domain::configuration::OfferOutcome;
use harefield::domain::feed::Change;
use harefield::domain::feed::Delta;
use harefield::domain::feed::DeltaKind;
use harefield::domain::feed::Items;
use harefield::domain::feed::News;
use harefield::domain::resources::ResourceSet;
use harefield::domain::revision::Revision;

const KEY: &str = "catalogs/operator";

/// Returns a catalog with a lookup and an index of its own for each time limit that is not 0.
fn catalog(edition: u64, limits: &[u64]) -> Arc<str> {
    let named: BTreeMap<String, u64> = limits
        .iter()
        .enumerate()
        .filter(|(_, limit)| **limit > 0)
        .map(|(number, limit)| (format!("r{number}"), *limit))
        .collect();
    let index = |_: &u64| json!({ "snapshots": [{ "version": 1, "shards": {} }] });
    let indexes: BTreeMap<&String, Value> = named.iter().map(|(name, limit)| (name, index(limit))).collect();
    let lookup = |name: &String, limit: &u64| json!({ "index": name, "urgency": "bulk", "deadline-ms": limit, "repeatable": true, "prefer": "time" });
    let lookups: BTreeMap<&String, Value> =
        named.iter().map(|(name, limit)| (name, lookup(name, limit))).collect();
    json!({ "edition": edition, "indexes": indexes, "lookups": lookups }).to_string().into()
}

fn change(value: Option<Arc<str>>) -> Change {
    Change { key: KEY.into(), value }
}

fn number(at: usize) -> Revision {
    Revision::first(u64::try_from(at).expect("small"))
}

/// Returns the delta to the next state.
fn delta(states: &[Option<Arc<str>>], at: usize) -> Delta {
    Delta {
        base: number(at),
        revision: number(at + 1),
        changes: vec![change(states[at + 1].clone())],
        kind: DeltaKind::Single,
    }
}

fn items_at(state: Option<&Arc<str>>) -> Items {
    state.map(|value| (KEY.into(), Arc::clone(value))).into_iter().collect()
}

/// An event at one daemon.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It reads this many revisions from the platform.
    Watch(usize),
    /// It lists the platform at a revision.
    List(usize),
    /// It pulls from another daemon.
    Pull(usize),
    /// It pulls from another daemon as one that knows no divided catalogs.
    PullWhole(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1_usize..4).prop_map(Step::Watch),
        1 => (0_usize..12).prop_map(Step::List),
        4 => (0_usize..3).prop_map(Step::Pull),
        2 => (0_usize..3).prop_map(Step::PullWhole),
    ]
}

fn state() -> impl Strategy<Value = Option<Vec<u64>>> {
    prop_oneof![
        8 => prop::collection::vec(0_u64..3, 4).prop_map(Some),
        1 => Just(None),
    ]
}

proptest! {
    #![proptest_config(cases(300))]

    /// In whatever way a catalog reaches a daemon, what is in force is what the platform has at
    /// that revision, even if resources had their old value again in between.
    #[test]
    fn same_in_force(
        states in prop::collection::vec(state(), 2..12),
        steps in prop::collection::vec((0_usize..3, step()), 1..50),
    ) {
        let texts: Vec<Option<Arc<str>>> = (1..)
            .zip(&states)
            .map(|(edition, limits)| limits.as_ref().map(|limits| catalog(edition, limits)))
            .collect();
        let mut fleet: Vec<Configuration> = vec![Configuration::default(); 3];
        for config in &mut fleet {
            prop_assert_eq!(config.offer_all(number(0), &items_at(texts[0].as_ref())), OfferOutcome::Accepted);
        }
        for (who, step) in steps {
            let held = fleet[who].revision().expect("it has one").number;
            let at = usize::try_from(held).expect("small");
            match step {
                Step::Watch(count) => {
                    let until = (at + count).min(texts.len() - 1);
                    let deltas: Vec<Delta> = (at..until).map(|at| delta(&texts, at)).collect();
                    prop_assert_eq!(fleet[who].offer_chain(&deltas), !deltas.is_empty());
                }
                Step::List(to) => {
                    let to = to % texts.len();
                    let _offer = fleet[who].offer_all(number(to), &items_at(texts[to].as_ref()));
                }
                Step::Pull(other) => {
                    let news = fleet[other].since(fleet[who].revision());
                    fleet[who].merge_news(news);
                }
                Step::PullWhole(other) => {
                    let news = fleet[other].joined(fleet[other].since(fleet[who].revision()));
                    fleet[who].merge_news(news);
                }
            }
            let at = usize::try_from(fleet[who].revision().expect("it has one").number).expect("small");
            let expected = ResourceSet::parse(&items_at(texts[at].as_ref())).expect("it is valid");
            prop_assert_eq!(&**fleet[who].set(), &expected, "at {}", at);
        }
    }
}

fn holding(limits: &[u64]) -> Configuration {
    let mut config = Configuration::default();
    let _offer = config.offer_all(number(0), &items_at(Some(&catalog(1, limits))));
    config
}

#[test]
fn one_resource_passed_on() {
    let mut config = holding(&[1; 500]);
    let mut limits = [1; 500];
    limits[7] = 2;
    let states = [None, Some(catalog(2, &limits))];
    assert!(config.offer_chain(&[delta(&states, 0)]));
    let News::Deltas(deltas) = config.since(Some(number(0))) else { panic!("there are deltas") };
    let keys: Vec<&str> = deltas[0].changes.iter().map(|change| &*change.key).collect();
    assert_eq!(keys, [KEY, "catalogs/operator/lookups/r7"]);
}

/// Guards against a daemon of an earlier version that takes the head of a divided catalog for the
/// whole of it, and drops all lookups.
#[test]
fn whole_for_earlier_version() {
    let mut config = holding(&[1, 1, 1]);
    let states = [None, Some(catalog(2, &[1, 2, 0]))];
    assert!(config.offer_chain(&[delta(&states, 0)]));
    let News::Deltas(deltas) = config.joined(config.since(Some(number(0)))) else {
        panic!("there are deltas")
    };
    let [Change { key, value }] = &*deltas[0].changes else { panic!("there is one change") };
    let parse = |text: &str| serde_json::from_str::<Value>(text).expect("it is JSON");
    assert_eq!(&**key, KEY);
    assert_eq!(parse(value.as_deref().expect("it has a value")), parse(&catalog(2, &[1, 2, 0])));
    let News::Full { items, .. } = config.joined(config.since(None)) else { panic!("it is everything") };
    assert_eq!(items.len(), 1);
    assert_eq!(join_items(&items), items);
}

#[test]
fn unreadable_is_rejected() {
    let mut config = holding(&[1, 1]);
    let states = [None, Some(r#"{"edition":2,"lookups":[]}"#.into())];
    assert!(matches!(config.offer(&delta(&states, 0)), OfferOutcome::Rejected(_)));
    assert_eq!(config.set().lookups.len(), 2, "the last valid catalog stays in force");
}

/// Guards against an index that is removed from a catalog while a split still names it.
#[test]
fn split_without_index() {
    let lookup = json!({ "index": "r0", "urgency": "bulk", "deadline-ms": 1, "repeatable": true, "prefer": "time", "split": [{ "index": "r0", "weight": 1 }, { "index": "r1", "weight": 1 }] });
    let index = json!({ "snapshots": [{ "version": 1, "shards": {} }] });
    let catalog = |indexes: &Value| -> Arc<str> {
        json!({ "edition": 1, "lookups": { "l": lookup }, "indexes": indexes }).to_string().into()
    };
    let mut config = Configuration::default();
    let both = catalog(&json!({ "r0": index, "r1": index }));
    assert_eq!(config.offer_all(number(0), &items_at(Some(&both))), OfferOutcome::Accepted);
    let states = [None, Some(catalog(&json!({ "r0": index })))];
    assert!(matches!(config.offer(&delta(&states, 0)), OfferOutcome::Rejected(_)));
}

/// Guards against a catalog that takes another one, whose name begins with its own, for its
/// resources.
#[test]
fn names_with_slashes() {
    let named = |name: &str, limit: u64| {
        let lookup = json!({ "index": name, "urgency": "bulk", "deadline-ms": limit, "repeatable": true, "prefer": "time" });
        let index = json!({ "snapshots": [{ "version": 1, "shards": {} }] });
        json!({ "edition": 1, "lookups": { name: lookup }, "indexes": { name: index } }).to_string()
    };
    let mut items: Items = BTreeMap::new();
    items.insert("catalogs/a".into(), named("l", 1).into());
    items.insert("catalogs/a/b".into(), named("m", 1).into());
    let mut config = Configuration::default();
    assert_eq!(config.offer_all(number(0), &items), OfferOutcome::Accepted);
    let change = Change { key: "catalogs/a".into(), value: Some(named("l", 2).into()) };
    let (base, revision) = (number(0), number(1));
    assert!(config.offer_chain(&[Delta { base, revision, changes: vec![change], kind: DeltaKind::Single }]));
    let limits: Vec<u64> = config.set().lookups.values().map(|lookup| lookup.deadline_ms).collect();
    assert_eq!(limits, [2, 1]);
    assert_eq!(join_items(&items), items);
}

/// Guards against a published catalog that is marked as divided, and whose resources are then lost.
#[test]
fn published_as_divided() {
    let text = catalog(1, &[1, 1]).replacen('{', "{\"divided\":true,", 1);
    let mut config = Configuration::default();
    assert_eq!(config.offer_all(number(0), &items_at(Some(&text.into()))), OfferOutcome::Accepted);
    assert_eq!(config.set().lookups.len(), 2);
}
