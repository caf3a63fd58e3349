//! One version of the configuration moves a route to another service and gives another route a long
//! time-out. Later the old service is taken away as planned.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use super::Record;
use super::Verdict;
use super::searcher::Searcher;
use super::site::Attempts;
use super::site::Config;
use super::site::Kind;
use super::site::Site;
use super::site::write_all;

/// `configurationApplyMs` of the small site.
const APPLY: Duration = Duration::from_millis(3000);

/// `drainMs` of the small site.
const DRAIN: Duration = Duration::from_millis(3000);

/// How much longer than it owes a leaving searcher serves before it ends.
const LONGER: Duration = Duration::from_millis(500);

/// The time-outs of the route `belt` in the second version, with and without the disruption.
const LONG_MS: u64 = 900_000;
const USUAL_MS: u64 = 2000;

/// How long requests are sent before the change, and after it until the old service leaves, and then.
const BEFORE: Duration = Duration::from_secs(3);
const BETWEEN: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(8);

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
        per_s: 60.0,
        seal: "server-seal",
    },
];

pub fn run(folder: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let mut site = Site::new(folder, Duration::from_millis(80));
    site.start_daemons(true);
    if !site.await_serving(&KINDS, Duration::from_secs(20)) {
        record.add("the daemons did not serve before any disruption");
        return Verdict::NotRun;
    }
    let attempts = Attempts::default();
    site.load(&KINDS, BEFORE + BETWEEN + AFTER, "load", &attempts);
    std::thread::sleep(BEFORE);
    let belt_ms = if trouble { LONG_MS } else { USUAL_MS };
    let second = Config { version: 4, parcel: "bulkmail", belt_ms, ..Config::FIRST };
    let changed = site.store.put("op/config", Some(&second.text()));
    record.add(&format!(
        "version 4 moves the route parcel from doorstep to bulkmail; the time-out of belt is {belt_ms} ms"
    ));
    std::thread::sleep(BETWEEN);
    let old: Vec<Searcher> = site.searchers.iter().filter(|s| s.service == "doorstep").cloned().collect();
    for searcher in &old {
        site.store.put(&searcher.key(), Some(&searcher.entry("draining", 2)));
    }
    let taken = Instant::now();
    record.add(&format!("all {} searchers of doorstep said that they drain", old.len()));
    std::thread::sleep(DRAIN + LONGER);
    for searcher in &old {
        searcher.end();
        site.store.put(&searcher.key(), None);
    }
    let ended = Instant::now();
    record.add("they ended");
    std::thread::sleep(AFTER.saturating_sub(DRAIN + LONGER) + Duration::from_secs(2));
    let attempts = attempts.lock().expect("no thread panics with the lock").clone();
    let of = |id: &str| attempts.iter().find(|attempt| attempt.id == id);
    let (mut by_old, mut by_new, mut late, mut lost) = (0, 0, 0, 0);
    for searcher in &site.searchers {
        let is_old = searcher.service == "doorstep";
        for arrival in searcher.arrivals().iter().filter(|arrival| arrival.ran) {
            let Some(attempt) = of(&arrival.id).filter(|attempt| attempt.kind == "parcel") else { continue };
            let due = attempt.sent > changed + APPLY;
            by_old += usize::from(due && is_old);
            by_new += usize::from(due && !is_old);
            late += usize::from(is_old && arrival.at > taken + DRAIN);
            lost += usize::from(is_old && !arrival.answered);
        }
    }
    let after = attempts.iter().filter(|attempt| attempt.kind == "parcel" && attempt.sent > ended);
    let after: Vec<_> = after.collect();
    let served = after.iter().filter(|attempt| attempt.served).count();
    record.add(&format!("requests for parcel sent over {APPLY:?} after the store took version 4:"));
    record.add(&format!("  run by bulkmail, the route's service: {by_new}"));
    record.add(&format!("  run by doorstep, the service of the older version: {by_old}"));
    record.add(&format!("  that reached a searcher of doorstep over {DRAIN:?} after its word: {late}"));
    record.add(&format!("  run by doorstep and not answered, as it ended: {lost}"));
    record.add(&format!(
        "requests for parcel sent after doorstep had ended: {}, served: {served}",
        after.len()
    ));
    record.detail("times are relative to when the store took version 4");
    write_all(&site.searchers, &attempts, changed, record);
    if by_old + by_new == 0 {
        return Verdict::NotRun;
    }
    if by_old > 0 { Verdict::Broken } else { Verdict::Held }
}
