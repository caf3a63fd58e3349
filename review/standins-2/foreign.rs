//! CONFIG: another writer's entries make the listing of the store fail for good.

use super::kit::*;
use std::thread;
use std::time::{Duration, Instant};

/// `configurationApplyMs` of the site.
const APPLY: Duration = Duration::from_millis(3000);
/// `contactMs` and `outerMs` of the site: after both, nothing of the disruption is left.
const CALM: Duration = Duration::from_millis(4000 + 12_000);
/// The items on a page, as the site file sets it.
const PAGE: usize = 50;
const HOST: &str = "pupu76.example";

pub fn run() -> i32 {
    let record = Record::new(&record_path());
    let store = Store::start(&record);
    store.set_page(PAGE);
    let zones = [
        ("piarco-hall", "north-trinidad"),
        ("chaguanas-hall", "central-trinidad"),
        ("sando-hall", "south-trinidad"),
    ];
    let mut fleet = Fleet::new(&store, &zones);
    let mut daemons = fleet.daemons(3);
    let searchers: Vec<Searcher> = (0..30)
        .map(|at| Searcher::start(&format!("i-{at:02}ab"), "doorstep", zones[at % 3].0, 4, ms(10), &record))
        .collect();
    store.put("op/config", Some(config(3, "").as_bytes()));
    for searcher in &searchers {
        store.put(&searcher.key(), Some(searcher.entry("ready").as_bytes()));
    }
    for daemon in &mut daemons {
        fleet.start(daemon, true);
    }
    if !daemons.iter().all(|daemon| daemon.await_ready(ms(15_000))) {
        record.say("the daemons don't become ready");
        return 2;
    }
    thread::sleep(ms(5000));
    if ask(&daemons, "/timi402/2f", "old", &record).iter().any(|status| *status != 200) {
        record.say("the daemons don't serve before the disruption");
        return 2;
    }

    if has_trouble() {
        record.line("another writer saves copies under keys of its own, in bytes that can't be read");
        // With TROUBLE=history the store only forgets its history.
        let only_history = std::env::var("TROUBLE").is_ok_and(|value| value == "history");
        for searcher in searchers.iter().filter(|_| !only_history) {
            store.put(&format!("{} (copy)", searcher.key()), Some(b"\xff\xfe\x00 saved"));
        }
        thread::sleep(ms(2000));
        store.set_deaf(true);
        store.put(&searchers[0].key(), Some(searchers[0].entry("ready").replace("v1", "v2").as_bytes()));
        thread::sleep(ms(1000));
        store.forget();
        store.set_deaf(false);
    }
    thread::sleep(CALM);
    let added = r#",{"name":"r-ziti","host":"pupu76.example","pathPrefix":"/ziti980/","kind":"safe","timeoutMs":6000,"targetLatencyMs":600,"priority":2,"service":"doorstep","attempts":2}"#;
    let acknowledged = store.put("op/config", Some(config(4, added).as_bytes()));
    record.line("the operator's version 4 is acknowledged; it adds a route");
    let mut wrong = 0;
    for round in 0..20 {
        let due = APPLY + ms(500 + round * 500);
        thread::sleep((acknowledged + due).saturating_duration_since(Instant::now()));
        let answers = ask(&daemons, "/ziti980/2f", &format!("new{round:02}"), &record);
        for (daemon, status) in daemons.iter().zip(&answers) {
            if *status == 404 {
                wrong += 1;
                let text = format!(
                    "{} answers 404 for the new route {} ms after its acknowledgement",
                    daemon.name,
                    acknowledged.elapsed().as_millis()
                );
                record.say(&text);
            }
        }
    }
    record.say(&format!("{wrong} of 60 requests on the new route were refused with 404"));
    i32::from(wrong > 0)
}

/// Sends a request to each daemon; returns the statuses, 0 where there was no answer.
fn ask(daemons: &[Daemon], path: &str, name: &str, record: &Record) -> Vec<u16> {
    let one = |daemon: &Daemon| {
        let id = format!("{name}-{}", daemon.name);
        record.line(&format!("client: sends {id} ({path}) to {}", daemon.name));
        let bytes = request("GET", path, HOST, &[("attempt-id", &id), ("deadline-remaining", "6000")], b"");
        let status = call(daemon.front, &bytes, ms(7000)).map_or(0, |answer| answer.status());
        record.line(&format!("client: {id} is answered {status}"));
        status
    };
    daemons.iter().map(one).collect()
}

fn config(version: u32, added: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-timi","host":"pupu76.example","pathPrefix":"/timi402/","kind":"safe","timeoutMs":6000,"targetLatencyMs":600,"priority":2,"service":"doorstep","attempts":2}}{added}],"services":[{{"name":"doorstep","connectionLimit":100,"healthPath":"/health"}}],"limits":{{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}}}"#
    )
}
