//! Configurations of thousands of routes, in one document of the platform.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::site_support::Site;
use crate::site_support::request_at;
use crate::site_support::routes;
use crate::support::Daemon;
use crate::support::await_true;
use harefield::domain::event::Event;
use harefield::domain::feed::ChangeSize;

/// The routes that one large change adds.
const LARGE: usize = 1400;

/// The largest value of the platform, in bytes.
const VALUE_BYTES: usize = 1 << 20;

/// The time within which a confirmed change has to be in force.
const IN_FORCE: Duration = Duration::from_secs(5);

/// The number of hosts with little processor time.
const HOSTS: usize = 12;

/// The bytes per second of the slowest link, of 10 Mbit/s.
const SLOW_LINK: u32 = 1_250_000;

/// Returns the usual routes and `count` more, of which the first has a path of its own in each
/// `version`.
fn many_routes(count: usize, version: u64) -> Vec<Value> {
    let more = (0..count).map(|number| {
        let prefix = if number == 0 { format!("/v{version}/") } else { format!("/many{number}/") };
        json!({
            "name": format!("many-{number}"), "host": "x.example", "pathPrefix": prefix, "kind": "safe",
            "timeoutMs": 1000, "targetLatencyMs": 300, "priority": 2, "attempts": 2, "service": "one",
        })
    });
    routes().into_iter().chain(more).collect()
}

fn serves(daemon: &Daemon, path: &str) -> bool {
    request_at(daemon, path, "r1", 2000).status == 200
}

/// Waits until all daemons serve a path.
fn await_path(site: &Site, path: &str) {
    await_true("all daemons serve the path", || site.daemons().all(|daemon| serves(daemon, path)));
}

/// Publishes routes and waits until all daemons serve the path that only they have; returns how long
/// it took until the last daemon had them in force.
fn time_in_force(site: &Site, version: u64, routes: &[Value], path: &str) -> Duration {
    let start = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
    site.publish(version, routes);
    await_path(site, path);
    let accepted = |daemon: &Daemon| {
        let events = daemon.timeline("kind=config-accepted");
        Duration::from_micros(events.last().expect("a revision was accepted").stamp.micros)
    };
    site.daemons().map(accepted).max().expect("there is a daemon").saturating_sub(start)
}

/// Returns the size and source of the last accepted revision of a daemon.
fn last_accepted(daemon: &Daemon) -> (ChangeSize, String) {
    let events = daemon.timeline("kind=config-accepted");
    let accepted = events.into_iter().filter_map(|record| match record.event {
        Event::ConfigAccepted { size, from, .. } => Some((size, from)),
        _ => None,
    });
    accepted.last().expect("a revision was accepted")
}

/// Guards against a document that the platform holds but no daemon accepts, since its decoded form
/// exceeds a limit.
#[test]
fn near_store_limit() {
    let mut site = Site::start_reading(3, "readers = 1\n");
    let all = many_routes(3 * LARGE, 2);
    let bytes = json!(all).to_string().len();
    assert!((VALUE_BYTES / 2..VALUE_BYTES).contains(&bytes), "the platform holds {bytes} bytes");
    site.publish(2, &all);
    await_path(&site, "/many4199/x");
    site.add("one", "i-two", &[5]);
    site.store.put("servers/i-one", None);
    await_true("entries of upstreams are in force after it", || {
        site.request("/one/x", "r2");
        site.upstreams["i-two"].runs().iter().any(|run| run == "r2")
    });
}

/// Guards against a change of one route that is sent to every daemon with all other routes.
#[test]
fn small_after_large() {
    let site = Site::start_reading(4, "readers = 1\n");
    site.publish(2, &many_routes(LARGE, 2));
    await_path(&site, "/many1399/x");
    let accepted = || -> Vec<(ChangeSize, String)> { site.daemons().map(last_accepted).collect() };
    let mut version = 2;
    await_true("daemons receive a change from each other", || {
        version += 1;
        site.publish(version, &many_routes(LARGE, version));
        await_path(&site, &format!("/v{version}/x"));
        accepted().iter().any(|(_, from)| from != "platform")
    });
    let accepted = accepted();
    for (size, from) in accepted {
        assert!(size.bytes < 10_000, "one route in {size:?} from {from}");
    }
}

/// Guards against a large change that a daemon sends to a dozen others as it is, over a link that
/// then has no room for anything else.
#[test]
fn large_change_compressed() {
    let site = Site::start_reading(4, "readers = 1\n");
    let control_bytes =
        || -> Vec<u64> { site.daemons().map(|daemon| daemon.status().control_bytes).collect() };
    let mut version = 2;
    await_true("daemons receive a large change from each other", || {
        version += 2;
        site.publish(version, &routes());
        await_true("the routes are gone", || site.daemons().all(|daemon| !serves(daemon, "/many9/x")));
        // A daemon receives the change once, of 413,557 bytes as it is, and sends it to the three
        // others at most.
        let before = control_bytes();
        site.publish(version + 1, &many_routes(LARGE, version));
        await_path(&site, "/many1399/x");
        let received = site.daemons().zip(before).filter(|(daemon, _)| last_accepted(daemon).1 != "platform");
        let received: Vec<u64> =
            received.map(|(daemon, before)| daemon.status().control_bytes - before).collect();
        assert!(received.iter().all(|bytes| *bytes < 4 * 100_000), "{received:?} bytes");
        !received.is_empty()
    });
}

/// Guards against a read that is given up while it makes progress, and begun anew for ever.
#[test]
fn read_over_slow_link() {
    let site = Site::start_over_link(100_000);
    site.publish(2, &many_routes(LARGE, 2));
    await_path(&site, "/many1399/x");
}

/// Guards against changes that are together larger than an answer may be: a daemon that missed them
/// read them again and again.
#[test]
fn many_large_missed() {
    let site = Site::start();
    site.daemon.signal("STOP");
    for version in 2..12 {
        site.publish(version, &many_routes(3 * LARGE, version));
    }
    site.daemon.signal("CONT");
    await_path(&site, "/v11/x");
}

#[test]
fn listed_in_pages() {
    let mut site = Site::start();
    site.store.set_page_items(Some(2));
    site.restart_all("");
    await_path(&site, "/all/x");
    assert_eq!(site.request("/all/x", "r2").header("missing-parts"), "0", "each page was read");
}

/// Guards against changes behind a large one that wait for it on a host with little processor
/// time: the daemons run an eighth of the time.
#[test]
fn slow_hosts_in_time() {
    let site = Site::start_reading(HOSTS, "readers = 1\n");
    site.store.set_pace(Some(SLOW_LINK));
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !ended.load(Ordering::SeqCst) {
                site.daemons().for_each(|daemon| daemon.signal("STOP"));
                std::thread::sleep(Duration::from_millis(88));
                site.daemons().for_each(|daemon| daemon.signal("CONT"));
                std::thread::sleep(Duration::from_millis(12));
            }
            site.daemons().for_each(|daemon| daemon.signal("CONT"));
        });
        let mut latest = time_in_force(&site, 2, &many_routes(LARGE, 2), "/many1399/x");
        for version in 3..6 {
            let path = format!("/v{version}/x");
            latest = latest.max(time_in_force(&site, version, &many_routes(LARGE, version), &path));
        }
        ended.store(true, Ordering::SeqCst);
        assert!(latest < IN_FORCE, "a change was in force after {latest:?}");
    });
}
