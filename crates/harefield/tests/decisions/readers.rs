//! Which daemons read the platform, and which peers each daemon sends updates to and pulls them
//! from.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::support::row;
use harefield::domain::cell::weight;
use harefield::domain::ids::HostId;
use harefield::domain::membership::MemberRow;
use harefield::domain::readers::children;
use harefield::domain::readers::is_reader;
use harefield::domain::readers::platform_delay;
use harefield::domain::readers::pull_sources;

fn zone(count: usize) -> Vec<MemberRow> {
    let mut rows: Vec<MemberRow> = (0..count).map(|number| row(number, "a")).collect();
    rows.sort_by_key(|row| Reverse(weight("reader", &row.host)));
    rows
}

#[test]
fn platform_read_soon() {
    let join = Duration::from_secs(2);
    assert_eq!(platform_delay(true, true, join), Duration::ZERO, "the others query it");
    let first = platform_delay(false, true, join);
    let back = platform_delay(false, false, join);
    assert!(first >= Duration::from_secs(1), "nobody waits for a fleet that starts for the first time");
    assert!(back <= Duration::from_millis(200), "callers wait for a daemon that restarts");
    let short = Duration::from_millis(100);
    assert!(platform_delay(false, true, short) < short, "time is left to read the platform");
}

#[test]
fn tree_reaches_all_once() {
    for count in [1, 2, 13, 14, 135, 157] {
        let rows = zone(count);
        let mut hops: BTreeMap<HostId, usize> = BTreeMap::from([(Arc::clone(&rows[0].host), 0)]);
        for own in &rows {
            let children_of = children(own, &rows);
            assert!(children_of.len() <= 12);
            let hop = hops[&own.host] + 1;
            for host in children_of {
                assert!(hops.insert(host, hop).is_none(), "reached twice");
            }
        }
        assert_eq!(hops.len(), count);
        assert!(hops.values().all(|hop| *hop <= 2), "{count} daemons are reached within two hops");
    }
}

#[test]
fn reader_sends_to_zone() {
    let mut rows = zone(10);
    assert!(is_reader(&rows[0], &rows, 1));
    assert_eq!(children(&rows[0], &rows).len(), 9);
    // A reader that cannot reach the platform leaves both tasks to the next daemon.
    rows[0].blind = true;
    assert!(is_reader(&rows[1], &rows, 1));
    assert_eq!(children(&rows[1], &rows).len(), 9);
    assert_eq!(children(&rows[0], &rows), Vec::<HostId>::new());
}

#[test]
fn other_zones_excluded() {
    let rows = [row(0, "a"), row(1, "b")];
    assert_eq!(children(&rows[0], &rows), Vec::<HostId>::new());
}

#[test]
fn pull_sources_rotate() {
    let zones = ["a", "b", "c", "d", "e"];
    let rows: Vec<MemberRow> = (0..30).map(|number| row(number, zones[number % 5])).collect();
    let own = rows.iter().filter(|row| &*row.zone == "a").max_by_key(|row| weight("reader", &row.host));
    let own = own.expect("there are some");
    let mut queried: BTreeSet<HostId> = BTreeSet::new();
    for round in 0..2 {
        let hosts = pull_sources(own, &rows, 3, round);
        assert_eq!(hosts.len(), 3);
        assert!(!hosts.contains(&own.host));
        queried.extend(hosts);
    }
    let zone_of = |host: &HostId| rows.iter().find(|row| row.host == *host).map(|row| row.zone.to_string());
    let reached: BTreeSet<String> = queried.iter().filter_map(zone_of).collect();
    assert_eq!(reached.len(), 5, "two rounds reach every zone");
    let is_first = |host: &HostId| rows.iter().any(|row| row.host == *host && is_reader(row, &rows, 1));
    assert_eq!(
        queried.iter().filter(|host| is_first(host)).count(),
        4,
        "the first daemons of the other zones, and one of the own zone"
    );
}

#[test]
fn blind_sources_excluded() {
    let mut rows: Vec<MemberRow> =
        ["a", "b", "c", "d"].iter().enumerate().map(|(n, zone)| row(n, zone)).collect();
    rows[1].blind = true;
    rows[2].blind = true;
    assert_eq!(pull_sources(&rows[0], &rows, 3, 0), vec![Arc::clone(&rows[3].host)]);
    rows[3].blind = true;
    assert_eq!(
        pull_sources(&rows[0], &rows, 3, 0).len(),
        3,
        "if none reaches the platform, any may know more"
    );
    assert_eq!(pull_sources(&rows[0], &rows[..1], 3, 5), Vec::<HostId>::new());
}
