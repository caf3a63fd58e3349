//! All daemons are killed and start again while one entry of another writer lies in the store.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use super::Record;
use super::Verdict;
use super::site::Attempts;
use super::site::Kind;
use super::site::Site;
use super::site::write_all;

/// `recoveryS` of the small site.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the processes stay down.
const DOWN: Duration = Duration::from_millis(700);

/// How long requests are sent before the kill, and after the time to recover.
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(8);

/// The number of the key that stands last on the first page of a listing.
const PAGE_END: usize = 50;

static KINDS: [Kind; 2] = [
    Kind {
        name: "belt",
        line: "GET /belt/2f",
        body: b"",
        deadline_ms: 1000,
        per_s: 20.0,
        seal: "part-seals",
    },
    Kind {
        name: "parcel",
        line: "POST /parcel/2f",
        body: b"parcel 17",
        deadline_ms: 6000,
        per_s: 20.0,
        seal: "server-seal",
    },
];

pub fn run(folder: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let mut site = Site::new(folder, Duration::from_millis(40));
    site.start_daemons(true);
    if !site.await_serving(&KINDS, Duration::from_secs(20)) {
        record.add("the daemons did not serve before any disruption");
        return Verdict::NotRun;
    }
    if trouble {
        // Another program's copy of an entry, under a name of its own and in a format of its own.
        let mut keys: Vec<String> = site.searchers.iter().map(|searcher| searcher.key()).collect();
        keys.sort();
        let key = format!("{} copy", keys[PAGE_END - 2]);
        site.store.put(&key, Some("saved by the backup job, format 3"));
        let position = site.store.position("servers/", &key);
        record.add(&format!("another writer put the key {key:?}, number {position} of its prefix"));
    }
    let before = Attempts::default();
    site.load(&KINDS, BEFORE, "before", &before);
    std::thread::sleep(BEFORE);
    record.add(&format!("killed all {} daemons", site.daemons.len()));
    site.daemons.iter_mut().for_each(|daemon| daemon.kill());
    std::thread::sleep(DOWN);
    site.start_daemons(false);
    let (returned, calls) = (Instant::now(), site.store.calls());
    record.add(&format!("started all daemons again after {} ms", DOWN.as_millis()));
    let after = Attempts::default();
    site.load(&KINDS, RECOVERY + AFTER, "after", &after);
    std::thread::sleep(RECOVERY + AFTER + Duration::from_secs(2));
    let ended = site.daemons.iter_mut().filter_map(|daemon| daemon.has_ended().then_some(&daemon.name));
    let ended: Vec<&String> = ended.collect();
    record.add(&format!("daemons whose process ended by itself: {ended:?}"));
    let ready = site.daemons.iter().filter(|daemon| daemon.is_ready()).count();
    record.add(&format!("daemons that say they are ready at the end: {ready}"));
    record.add(&format!("calls that the store answered since the return: {}", site.store.calls() - calls));
    let before = before.lock().expect("no thread panics with the lock").clone();
    let after = after.lock().expect("no thread panics with the lock").clone();
    record.detail("times are relative to the return of the daemons");
    let all: Vec<_> = before.iter().chain(&after).cloned().collect();
    write_all(&site.searchers, &all, returned, record);
    let late: Vec<_> = after.iter().filter(|attempt| attempt.sent > returned + RECOVERY).collect();
    let (served, all) = (before.iter().filter(|attempt| attempt.served).count(), before.len());
    let (served_late, all_late) = (late.iter().filter(|attempt| attempt.served).count(), late.len());
    record.add(&format!("served before the kill: {served} of {all}"));
    record.add(&format!(
        "served of those sent over {RECOVERY:?} after the return: {served_late} of {all_late}"
    ));
    if served * 4 < all || all_late == 0 {
        return Verdict::NotRun;
    }
    if served_late * 4 < all_late { Verdict::Broken } else { Verdict::Held }
}
