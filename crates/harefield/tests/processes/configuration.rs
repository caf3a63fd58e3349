//! An accepted configuration is in force on every daemon within seconds and is never replaced by
//! an older one.

use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::support::Cluster;
use crate::support::send_lookup;
use harefield::domain::code::Code;
use harefield::domain::revision::Revision;

/// The required time from publishing a revision to its being in force on every daemon.
const IN_FORCE: Duration = Duration::from_secs(9);

fn lookup(deadline: u64) -> Value {
    json!({
        "index": "parcels", "urgency": "urgent", "deadline-ms": deadline, "repeatable": true, "prefer": "time",
    })
}

fn faulty() -> Value {
    json!({ "index": "nowhere", "urgency": "urgent", "deadline-ms": 1, "repeatable": true, "prefer": "time" })
}

#[test]
fn everywhere_soon() {
    let cluster = Cluster::start(4, "");
    let revision = cluster.publish("lookups/new", lookup(500));
    assert!(cluster.await_revision(revision) < IN_FORCE);
    for daemon in 0..4 {
        assert_eq!(cluster.lookup(daemon, "new", &json!({ "query": 1 })).code, Code::Whole);
    }
}

#[test]
fn one_reader_is_enough() {
    // Only two daemons of each zone read the platform; the others get changes by gossip.
    let cluster = Cluster::start(4, "");
    let (before, _) = cluster.platform.calls();
    let revision = cluster.publish("lookups/new", lookup(500));
    assert!(cluster.await_revision(revision) < IN_FORCE);
    let (after, _) = cluster.platform.calls();
    assert!(after - before < 60, "{} calls for one change", after - before);
}

#[test]
fn faulty_between() {
    let cluster = Cluster::start(3, "");
    let good = cluster.publish("lookups/new", lookup(500));
    cluster.await_revision(good);
    let bad = cluster.publish("lookups/new", faulty());
    cluster.await_all("the rejection is reported", |status| {
        status.config.refused == Some(bad) || status.config.seen < Some(bad)
    });
    thread::sleep(Duration::from_millis(500));
    for daemon in &cluster.daemons {
        let config = daemon.status().config;
        assert_eq!(config.revision, Some(good), "the last valid revision stays in force");
    }
    assert!(cluster.daemons.iter().any(|daemon| {
        let config = daemon.status().config;
        config.faults.iter().any(|fault| fault.code == Code::ResourceReference)
    }));
    let next = cluster.publish("lookups/new", lookup(400));
    assert!(cluster.await_revision(next) < IN_FORCE);
}

#[test]
fn starts_while_faulty() {
    // A daemon that starts while the newest revision is invalid gets the revision in force from
    // its peers, neither none nor another one.
    let mut cluster = Cluster::start(2, "");
    let good = cluster.publish("lookups/new", lookup(500));
    cluster.await_revision(good);
    cluster.publish("lookups/new", faulty());
    thread::sleep(Duration::from_millis(200));
    let late = cluster.add_daemon();
    assert_eq!(cluster.daemons[late].status().config.revision, Some(good));
    assert_eq!(cluster.lookup(late, "new", &json!({ "query": 1 })).code, Code::Whole);
}

#[test]
fn stale_platform() {
    // A daemon that starts while the platform returns an old revision does not serve by it, as
    // its peers have a newer one.
    let mut cluster = Cluster::start(2, "");
    let revision = cluster.publish("lookups/new", lookup(500));
    cluster.await_revision(revision);
    cluster.platform.set_stale(0, "config", Some(1));
    let late = cluster.add_daemon();
    assert_eq!(cluster.daemons[late].status().config.revision, Some(revision));
    assert_eq!(cluster.lookup(late, "new", &json!({ "query": 1 })).code, Code::Whole);
    for daemon in &cluster.daemons {
        assert_eq!(daemon.status().config.revision, Some(revision), "no daemon reverts to an older revision");
    }
}

#[test]
fn stale_copy() {
    let mut cluster = Cluster::start_with(1, "", 2);
    let revision = cluster.publish("lookups/new", lookup(500));
    cluster.await_revision(revision);
    cluster.platform.set_stale(0, "config", Some(1));
    let late = cluster.add_daemon();
    assert_eq!(cluster.daemons[late].status().config.revision, Some(revision));
}

