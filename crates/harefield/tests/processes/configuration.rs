//! An accepted configuration is in force on every daemon within seconds and is never replaced by
//! an older one.

use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::support::World;
use crate::support::ask;
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
    let world = World::start(4, "");
    let revision = world.publish("lookups/new", lookup(500));
    assert!(world.await_revision(revision) < IN_FORCE);
    for daemon in 0..4 {
        assert_eq!(world.ask(daemon, "new", &json!({ "query": 1 })).code, Code::Whole);
    }
}

#[test]
fn one_reader_is_enough() {
    // Only two daemons of each zone read the platform; the others get changes by gossip.
    let world = World::start(4, "");
    let (before, _) = world.platform.calls();
    let revision = world.publish("lookups/new", lookup(500));
    assert!(world.await_revision(revision) < IN_FORCE);
    let (after, _) = world.platform.calls();
    assert!(after - before < 60, "{} calls for one change", after - before);
}

#[test]
fn faulty_between() {
    let world = World::start(3, "");
    let good = world.publish("lookups/new", lookup(500));
    world.await_revision(good);
    let bad = world.publish("lookups/new", faulty());
    world.await_all("the rejection is reported", |status| {
        status.config.refused == Some(bad) || status.config.seen < Some(bad)
    });
    thread::sleep(Duration::from_millis(500));
    for daemon in &world.daemons {
        let config = daemon.status().config;
        assert_eq!(config.revision, Some(good), "the last valid revision stays in force");
    }
    assert!(world.daemons.iter().any(|daemon| {
        let config = daemon.status().config;
        config.faults.iter().any(|fault| fault.code == Code::ResourceReference)
    }));
    let next = world.publish("lookups/new", lookup(400));
    assert!(world.await_revision(next) < IN_FORCE);
}

#[test]
fn starts_while_faulty() {
    // A daemon that starts while the newest revision is invalid gets the revision in force from
    // its peers, neither none nor another one.
    let mut world = World::start(2, "");
    let good = world.publish("lookups/new", lookup(500));
    world.await_revision(good);
    world.publish("lookups/new", faulty());
    thread::sleep(Duration::from_millis(200));
    let late = world.add_daemon();
    assert_eq!(world.daemons[late].status().config.revision, Some(good));
    assert_eq!(world.ask(late, "new", &json!({ "query": 1 })).code, Code::Whole);
}

#[test]
fn stale_platform() {
    // A daemon that starts while the platform returns an old revision does not serve by it, as
    // its peers have a newer one.
    let mut world = World::start(2, "");
    let revision = world.publish("lookups/new", lookup(500));
    world.await_revision(revision);
    world.platform.set_stale(0, "config", Some(1));
    let late = world.add_daemon();
    assert_eq!(world.daemons[late].status().config.revision, Some(revision));
    assert_eq!(world.ask(late, "new", &json!({ "query": 1 })).code, Code::Whole);
    for daemon in &world.daemons {
        assert_eq!(daemon.status().config.revision, Some(revision), "no daemon reverts to an older revision");
    }
}

#[test]
fn stale_copy() {
    let mut world = World::start_with(1, "", 2);
    let revision = world.publish("lookups/new", lookup(500));
    world.await_revision(revision);
    world.platform.set_stale(0, "config", Some(1));
    let late = world.add_daemon();
    assert_eq!(world.daemons[late].status().config.revision, Some(revision));
}

#[test]
fn platform_gone() {
    let mut world = World::start(3, "");
    world.platform.set_down(0, true);
    for daemon in 0..3 {
        assert_eq!(world.query(daemon).code, Code::Whole);
    }
    let late = world.add_daemon();
    assert_eq!(world.query(late).code, Code::Whole, "peers have the configuration");
    world.platform.set_down(0, false);
    let revision = world.publish("lookups/new", lookup(500));
    assert!(world.await_revision(revision) < IN_FORCE);
}

#[test]
fn resumed_catches_up_first() {
    let world = World::start(3, "");
    world.daemons[0].signal("STOP");
    let dropped = world.platform.publish("config", vec![("lookups/parcels", None::<Value>)]);
    thread::sleep(Duration::from_millis(1500));
    let to = world.daemons[0].addresses.callers;
    let asker = thread::spawn(move || ask(to, "parcels", &json!({ "query": 1 })));
    thread::sleep(Duration::from_millis(100));
    let ran = world.searchers.tally().ran;
    world.daemons[0].signal("CONT");
    let answer = asker.join().expect("no panic").expect("an answer");
    world.await_revision(Revision::first(dropped));
    assert_eq!(
        world.searchers.tally().ran,
        ran,
        "the resumed daemon served by its old configuration: {:?}",
        answer.code
    );
}

#[test]
fn racing_operators() {
    let world = World::start(3, "");
    let threads: Vec<_> = (0..2)
        .map(|operator| {
            let platform = world.platform.clone();
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
    let last = world.publish("lookups/race", lookup(777));
    assert!(world.await_revision(last) < IN_FORCE);
    for daemon in &world.daemons {
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
    let world = World::start(1, "");
    world.daemons[0].signal("STOP");
    world.publish("lookups/a", lookup(100));
    let revision = world.publish("lookups/b", lookup(100));
    world.platform.compact("config");
    thread::sleep(Duration::from_millis(100));
    world.daemons[0].signal("CONT");
    world.await_revision(revision);
}

#[test]
fn bad_settings() {
    let world = World::start(0, "");
    let path = std::env::temp_dir().join(format!("harefield-bad-{}.toml", std::process::id()));
    std::fs::write(&path, world.settings("[bogus]\nx = 1\n")).expect("the settings can be written");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_harefield"))
        .args(["check"])
        .arg(&path)
        .output()
        .expect("it runs");
    drop(std::fs::remove_file(&path));
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("bogus"));
}

#[test]
fn refused_listing_pauses() {
    // A platform copy that lags behind and has compacted its history rejects the watch, and the
    // daemon rejects its older listing. Without a pause, the next watch followed immediately, and
    // three daemons made 388 to 515 calls in two seconds.
    let world = World::start(1, "");
    let held = world.publish("lookups/a", lookup(100));
    world.await_revision(held);
    world.platform.set_stale(0, "config", Some(1));
    world.publish("lookups/b", lookup(100));
    world.platform.compact("config");
    let (before, _) = world.platform.calls();
    thread::sleep(Duration::from_secs(2));
    let (after, _) = world.platform.calls();
    assert!(after - before < 40, "{} calls in two seconds", after - before);
}
