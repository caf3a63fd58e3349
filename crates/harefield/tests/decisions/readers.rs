//! Who reads the platform, and whom each daemon tells and asks.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::support::row;
use harefield::domain::cell::weight;
use harefield::domain::ids::HostId;
use harefield::domain::membership::Row;
use harefield::domain::readers::below;
use harefield::domain::readers::is_reader;
use harefield::domain::readers::platform_after;
use harefield::domain::readers::sources;

fn zone(count: usize) -> Vec<Row> {
    let mut rows: Vec<Row> = (0..count).map(|number| row(number, "a")).collect();
    rows.sort_by_key(|row| Reverse(weight("reader", &row.host)));
    rows
}

#[test]
fn platform_read_soon() {
    let join = Duration::from_secs(2);
    assert_eq!(platform_after(true, true, join), Duration::ZERO, "the others ask it");
    let first = platform_after(false, true, join);
    let back = platform_after(false, false, join);
    assert!(first >= Duration::from_secs(1), "nobody waits for a fleet that starts");
    assert!(back <= Duration::from_millis(200), "callers wait for one that comes back");
    let short = Duration::from_millis(100);
    assert!(platform_after(false, true, short) < short, "there is time left to read it");
}

#[test]
fn everyone_told_once() {
    for count in [1, 2, 13, 14, 135, 157] {
        let rows = zone(count);
        let mut hops: BTreeMap<HostId, usize> = BTreeMap::from([(Arc::clone(&rows[0].host), 0)]);
        for own in &rows {
            let told = below(own, &rows);
            assert!(told.len() <= 12);
            let hop = hops[&own.host] + 1;
            for host in told {
                assert!(hops.insert(host, hop).is_none(), "told twice");
            }
        }
        assert_eq!(hops.len(), count);
        assert!(hops.values().all(|hop| *hop <= 2), "{count} are told within two hops");
    }
}

#[test]
fn reader_tells_zone() {
    let mut rows = zone(10);
    assert!(is_reader(&rows[0], &rows, 1));
    assert_eq!(below(&rows[0], &rows).len(), 9);
    // One that cannot reach the platform hands both duties to the next.
    rows[0].blind = true;
    assert!(is_reader(&rows[1], &rows, 1));
    assert_eq!(below(&rows[1], &rows).len(), 9);
    assert_eq!(below(&rows[0], &rows), Vec::<HostId>::new());
}

#[test]
fn other_zones_not_told() {
    let rows = [row(0, "a"), row(1, "b")];
    assert_eq!(below(&rows[0], &rows), Vec::<HostId>::new());
}

#[test]
fn sources_in_turn() {
    let zones = ["a", "b", "c", "d", "e"];
    let rows: Vec<Row> = (0..30).map(|number| row(number, zones[number % 5])).collect();
    let own = rows.iter().filter(|row| &*row.zone == "a").max_by_key(|row| weight("reader", &row.host));
    let own = own.expect("there are some");
    let mut asked: BTreeSet<HostId> = BTreeSet::new();
    for round in 0..2 {
        let hosts = sources(own, &rows, 3, round);
        assert_eq!(hosts.len(), 3);
        assert!(!hosts.contains(&own.host));
        asked.extend(hosts);
    }
    let zone_of = |host: &HostId| rows.iter().find(|row| row.host == *host).map(|row| row.zone.to_string());
    let reached: BTreeSet<String> = asked.iter().filter_map(zone_of).collect();
    assert_eq!(reached.len(), 5, "two rounds reach every zone");
    let is_first = |host: &HostId| rows.iter().any(|row| row.host == *host && is_reader(row, &rows, 1));
    assert_eq!(
        asked.iter().filter(|host| is_first(host)).count(),
        4,
        "their readers, and one beside this one"
    );
}

#[test]
fn blind_sources_left_out() {
    let mut rows: Vec<Row> = ["a", "b", "c", "d"].iter().enumerate().map(|(n, zone)| row(n, zone)).collect();
    rows[1].blind = true;
    rows[2].blind = true;
    assert_eq!(sources(&rows[0], &rows, 3, 0), vec![Arc::clone(&rows[3].host)]);
    rows[3].blind = true;
    assert_eq!(sources(&rows[0], &rows, 3, 0).len(), 3, "where none reaches it, any may know more");
    assert_eq!(sources(&rows[0], &rows[..1], 3, 5), Vec::<HostId>::new());
}
