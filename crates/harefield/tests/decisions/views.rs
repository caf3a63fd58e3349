//! How views follow from the resource set and the host list.

use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use crate::support::items;
use crate::support::values;
use harefield::domain::cell::CellSize;
use harefield::domain::cold::ColdBounds;
use harefield::domain::hosts::HostList;
use harefield::domain::ids::HostId;
use harefield::domain::resources::ResourceSet;
use harefield::domain::revision::Revision;
use harefield::domain::topology::Topology;
use harefield::domain::view::View;
use harefield::domain::view::ViewInputs;

fn hosts(count: u16) -> HostList {
    let row = |state: &str| json!({ "role": "harefield", "state": state, "zone": "a" });
    let rows = (0..count).map(|n| (format!("hosts/127.0.0.1:{}", 7200 + n), row("live")));
    HostList::parse(&items(rows))
}

fn next(before: &View, own: u16, set: &Arc<ResourceSet>, hosts: &HostList, max_members: usize) -> View {
    let own: HostId = format!("127.0.0.1:{own}").into();
    let size = CellSize { max_members, connections: 1 };
    before.next(&ViewInputs {
        own: &own,
        revision: Some(Revision::first(1)),
        set,
        hosts_revision: Some(Revision::first(1)),
        hosts,
        fleet: &[],
        size,
        topology: &Topology::default(),
        cold: ColdBounds::default(),
        require_keys: false,
    })
}

fn set_with(key: &str, value: &Value) -> Arc<ResourceSet> {
    let mut all = values(3, 2, &[1]);
    all.insert(key.to_owned(), value.clone());
    Arc::new(ResourceSet::parse(&items(all)).expect("it is valid"))
}

#[test]
fn members_have_plans() {
    let set = set_with("services/t", &json!({ "shards": { "0": ["u0-0"] } }));
    let hosts = hosts(10);
    let mut members = 0;
    for own in 7200..7210 {
        let view = next(&View::default(), own, &set, &hosts, 3);
        let plan = &view.lookups["l"];
        let listed = view.cells["i"].iter().any(|host| **host == *format!("127.0.0.1:{own}"));
        assert_eq!(plan.member, listed);
        assert_eq!(plan.plans.len(), usize::from(listed));
        assert_eq!(view.upstreams.len(), if listed { 6 } else { 0 });
        assert!(view.upstreams.values().all(|upstream| upstream.sharers == 3));
        members += usize::from(listed);
    }
    assert_eq!(members, 3);
}

#[test]
fn unlisted_all_members() {
    let set = set_with("services/t", &json!({ "shards": { "0": ["u0-0"] } }));
    let view = next(&View::default(), 7200, &set, &HostList::default(), 3);
    assert!(view.lookups["l"].member, "without listed daemons every daemon is a member");
}

#[test]
fn unchanged_shared() {
    let hosts = hosts(5);
    let first = set_with("services/t", &json!({ "shards": { "0": ["u0-0"] } }));
    let before = next(&View::default(), 7200, &first, &hosts, 24);
    let change = |key: &str, value: Value| {
        let value = Some(value.to_string().into());
        let changes = [harefield::domain::feed::Change { key: key.into(), value }];
        Arc::new(first.apply(&changes).expect("it is valid"))
    };
    let other = change("services/t", json!({ "shards": { "0": ["u0-1"] } }));
    let after = next(&before, 7200, &other, &hosts, 24);
    assert!(Arc::ptr_eq(&before.lookups["l"], &after.lookups["l"]), "nothing that it depends on has changed");
    let own =
        change("services/s", json!({ "shards": { "000": ["u0-1"], "001": ["u1-0"], "002": ["u2-0"] } }));
    let after = next(&before, 7200, &own, &hosts, 24);
    let replicas = &after.lookups["l"].plans[0].shards[0].replicas;
    assert_eq!(replicas.iter().map(|r| &**r).collect::<Vec<_>>(), ["u0-1"]);
}

#[test]
fn leaving_listed() {
    let rows = [("hosts/127.0.0.1:1000".to_owned(), json!({ "role": "upstream", "state": "leaving" }))];
    let hosts = HostList::parse(&items(rows));
    let set = set_with("services/t", &json!({ "shards": { "0": ["u0-0"] } }));
    let view = next(&View::default(), 7200, &set, &hosts, 24);
    assert!(view.leaving.contains(&"127.0.0.1:1000".parse().expect("an address")));
}

/// Guards against a part of a split that is planned by a cell that has changed: the daemon is a member
/// of the first part's cell as before.
#[test]
fn split_follows_cells() {
    let mut all = values(3, 2, &[1]);
    all.insert("indexes/j".to_owned(), all["indexes/i"].clone());
    all.insert(
        "lookups/l".to_owned(),
        json!({
            "index": "i", "urgency": "bulk", "deadline-ms": 5, "repeatable": true, "prefer": "time",
            "split": [{ "index": "i", "weight": 1 }, { "index": "j", "weight": 1 }],
        }),
    );
    let set = Arc::new(ResourceSet::parse(&items(all)).expect("it is valid"));
    let is_member = |view: &View, index: &str, own: u16| {
        view.cells[index].iter().any(|host| **host == *format!("127.0.0.1:{own}"))
    };
    let mut changed = 0;
    for (own, count) in (7200..7208).flat_map(|own| (8..16).map(move |count| (own, count))) {
        let before = next(&View::default(), own, &set, &hosts(count), 3);
        let view = next(&before, own, &set, &hosts(count + 1), 3);
        for part in &view.lookups["l"].parts {
            assert_eq!(part.plan.member, is_member(&view, &part.plan.lookup.index, own));
        }
        let moved = |index| is_member(&before, index, own) != is_member(&view, index, own);
        changed += usize::from(moved("j") && !moved("i"));
    }
    assert!(changed > 0, "some daemon is a member as before of the first part's cell alone");
}
