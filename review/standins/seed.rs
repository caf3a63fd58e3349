//! The daemons are stopped and started in turn while one of their seeds is stale: its address belongs
//! to a daemon of another deployment by now.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use super::Record;
use super::Verdict;
use super::daemon::free_address;
use super::searcher::Searcher;
use super::site::Attempts;
use super::site::Config;
use super::site::Kind;
use super::site::Site;
use super::site::write_all;

/// `configurationApplyMs` of the small site.
const APPLY: Duration = Duration::from_millis(3000);

/// `graceS` of the small site.
const GRACE: Duration = Duration::from_secs(6);

/// The pause between two daemons.
const GAP: Duration = Duration::from_secs(1);

/// How long requests are sent before the daemons are stopped in turn, and after it.
const BEFORE: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(8);

/// How many more versions the other deployment's operator has written.
const CHANGES: u64 = 200;

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
    let far = folder.join("other");
    std::fs::create_dir_all(&far).expect("the folder is writable");
    let work = Duration::from_millis(40);
    let mut site = Site::new(folder, work);
    let config = Config { suffix: "-large", ..Config::FIRST };
    let mut other = Site::of(&far, work, config);
    for number in 0..CHANGES {
        other.store.put("op/config", Some(&Config { version: 2 + number, ..config }.text()));
    }
    site.start_daemons(true);
    other.start_daemons(true);
    let limit = Duration::from_secs(20);
    if !site.await_serving(&KINDS, limit) || !other.await_serving(&KINDS, limit) {
        record.add("the daemons did not serve before any disruption");
        return Verdict::NotRun;
    }
    let mut seeds = site.seeds().to_vec();
    seeds[2] = if trouble { other.seeds()[1] } else { free_address() };
    record.add(&format!(
        "one of the three seeds is stale: {}, which {} has",
        seeds[2],
        if trouble { "a daemon of another deployment" } else { "nobody" }
    ));
    let attempts = Attempts::default();
    site.load(&KINDS, BEFORE, "before", &attempts);
    std::thread::sleep(BEFORE);
    for number in 0..site.daemons.len() {
        site.restart(number, GRACE, &seeds);
        std::thread::sleep(GAP);
    }
    record.add(&format!("stopped and started all {} daemons in turn", site.daemons.len()));
    std::thread::sleep(APPLY);
    let begun = Instant::now();
    site.load(&KINDS, AFTER, "after", &attempts);
    std::thread::sleep(AFTER + Duration::from_secs(2));
    let attempts = attempts.lock().expect("no thread panics with the lock").clone();
    let runs = |searchers: &[Searcher], label: &str| {
        let arrivals = searchers.iter().flat_map(Searcher::arrivals);
        arrivals.filter(|arrival| arrival.ran && arrival.id.starts_with(label)).count()
    };
    for label in ["before", "after"] {
        let all: Vec<_> = attempts.iter().filter(|attempt| attempt.id.starts_with(label)).collect();
        let with = |status: u16| all.iter().filter(|attempt| attempt.status == status).count();
        record.add(&format!(
            "{label} it: {} requests sent, answered 200: {}, 404: {}; runs at own searchers: {}, at those of \
             the other deployment: {}",
            all.len(),
            with(200),
            with(404),
            runs(&site.searchers, label),
            runs(&other.searchers, label)
        ));
    }
    let (own, foreign) = (runs(&site.searchers, "before"), runs(&other.searchers, "after"));
    record.detail("times are relative to the first request after the restarts; both deployments are listed");
    write_all(&site.searchers, &attempts, begun, record);
    write_all(&other.searchers, &[], begun, record);
    if own == 0 {
        return Verdict::NotRun;
    }
    if foreign > 0 { Verdict::Broken } else { Verdict::Held }
}
