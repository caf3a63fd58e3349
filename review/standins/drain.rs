//! Eleven searchers are taken away as planned; three of them never say `draining`, and their entries go
//! within a second.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use super::Record;
use super::Verdict;
use super::searcher::Searcher;
use super::site::Attempts;
use super::site::Kind;
use super::site::Site;
use super::site::write_all;

/// `drainMs` of the small site.
const DRAIN: Duration = Duration::from_millis(3000);

/// How much longer a leaving searcher serves before it ends.
const LONGER: Duration = Duration::from_millis(100);

/// When the entries of the three go, after the first.
const GOES: [Duration; 3] = [Duration::ZERO, Duration::from_millis(450), Duration::from_millis(930)];

/// How long requests are sent before the searchers leave, and after.
const BEFORE: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(5);

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
        per_s: 200.0,
        seal: "server-seal",
    },
];

/// A searcher that leaves, and when the store took that.
struct Leaving {
    searcher: Searcher,
    taken: Instant,
    says: bool,
}

pub fn run(folder: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let mut site = Site::new(folder, Duration::from_millis(80));
    site.start_daemons(true);
    if !site.await_serving(&KINDS, Duration::from_secs(20)) {
        record.add("the daemons did not serve before any disruption");
        return Verdict::NotRun;
    }
    let attempts = Attempts::default();
    site.load(&KINDS, BEFORE + AFTER, "load", &attempts);
    std::thread::sleep(BEFORE);
    let start = Instant::now();
    let leaving = if trouble { take_away(&site, start) } else { Vec::new() };
    let until = start + AFTER + Duration::from_secs(2);
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
    let attempts = attempts.lock().expect("no thread panics with the lock").clone();
    let verdict = report(&leaving, start, &attempts, record);
    record.detail("times are relative to the first word of a leaving searcher");
    write_all(&site.searchers, &attempts, start, record);
    verdict
}

/// Takes a seventh of `doorstep`, 6 of 40 of `sortdesk` and 4 of 60 of `counterline` away. Each searcher serves on for the time
/// that it owes and a little longer, and ends.
fn take_away(site: &Site, start: Instant) -> Vec<Leaving> {
    let of = |service: &str, zone: &str| {
        let found = site.searchers.iter().find(|s| s.service == service && s.zone == zone);
        found.cloned().expect("the site has such a searcher")
    };
    let mut leaving: Vec<Leaving> = Vec::new();
    let saying =
        ["sortdesk", "counterline"].map(|name| (11..=14).map(move |shard| format!("{name}-{shard}")));
    for service in saying.into_iter().flatten() {
        let searcher = of(&service, "chaguanas-hall");
        let taken = site.store.put(&searcher.key(), Some(&searcher.entry("draining", 2)));
        leaving.push(Leaving { searcher, taken, says: true });
    }
    let silent =
        [of("doorstep", "piarco-hall"), of("sortdesk-3", "piarco-hall"), of("sortdesk-7", "chaguanas-hall")];
    for (searcher, after) in silent.into_iter().zip(GOES) {
        std::thread::sleep((start + after).saturating_duration_since(Instant::now()));
        let taken = site.store.put(&searcher.key(), None);
        leaving.push(Leaving { searcher, taken, says: false });
    }
    let mut ends: Vec<(Instant, Searcher, bool)> =
        leaving.iter().map(|l| (l.taken + DRAIN + LONGER, l.searcher.clone(), l.says)).collect();
    ends.sort_by_key(|(at, ..)| *at);
    let store = site.store.clone();
    std::thread::spawn(move || {
        for (at, searcher, says) in ends {
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            searcher.end();
            if says {
                store.put(&searcher.key(), None);
            }
        }
    });
    leaving
}

fn report(
    leaving: &[Leaving],
    start: Instant,
    attempts: &[super::site::Attempt],
    record: &mut Record,
) -> Verdict {
    let (mut late, mut lost) = (0, 0);
    for Leaving { searcher, taken, says } in leaving {
        let word = if *says { "said that it drains" } else { "left the store without a word" };
        let at = taken.saturating_duration_since(start).as_millis();
        let arrivals = searcher.arrivals();
        let after: Vec<_> = arrivals.iter().filter(|arrival| arrival.at > *taken).collect();
        record.add(&format!("{} of {} {word} at {at} ms", searcher.id, searcher.service));
        for arrival in after {
            let since = arrival.at.saturating_duration_since(*taken);
            let outcome = attempts.iter().find(|attempt| attempt.id == arrival.id);
            let status = outcome.map_or(0, |attempt| attempt.status);
            let line = format!(
                "  {} ms after that: request {} arrived, ran: {}, answered: {}; its client got {status}",
                since.as_millis(),
                arrival.id,
                arrival.ran,
                arrival.answered
            );
            if since > DRAIN {
                late += 1;
                lost += usize::from(arrival.id.contains("parcel") && status != 200);
                record.add(&line);
            }
        }
    }
    let unserved = attempts.iter().filter(|attempt| !attempt.served).count();
    record.add(&format!("requests that got no success: {unserved} of {}", attempts.len()));
    record.add(&format!(
        "requests that reached a leaving searcher over {DRAIN:?} after the store took it: {late}"
    ));
    record.add(&format!("of these, requests that may run once and got no answer of a searcher: {lost}"));
    if attempts.is_empty() {
        return Verdict::NotRun;
    }
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
