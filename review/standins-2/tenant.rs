//! CONFIG: a version with a tenant whose name holds a blank is rejected whole, and all that follows it.

use super::kit::*;
use std::thread;
use std::time::Duration;

/// `configurationApplyMs` of the site.
const APPLY: Duration = Duration::from_millis(5000);
/// `drainMs` of the site.
const DRAIN: Duration = Duration::from_millis(5000);
/// How long a searcher that leaves serves on behind `drainMs`.
const LONGER: Duration = Duration::from_millis(1000);
const HOST: &str = "pupu76.example";

pub fn run() -> i32 {
    let record = Record::new(&record_path());
    let store = Store::start(&record);
    let zones = [("marmara-a", "marmara"), ("ic-anadolu-a", "ic-anadolu"), ("ege-a", "ege")];
    let mut fleet = Fleet::new(&store, &zones);
    fleet.apply = APPLY;
    fleet.accounts = "window-ms = 5000\noverage = 0.25\nslack = 20\nrevoke-ms = 5000\n".to_owned();
    let mut daemons = fleet.daemons(3);
    let searchers: Vec<Searcher> = (0..6)
        .map(|at| Searcher::start(&format!("i-door{at}"), "courier", zones[at % 3].0, 6, ms(50), &record))
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
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let ask = |daemon: usize, key: &str, id: &str| {
        record.line(&format!("client: sends {id} with the key {key} to daemon-{daemon}"));
        let authorization = format!("Bearer {key}");
        let headers =
            [("attempt-id", id), ("deadline-remaining", "10000"), ("authorization", &authorization)];
        let answer =
            call(fronts[daemon], &request("POST", "/timi402/2f", HOST, &headers, b"box 17"), ms(11_000));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("client: {id} is answered {status}"));
        status
    };
    if (0..3).any(|daemon| ask(daemon, "k-old", &format!("before{daemon}")) != 200) {
        record.say("the daemons don't serve before the change");
        return 2;
    }

    // The change: a version adds a tenant. Without trouble its name holds no blank.
    let name = if has_trouble() { "north depot" } else { "north-depot" };
    let tenant = format!(r#",{{"name":"{name}","apiKeys":["k-new"],"priority":2,"ratePerS":0}}"#);
    let acknowledged = store.put("op/config", Some(config(4, &tenant).as_bytes()));
    record.line(&format!("the operator's version 4 is acknowledged; it adds the tenant {name}"));
    thread::sleep(ms(2000));
    let draining = store.put(&searchers[0].key(), Some(searchers[0].entry("draining").as_bytes()));
    record.line("i-door0 says that it drains");

    let (mut refused, mut asked, mut lost, mut number) = (0, 0, 0, 0);
    let mut ended = false;
    while acknowledged.elapsed() < ms(20_000) {
        if !ended && draining.elapsed() > DRAIN + LONGER {
            ended = true;
            searchers[0].end();
            store.put(&searchers[0].key(), None);
        }
        number += 1;
        let (daemon, due) = (number % 3, acknowledged.elapsed() > APPLY);
        if due {
            asked += 1;
            refused += usize::from(ask(daemon, "k-new", &format!("new{number:04}")) == 401);
        }
        lost += usize::from(matches!(ask(daemon, "k-old", &format!("old{number:04}")), 0 | 502 | 504));
        thread::sleep(ms(5));
    }
    let late =
        searchers[0].arrivals().iter().filter(|arrival| arrival.ran && arrival.at > draining + DRAIN).count();
    record.say(&format!(
        "{refused} of {asked} requests with the new key, sent over {} ms after its version, got 401",
        APPLY.as_millis()
    ));
    record.say(&format!(
        "{late} requests reached i-door0 over {} ms after it said that it drains",
        DRAIN.as_millis()
    ));
    record.say(&format!("{lost} requests with the old key got 502, 504 or no answer"));
    i32::from(refused > 0)
}

fn config(version: u32, added: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-timi","host":"pupu76.example","pathPrefix":"/timi402/","kind":"unsafe","timeoutMs":10000,"targetLatencyMs":1000,"priority":2,"service":"courier","attempts":2}}],"services":[{{"name":"courier","connectionLimit":590,"healthPath":"/health"}}],"limits":{{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":5000,"idleTimeoutMs":15000}},"tenants":[{{"name":"tina","apiKeys":["k-old"],"priority":2,"ratePerS":0}}{added}]}}"#
    )
}