#[test]
fn platform_gone() {
    let mut cluster = Cluster::start(3, "");
    cluster.platform.set_down(0, true);
    for daemon in 0..3 {
        assert_eq!(cluster.query(daemon).code, Code::Whole);
    }
    let late = cluster.add_daemon();
    assert_eq!(cluster.query(late).code, Code::Whole, "peers have the configuration");
    cluster.platform.set_down(0, false);
    let revision = cluster.publish("lookups/new", lookup(500));
    assert!(cluster.await_revision(revision) < IN_FORCE);
}

#[test]
fn woken_hears_first() {
    let cluster = Cluster::start(3, "");
    cluster.daemons[0].signal("STOP");
    let dropped = cluster.platform.publish("config", vec![("lookups/parcels", None::<Value>)]);
    thread::sleep(Duration::from_millis(1500));
    let to = cluster.daemons[0].addresses.callers;
    let thread = thread::spawn(move || send_lookup(to, "parcels", &json!({ "query": 1 })));
    thread::sleep(Duration::from_millis(100));
    let ran = cluster.upstreams.tally().ran;
    cluster.daemons[0].signal("CONT");
    let answer = thread.join().expect("the thread does not panic").expect("an answer");
    cluster.await_revision(Revision::first(dropped));
    assert_eq!(
        cluster.upstreams.tally().ran,
        ran,
        "the resumed daemon served by its old configuration: {:?}",
        answer.code
    );
}

#[test]
fn racing_operators() {
    let cluster = Cluster::start(3, "");
    let threads: Vec<_> = (0..2)
        .map(|operator| {
            let platform = cluster.platform.clone();
            thread::spawn(move || {
                for n in 0..20 {
                    let value = if n % 5 == operator { faulty() } else { lookup(100 + n) };
                    platform.publish("config", vec![("lookups/race", Some(value))]);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("the operator's thread does not panic");
    }
    let last = cluster.publish("lookups/race", lookup(777));
    assert!(cluster.await_revision(last) < IN_FORCE);
    for daemon in &cluster.daemons {
        let accepted = daemon.timeline("kind=config-accepted");
        let revisions: Vec<Revision> = accepted
            .iter()
            .filter_map(|record| match &record.event {
                harefield::domain::event::Event::ConfigAccepted { revision, .. } => Some(*revision),
                _ => None,
            })
            .collect();
        assert!(revisions.is_sorted(), "{revisions:?}");
        assert_eq!(revisions.last(), Some(&last));
    }
}

#[test]
fn compacted_platform() {
    let cluster = Cluster::start(1, "");
    cluster.daemons[0].signal("STOP");
    cluster.publish("lookups/a", lookup(100));
    let revision = cluster.publish("lookups/b", lookup(100));
    cluster.platform.compact("config");
    thread::sleep(Duration::from_millis(100));
    cluster.daemons[0].signal("CONT");
    cluster.await_revision(revision);
}

#[test]
fn bad_settings() {
    let cluster = Cluster::start(0, "");
    let path = std::env::temp_dir().join(format!("harefield-bad-{}.toml", std::process::id()));
    std::fs::write(&path, cluster.settings("[bogus]\nx = 1\n")).expect("the settings can be written");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_harefield"))
        .args(["check"])
        .arg(&path)
        .output()
        .expect("the program runs");
    drop(std::fs::remove_file(&path));
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("bogus"));
}

#[test]
fn refused_listing_pauses() {
    // A platform copy that lags behind and has compacted its history rejects the watch, and the
    // daemon rejects its older listing. Without a pause, the next watch followed immediately, and
    // three daemons made 388 to 515 calls in two seconds.
    let cluster = Cluster::start(1, "");
    let held = cluster.publish("lookups/a", lookup(100));
    cluster.await_revision(held);
    cluster.platform.set_stale(0, "config", Some(1));
    cluster.publish("lookups/b", lookup(100));
    cluster.platform.compact("config");
    let (before, _) = cluster.platform.calls();
    thread::sleep(Duration::from_secs(2));
    let (after, _) = cluster.platform.calls();
    assert!(after - before < 40, "{} calls in two seconds", after - before);
}
