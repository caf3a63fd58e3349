//! A store that is away for a moment and comes back from a copy some seconds old, in its next
//! era.
//!
//! More than 3 s after changes were confirmed, all daemons still decided by the version
//! before them. The store had come back from a copy: its revision was lower than what the
//! daemons held, it refused their watches with 410, and they refused its listings as older and
//! watched again at once. When writes had raised its revision to what they held, a watch from
//! there went on, and what was written below was never told: daemons vouched for what they had
//! while three versions were missing. Revisions were compared without the era that they are of.
//!
//! What settled it: of six daemons, four made 262 to 275 calls a second from 46.7 s to
//! 54.5 s, a third of them refused, and ended in the moment of the third write; all six then
//! said `config-current` with revision 61, which they had held since 41.1 s, and the versions
//! confirmed at 51.9, 53.1 and 54.6 s were in force nowhere before the next one came at 57.0 s.

use std::time::Duration;
use std::time::Instant;

use standin::Outage;

use crate::site_support::Site;
use crate::site_support::ask_at;
use crate::site_versions::IN_FORCE;
use crate::site_versions::READING;
use crate::site_versions::confirm;
use crate::site_versions::expect_in_force;
use crate::site_versions::expect_kept;
use crate::site_versions::is_in_force;
use crate::support::Daemon;
use crate::support::await_true;

/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// The fewest heartbeats' time for which an upstream that the copy lacks goes on: three of
/// 1.2 s each.
const HEARTBEATS: Duration = Duration::from_millis(3600);

/// Publishes versions one after the other, each in force everywhere before the next.
fn publish(site: &Site, versions: impl IntoIterator<Item = u64>) {
    for version in versions {
        let confirmed = confirm(site, version);
        expect_in_force(site.daemons(), version, confirmed);
    }
}

/// Starts daemons, and publishes versions up to 5, of which a copy lacks the last three.
fn start(count: usize) -> (Site, u64) {
    let site = Site::start_reading(count, READING);
    publish(&site, [2]);
    let copy = site.store.backup();
    publish(&site, 3..=5);
    (site, copy)
}

#[test]
fn series_after_copy() {
    for count in [1, 3] {
        for away in [Outage::Silent, Outage::Down] {
            let (site, copy) = start(count);
            site.store.drill(copy, away, AWAY);
            publish(&site, 6..=10);
        }
    }
}

#[test]
fn written_again_after_copy() {
    let (site, copy) = start(3);
    site.store.drill(copy, Outage::Silent, AWAY);
    expect_kept(&site, 5, Duration::from_millis(500));
    site.store.rewrite_lost();
    expect_kept(&site, 5, Duration::from_millis(500));
    publish(&site, 6..=8);
}

#[test]
fn copies_in_a_row() {
    let (site, copy) = start(3);
    site.store.drill(copy, Outage::Silent, AWAY);
    confirm(&site, 6);
    confirm(&site, 7);
    // The second copy is older than the first one.
    site.store.drill(copy - 1, Outage::Down, AWAY);
    publish(&site, 8..=10);
}

#[test]
fn copy_beside_forgotten_history() {
    let (site, copy) = start(3);
    site.store.drill(copy, Outage::Silent, AWAY);
    site.store.compact();
    publish(&site, 6..=7);
    site.store.compact();
    publish(&site, 8..=9);
}

#[test]
fn listing_across_eras() {
    // Pages of two eras are no listing of either.
    let (mut site, copy) = start(1);
    site.store.restore_after_page(copy);
    site.add_daemon(READING);
    await_true("the new one serves", || site.daemons().all(|daemon| is_in_force(daemon, 5)));
    publish(&site, 6..=7);
}

#[test]
fn starts_beside_copy() {
    // One that starts hears the store, which has version 2, and daemons that know better.
    let (mut site, copy) = start(2);
    site.store.drill(copy, Outage::Silent, AWAY);
    site.add_daemon(READING);
    let new = site.others.last().expect("it was started");
    await_true("it serves", || ask_at(new, "/one/x", "r0", 2000).status == 200);
    assert!(is_in_force(new, 5), "it serves by a version that is not in force any more");
    expect_kept(&site, 5, Duration::from_secs(2));
    publish(&site, 6..=7);
}

