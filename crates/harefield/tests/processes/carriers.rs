//! Carriers of a scheduled index that are killed or frozen while requests run.

use std::time::Duration;
use std::time::Instant;

use standin::ReplyMode;
use standin::upstream_entry;

use harefield::domain::event::Event;

use crate::site_support::Site;
use crate::site_support::records;
use crate::site_support::request_at;
use crate::support::Daemon;
use crate::support::await_true;

const SCHEDULED: &str = "[scheduling]\nenabled = true\nmin-shards = 3\n[host.regions]\n\
    hall = \"r1\"\nbarn = \"r2\"\nyard = \"r3\"\n";

const DEADLINE: Duration = Duration::from_millis(900);

/// Starts four daemons in one region, and replicas of three shards in each of three; returns the
/// index in `others` of a daemon that carries a shard.
fn start() -> (Site, usize) {
    let mut site = Site::start_with(4, SCHEDULED);
    for (service, held) in [("s1", [9, 1]), ("s2", [8, 2]), ("s3", [7, 3])] {
        for zone in ["barn", "yard"] {
            let id = format!("i-{service}-{zone}");
            site.add(service, &id, &held);
            let upstream = &site.upstreams[&id];
            site.store
                .put(&upstream.key(), Some(&upstream_entry(upstream.address(), zone, service, "ready")));
        }
    }
    for upstream in site.upstreams.values() {
        upstream.set_mode(ReplyMode::Good, Duration::from_millis(15));
    }
    let (mut number, mut found) = (0, Vec::new());
    await_true("the index is scheduled", || {
        number += 1;
        site.daemons().enumerate().for_each(|(at, daemon)| {
            request_at(daemon, "/all/x", &format!("start-{number}-{at}"), 2000);
        });
        std::thread::sleep(Duration::from_millis(100));
        found = carriers(&site, &format!("start-{number}-0"));
        found.len() >= 2
    });
    (site, found[0])
}

/// Returns the other daemons that the first one sent groups of a request to, by index in `others`.
fn carriers(site: &Site, request: &str) -> Vec<usize> {
    let records = site.daemon.timeline("");
    let of_request = records.iter().filter(|record| record.request.as_deref() == Some(request));
    let hosts = of_request.filter_map(|record| match &record.event {
        Event::GroupSent { to, .. } => Some(to.to_string()),
        _ => None,
    });
    let hosts: Vec<String> = hosts.collect();
    let at = |daemon: &Daemon| hosts.contains(&daemon.addresses.peers.to_string());
    (0..site.others.len()).filter(|other| at(&site.others[*other])).collect()
}

/// Sends requests to the first daemon for two seconds, and a signal to one of its carriers after
/// half a second; returns how many answers were not whole.
fn strike(signal: &str) -> usize {
    let (site, carrier) = start();
    let victim = &site.others[carrier];
    let request = |id: String| {
        let start = Instant::now();
        let answer = request_at(&site.daemon, "/all/x", &id, 900);
        assert_eq!(answer.status, 200, "{id}: {}", String::from_utf8_lossy(&answer.body));
        assert!(start.elapsed() < DEADLINE, "{id}: {:?}", start.elapsed());
        let whole = answer.header("missing-parts") == "0";
        assert!(!whole || answer.body == records(&[9, 8, 7, 3]), "{id}: {:?}", answer.body);
        usize::from(!whole)
    };
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .map(|caller| {
                scope.spawn(move || (0..60).map(|n| request(format!("c{caller}-{n}"))).sum::<usize>())
            })
            .collect();
        std::thread::sleep(Duration::from_millis(500));
        victim.signal(signal);
        callers.into_iter().map(|caller| caller.join().expect("no answer is wrong")).sum()
    })
}

#[test]
fn killed_stays_whole() {
    assert_eq!(strike("KILL"), 0);
}

#[test]
fn frozen_in_time() {
    // Requests that wait for it when it freezes may lack its shard, as the least share allows.
    let lacking = strike("STOP");
    assert!(lacking <= 30, "{lacking} answers of 180 lack a shard");
}
