//! FAILBACK: a searcher turns cold, says so at once on its health path, and gets requests as before.

use super::kit::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// `coldPerS` and `coldStartS` of the service.
const COLD_PER_S: usize = 20;
const COLD: Duration = Duration::from_millis(3000);
/// `coldPerS` x `coldOverage` + `coldSlack` of the site: 20 x 1.5 + 5.
const ALLOWED: usize = 35;
/// The cold searcher falls over at a rate well above `coldPerS`: three times as much.
const FALLS_OVER: usize = 60;
/// The searcher writes its entry at its next heartbeat; `heartbeatIntervalMs` is 1200.
const WRITTEN_AFTER: Duration = Duration::from_millis(1000);
/// The requests a second of all clients together, for three searchers.
const RATE: u64 = 240;
const HOST: &str = "pupu76.example";

pub fn run() -> i32 {
    let record = Record::new(&record_path());
    let store = Store::start(&record);
    let zones = [
        ("piarco-hall", "north-trinidad"),
        ("chaguanas-hall", "central-trinidad"),
        ("sando-hall", "south-trinidad"),
    ];
    let mut fleet = Fleet::new(&store, &zones);
    fleet.apply = ms(5000);
    fleet.routing = "cold-overage = 1.5\ncold-slack = 5\n".to_owned();
    let mut daemons = fleet.daemons(3);
    let searchers: Vec<Searcher> = (0..3)
        .map(|at| Searcher::start(&format!("i-door{at}"), "doorstep", zones[at].0, 2, ms(10), &record))
        .collect();
    store.put("op/config", Some(CONFIG.as_bytes()));
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

    let (stop, number) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let (good, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..24)
        .map(|client| {
            let (stop, number, record) = (stop.clone(), number.clone(), record.clone());
            let (good, lost) = (good.clone(), lost.clone());
            let front = daemons[client % 3].front;
            thread::spawn(move || {
                thread::sleep(ms(client as u64 * 4));
                while !stop.load(Ordering::SeqCst) {
                    let next = Instant::now() + ms(1000 * 24 / RATE);
                    let id = format!("a{:06}", number.fetch_add(1, Ordering::SeqCst));
                    let headers = [("attempt-id", id.as_str()), ("deadline-remaining", "3000")];
                    record.line(&format!("client {client}: sends {id}"));
                    let answer = call(front, &request("POST", "/timi402/2f", HOST, &headers, b"x"), ms(4000));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("client {client}: {id} is answered {status}"));
                    good.fetch_add(usize::from(status == 200), Ordering::SeqCst);
                    lost.fetch_add(usize::from(matches!(status, 0 | 502 | 504)), Ordering::SeqCst);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    thread::sleep(ms(6000));
    let since = Instant::now();
    if has_trouble() {
        searchers[0].set_cold(COLD, FALLS_OVER);
        record.line("i-door0 turns cold, and says so on its health path");
        thread::sleep(WRITTEN_AFTER);
        let left = (COLD - WRITTEN_AFTER).as_millis();
        let entry = searchers[0]
            .entry("ready")
            .replace("\"coldRemainingMs\":0", &format!("\"coldRemainingMs\":{left}"));
        store.put(&searchers[0].key(), Some(entry.as_bytes()));
    }
    thread::sleep((since + COLD).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let asked = searchers[0].health_calls();
    let times: Vec<Instant> = searchers[0]
        .arrivals()
        .iter()
        .map(|arrival| arrival.at)
        .filter(|at| *at >= since && *at < since + COLD)
        .collect();
    let within = |from: &Instant| times.iter().filter(|at| *at >= from && **at < *from + ms(1000)).count();
    let most = times.iter().map(within).max().unwrap_or(0);
    record.say(&format!(
        "{} requests answered 200; the health path of i-door0 was asked {asked} times",
        good.load(Ordering::SeqCst)
    ));
    record.say(&format!(
        "{} requests that may run once got 502, 504 or no answer",
        lost.load(Ordering::SeqCst)
    ));
    record.say(&format!(
        "i-door0 got up to {most} requests within a second of these 3 s; a cold searcher bears {COLD_PER_S} and may get {ALLOWED}"
    ));
    if good.load(Ordering::SeqCst) == 0 {
        return 2;
    }
    i32::from(has_trouble() && most > ALLOWED)
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-timi","host":"pupu76.example","pathPrefix":"/timi402/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"doorstep","attempts":2}],"services":[{"name":"doorstep","connectionLimit":420,"healthPath":"/health","coldStartS":3,"coldPerS":20}],"limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;
