//! Lookups that may be served in some regions only, and evacuated availability zones: which
//! replicas plans and routers leave out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use proptest::prelude::*;
use serde_json::json;

use crate::support::after;
use crate::support::cases;
use crate::support::items;
use crate::support::replica;
use crate::support::router;
use crate::support::values;
use harefield::domain::cell::CellSize;
use harefield::domain::cold::ColdBounds;
use harefield::domain::feed::Change;
use harefield::domain::hosts::HostList;
use harefield::domain::outcome::Gap;
use harefield::domain::residency::Residency;
use harefield::domain::resources::ResourceSet;
use harefield::domain::revision::Revision;
use harefield::domain::routing::ChoiceRequest;
use harefield::domain::routing::ExclusionEnd;
use harefield::domain::topology::Topology;
use harefield::domain::view::View;
use harefield::domain::view::ViewInputs;

/// The availability zones, two in each of three regions.
const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];

const REGIONS: [&str; 3] = ["a", "b", "c"];

fn region_of(zone: &str) -> &str {
    &zone[..1]
}

fn topology() -> Topology {
    let regions = ZONES.iter().map(|zone| ((*zone).into(), region_of(zone).into()));
    Topology { zone: "a1".into(), regions: regions.collect() }
}

/// Returns a set of shards with replicas in the given zones, and a lookup that may be served only
/// in the regions `homes`; in all regions if there are none.
fn set_in(zones: &[Vec<usize>], homes: &[&str]) -> Arc<ResourceSet> {
    let most = zones.iter().map(Vec::len).max().unwrap_or(1);
    let mut all = values(zones.len(), most, &[1]);
    for (shard, zones) in zones.iter().enumerate() {
        for number in 0..most {
            let zone = ZONES[zones[number % zones.len()]];
            let upstream =
                all.get_mut(&format!("upstreams/{}", replica(shard, number))).expect("the key exists");
            upstream["zone"] = json!(zone);
        }
    }
    all.get_mut("lookups/l").expect("the key exists")["regions"] = json!(homes);
    Arc::new(ResourceSet::parse(&items(all)).expect("the values are valid"))
}

fn next(before: &View, set: &Arc<ResourceSet>) -> View {
    before.next(&ViewInputs {
        own: &"127.0.0.1:7200".into(),
        revision: Some(Revision::first(1)),
        set,
        hosts_revision: None,
        hosts: &HostList::default(),
        fleet: &[],
        size: CellSize::default(),
        topology: &topology(),
        cold: ColdBounds::default(),
        require_keys: false,
    })
}

fn changed(set: &ResourceSet, key: &str, value: Option<&str>) -> Arc<ResourceSet> {
    let change = Change { key: key.into(), value: value.map(Into::into) };
    Arc::new(set.apply(&[change]).expect("it is valid"))
}

/// Returns the zones of a plan's replicas, by shard.
fn planned(view: &View, set: &ResourceSet) -> Vec<Vec<String>> {
    let zone = |name: &Arc<str>| set.upstreams[name].zone.to_string();
    view.lookups["l"].plans[0].shards.iter().map(|shard| shard.replicas.iter().map(zone).collect()).collect()
}

proptest! {
    #![proptest_config(cases(128))]

    #[test]
    fn plans_stay_in_regions(
        zones in prop::collection::vec(prop::collection::vec(0_usize..6, 1..4), 1..8),
        homes in prop::collection::btree_set(0_usize..3, 0..3),
    ) {
        let homes: Vec<&str> = homes.into_iter().map(|at| REGIONS[at]).collect();
        let set = set_in(&zones, &homes);
        let view = next(&View::default(), &set);
        let free = planned(&next(&View::default(), &set_in(&zones, &[])), &set);
        for (shard, replicas) in planned(&view, &set).iter().enumerate() {
            let home = |zone: &&String| homes.is_empty() || homes.contains(&region_of(zone));
            let expected: Vec<&String> = free[shard].iter().filter(home).collect();
            prop_assert_eq!(replicas.iter().collect::<Vec<_>>(), expected);
            prop_assert_eq!(view.lookups["l"].plans[0].shards[shard].outside_regions, replicas.is_empty());
        }
    }

    #[test]
    fn evacuated_never_chosen(
        zones in prop::collection::vec(prop::collection::vec(0_usize..6, 1..4), 1..6),
        steps in prop::collection::vec((0_usize..6, any::<bool>()), 1..12),
    ) {
        let start = Instant::now();
        let mut set = set_in(&zones, &[]);
        let mut view = next(&View::default(), &set);
        let mut router = router(&view, start);
        let mut empty = BTreeMap::new();
        for (at, (zone, begins)) in steps.into_iter().enumerate() {
            let now = after(start, at as u64);
            set = changed(&set, &format!("evacuations/{}", ZONES[zone]), begins.then_some("{}"));
            empty.insert(ZONES[zone], begins);
            view = next(&view, &set);
            router.apply(&view, now);
            router.lease_mut().renew(now);
            for shard in &view.lookups["l"].plans[0].shards {
                let kind = "l".into();
                let request = ChoiceRequest::first(&shard.replicas, 1, &kind);
                let is_empty = |name: &Arc<str>| empty.get(&*set.upstreams[name].zone) == Some(&true);
                match router.choose(&request, now) {
                    Ok(choice) => prop_assert!(!is_empty(&choice.upstream)),
                    Err(exclusion) => {
                        prop_assert!(shard.replicas.iter().all(is_empty), "a replica is available");
                        prop_assert_eq!((exclusion.gap, exclusion.until), (Gap::Evacuated, ExclusionEnd::Never));
                    }
                }
            }
        }
    }
}

#[test]
fn moved_upstream_replanned() {
    let set = set_in(&[vec![0], vec![2]], &["a"]);
    let view = next(&View::default(), &set);
    assert!(!view.lookups["l"].plans[0].shards[0].outside_regions);
    // The same upstream returns in another region; nothing else of the lookup changes.
    let moved = json!({ "address": "127.0.0.1:9", "zone": "b2", "slots": 2, "connections": 25 }).to_string();
    let set = changed(&set, &format!("upstreams/{}", replica(0, 0)), Some(&moved));
    assert!(next(&view, &set).lookups["l"].plans[0].shards[0].outside_regions);
}

#[test]
fn unknown_region_refused() {
    let homes: [Arc<str>; 1] = ["a".into()];
    assert!(!Residency::new(&homes).allows(None));
    assert!(Residency::new(&[]).allows(None));
    let topology = Topology { regions: BTreeMap::new(), ..topology() };
    assert!(!Residency::new(&homes).allows(Some(topology.region_of(&"a1".into()))));
}

#[test]
fn evacuations_parsed() {
    let set = set_in(&[vec![0]], &[]);
    let wrong = Change { key: "evacuations/a1".into(), value: Some("7".into()) };
    set.apply(&[wrong]).expect_err("7 is not an evacuation");
    let set = changed(&set, "evacuations/a1", Some("{}"));
    assert!(next(&View::default(), &set).evacuated.contains("a1"));
    let set = changed(&set, "evacuations/a1", None);
    assert!(next(&View::default(), &set).evacuated.is_empty());
}
