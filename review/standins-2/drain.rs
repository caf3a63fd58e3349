//! DRAIN: three searchers leave within a second, without saying so first.

use super::kit::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// `drainMs` of the site.
const DRAIN: Duration = Duration::from_millis(3000);
/// The second and third searcher leave this long after the first.
const GAP: Duration = Duration::from_millis(950);
/// How long a searcher that leaves serves on: `drainMs` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(6000);
/// The requests a second of all clients together.
const RATE: u64 = 400;
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
    let mut daemons = fleet.daemons(3);
    let searchers: Vec<Searcher> = (0..8)
        .map(|at| Searcher::start(&format!("i-door{at}"), "doorstep", zones[at % 3].0, 4, ms(20), &record))
        .collect();
    store.put("op/config", Some(CONFIG.as_bytes()));
    for searcher in &searchers[..7] {
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

    let (stop, number, good) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..24)
        .map(|client| {
            let (stop, number, good, record) = (stop.clone(), number.clone(), good.clone(), record.clone());
            let front = daemons[client % 3].front;
            thread::spawn(move || {
                let mut kept = None;
                while !stop.load(Ordering::SeqCst) {
                    let next = Instant::now() + ms(1000 * 24 / RATE);
                    let id = format!("a{:06}", number.fetch_add(1, Ordering::SeqCst));
                    let headers = [("attempt-id", id.as_str()), ("deadline-remaining", "6000")];
                    let bytes = request("GET", "/timi402/2f", HOST, &headers, b"");
                    let mut connection = match kept.take() {
                        Some(connection) => connection,
                        None => match Connection::open(front) {
                            Ok(connection) => connection,
                            Err(_) => continue,
                        },
                    };
                    record.line(&format!("client {client}: sends {id}"));
                    match connection.call(&bytes, ms(7000)) {
                        Ok(answer) => {
                            record.line(&format!("client {client}: {id} is answered {}", answer.status()));
                            good.fetch_add(usize::from(answer.status() == 200), Ordering::SeqCst);
                            if answer.header("connection") != Some("close") {
                                kept = Some(connection);
                            }
                        }
                        Err(error) => record.line(&format!("client {client}: {id} fails: {error}")),
                    }
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    thread::sleep(ms(3000));
    let mut gone = Vec::new();
    if has_trouble() {
        record.line("a searcher is added, and three leave: their entries go, and they serve on");
        store.put(&searchers[7].key(), Some(searchers[7].entry("ready").as_bytes()));
        thread::sleep(ms(30));
        gone.push((0, store.put(&searchers[0].key(), None)));
        thread::sleep(GAP);
        gone.push((1, store.put(&searchers[1].key(), None)));
        gone.push((2, store.put(&searchers[2].key(), None)));
    }
    thread::sleep(SERVES_ON);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let mut late = 0;
    for (at, since) in &gone {
        for arrival in searchers[*at].arrivals() {
            let after = arrival.at.saturating_duration_since(*since);
            if after > DRAIN && arrival.ran {
                late += 1;
                let text = format!(
                    "{} reaches {} {} ms after the store acknowledged that it is gone",
                    arrival.id,
                    searchers[*at].id,
                    after.as_millis()
                );
                record.say(&text);
            }
        }
    }
    record.say(&format!(
        "{} requests, {} answered 200, {late} later than {} ms",
        number.load(Ordering::SeqCst),
        good.load(Ordering::SeqCst),
        DRAIN.as_millis()
    ));
    if good.load(Ordering::SeqCst) == 0 {
        return 2;
    }
    i32::from(late > 0)
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-timi","host":"pupu76.example","pathPrefix":"/timi402/","kind":"safe","timeoutMs":6000,"targetLatencyMs":600,"priority":2,"service":"doorstep","attempts":2}],"services":[{"name":"doorstep","connectionLimit":100,"healthPath":"/health"}],"limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;