#[test]
fn frozen_over_two_eras() {
    let (site, copy) = start(3);
    let frozen = &site.others[0];
    frozen.signal("STOP");
    for version in [6, 8] {
        site.store.drill(copy, Outage::Down, AWAY);
        confirm(&site, version);
    }
    let confirmed = confirm(&site, 9);
    frozen.signal("CONT");
    expect_in_force(site.daemons(), 9, confirmed);
    publish(&site, 10..=11);
}

#[test]
fn era_unseen() {
    // Nobody reads while the era rises, and writes bring the revision back to what was held.
    let (site, copy) = start(3);
    site.store.set_silent(true);
    std::thread::sleep(Duration::from_secs(2));
    site.store.restore(copy);
    for version in 6..=8 {
        confirm(&site, version);
    }
    site.store.set_silent(false);
    expect_in_force(site.daemons(), 8, Instant::now());
    publish(&site, 9..=10);
}

#[test]
fn few_calls_after_copy() {
    // One daemon of the zone reads: it lists once, which is two pages, and the others hear
    // from it. Each may have asked the store once, to hear that its watch is of no use.
    let (site, copy) = start(3);
    let (pages, gone) = (site.store.page_count(), site.store.gone());
    site.store.drill(copy, Outage::Silent, AWAY);
    std::thread::sleep(IN_FORCE);
    let (pages, gone) = (site.store.page_count() - pages, site.store.gone() - gone);
    assert!(pages <= 2, "{pages} pages were read");
    assert!(gone <= 3, "{gone} calls were refused");
}

#[test]
fn upstream_lacking_in_copy() {
    // It goes on until it has had time to write again; where it never does, it is gone.
    let site = Site::start_reading(3, READING);
    let (key, entry) = {
        let own = &site.searchers["i-one"];
        (own.key(), own.entry("one", "ready"))
    };
    site.store.put(&key, None);
    let copy = site.store.backup();
    site.store.put(&key, Some(&entry));
    let serves = |daemon: &Daemon| ask_at(daemon, "/one/x", "r0", 2000).status == 200;
    await_true("it is known", || site.daemons().all(serves));
    site.store.drill(copy, Outage::Silent, AWAY);
    let back = Instant::now();
    while back.elapsed() < HEARTBEATS {
        assert!(site.daemons().all(serves), "it is left alone {:?} after the return", back.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    await_true("it is gone", || !site.daemons().any(serves));
    assert!(back.elapsed() < 3 * HEARTBEATS, "it served for {:?}", back.elapsed());
    site.store.put(&key, Some(&entry));
    await_true("it wrote again", || site.daemons().all(serves));
}

#[test]
fn upstream_back_in_copy() {
    // One that had left is none until it writes, though the copy has it.
    let mut site = Site::start_reading(3, READING);
    site.store.put("servers/i-one", None);
    site.add("one", "i-left", &[5, 5]);
    let left = site.searchers["i-left"].clone();
    let ask_all = |site: &Site| {
        for daemon in site.daemons() {
            ask_at(daemon, "/one/x", "r1", 2000);
        }
    };
    await_true("it is used", || {
        ask_all(&site);
        !left.runs().is_empty()
    });
    let copy = site.store.backup();
    site.store.put(&left.key(), None);
    // New work may reach it for a moment yet.
    std::thread::sleep(Duration::from_secs(1));
    site.store.drill(copy, Outage::Silent, AWAY);
    let (back, runs) = (Instant::now(), left.runs().len());
    while back.elapsed() < Duration::from_secs(3) {
        ask_all(&site);
        assert_eq!(left.runs().len(), runs, "it was asked {:?} after the return", back.elapsed());
    }
    site.store.put(&left.key(), Some(&left.entry("one", "ready")));
    await_true("it is used again", || {
        ask_all(&site);
        left.runs().len() > runs
    });
}

#[test]
fn killed_beside_copy() {
    // Nobody is left who knows more than the copy; what is written then is in force in time.
    let (mut site, copy) = start(3);
    site.store.set_silent(true);
    site.restart_all(READING);
    site.store.restore(copy);
    site.store.set_silent(false);
    site.store.rewrite_lost();
    await_true("they have it", || site.daemons().all(|daemon| is_in_force(daemon, 5)));
    publish(&site, 6..=8);
}
