//! An open-loop load generator: requests are sent when they are due, whether or not earlier ones
//! were answered, and times are measured from when they were due.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Timer;
use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

use super::net::Client;

/// How long to wait for answers after the sending time has ended.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// One kind of request in a load, with its rate.
#[derive(Clone, Debug)]
pub struct RequestRate {
    /// The name of the lookup.
    pub lookup: String,
    /// Mean requests a second; arrivals are a Poisson process.
    pub rate: f64,
}

/// The settings of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// The daemons' addresses for callers, used in turn.
    pub daemons: Vec<SocketAddr>,
    /// The requests to send.
    pub mixes: Vec<RequestRate>,
    /// For how long requests are sent.
    pub time: Duration,
    /// Requests that are due in this time from the start are not measured.
    pub warmup: Duration,
    /// The simulated one-way latency between callers and daemons.
    pub latency: Duration,
    /// The seed of the arrival times.
    pub seed: u64,
}

/// The results of one kind of request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with all shards.
    pub whole: u64,
    /// Requests answered without some shards.
    pub partial: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests without a valid answer.
    pub failed: u64,
    /// Shards that contributed, summed over the answered requests.
    pub contributed: u64,
    /// Shards that did not contribute, summed over the answered requests.
    pub missing: u64,
    /// The median time to an answer, in milliseconds.
    pub p50: f64,
    /// The 99th percentile, in milliseconds.
    pub p99: f64,
    /// The 99.9th percentile, in milliseconds.
    pub p999: f64,
}

impl Figures {
    /// Returns the share of shards that contributed, 0 if nothing was answered.
    #[must_use]
    pub fn coverage(&self) -> f64 {
        let all = self.contributed + self.missing;
        if all == 0 { 0.0 } else { to_f64(self.contributed) / to_f64(all) }
    }
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// The fields of a daemon's answer that are counted.
#[derive(Deserialize)]
struct Answer {
    outcome: String,
    coverage: Coverage,
}

#[derive(Deserialize)]
struct Coverage {
    contributed: Vec<String>,
    missing: Vec<serde_json::Value>,
}

struct Tally {
    figures: Figures,
    times: Histogram<u64>,
}

/// Runs a load to its end and returns the results of each lookup.
///
/// # Panics
///
/// Panics if `load` has no daemon.
#[must_use]
pub fn run(load: &Load) -> BTreeMap<String, Figures> {
    assert!(!load.daemons.is_empty(), "a load needs a daemon");
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let client = Client::new(Rc::clone(&executor));
    let tallies: Vec<Rc<RefCell<Tally>>> =
        load.mixes.iter().map(|_| Rc::new(RefCell::new(new_tally()))).collect();
    let start = Instant::now();
    for (number, (mix, tally)) in load.mixes.iter().zip(&tallies).enumerate() {
        let seed = load.seed.wrapping_add(u64::try_from(number).unwrap_or(0));
        let sending = send_requests(
            Rc::clone(&executor),
            client.clone(),
            load.clone(),
            mix.clone(),
            Rc::clone(tally),
            seed,
            start,
        );
        executor.spawn(sending).detach();
    }
    async_io::block_on(executor.run(Timer::after(load.time + DRAIN_TIME)));
    let named = load.mixes.iter().zip(tallies);
    named.map(|(mix, tally)| (mix.lookup.clone(), summarize(&tally.borrow()))).collect()
}

fn new_tally() -> Tally {
    let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
    Tally { figures: Figures::default(), times }
}

fn summarize(tally: &Tally) -> Figures {
    let at = |quantile| {
        let micros = u32::try_from(tally.times.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        f64::from(micros) / 1000.0
    };
    Figures { p50: at(0.5), p99: at(0.99), p999: at(0.999), ..tally.figures.clone() }
}

async fn send_requests(
    executor: Rc<LocalExecutor<'static>>,
    client: Client,
    load: Load,
    mix: RequestRate,
    tally: Rc<RefCell<Tally>>,
    seed: u64,
    start: Instant,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut due = start;
    let mut next_daemon = random.random_range(0..load.daemons.len());
    if mix.rate <= 0.0 {
        return;
    }
    loop {
        let interval: f64 = -random.random_range(f64::EPSILON..1.0_f64).ln() / mix.rate;
        due += Duration::from_secs_f64(interval);
        if due > start + load.time {
            return;
        }
        Timer::at(due).await;
        next_daemon = (next_daemon + 1) % load.daemons.len();
        let (client, to, tally) = (client.clone(), load.daemons[next_daemon], Rc::clone(&tally));
        let (lookup, latency, measured) = (mix.lookup.clone(), load.latency, due >= start + load.warmup);
        let exchange = async move {
            Timer::after(latency).await;
            let path = format!("/v1/lookups/{lookup}");
            let reply = client.send(to, "POST", &path, r#"{"query":{"text":"high street 1"}}"#).await;
            Timer::after(latency).await;
            if measured {
                record_reply(&mut tally.borrow_mut(), reply.map(|(_, body)| body).as_deref(), due);
            }
        };
        executor.spawn(exchange).detach();
    }
}

fn record_reply(tally: &mut Tally, body: Option<&[u8]>, due: Instant) {
    let figures = &mut tally.figures;
    figures.sent += 1;
    let answer: Option<Answer> = body.and_then(|body| serde_json::from_slice(body).ok());
    let Some(answer) = answer else {
        figures.failed += 1;
        return;
    };
    match answer.outcome.as_str() {
        "answered" if answer.coverage.missing.is_empty() => figures.whole += 1,
        "answered" => figures.partial += 1,
        "not-run" => figures.refused += 1,
        _ => figures.unknown += 1,
    }
    if answer.outcome == "answered" {
        figures.contributed += u64::try_from(answer.coverage.contributed.len()).unwrap_or(0);
        figures.missing += u64::try_from(answer.coverage.missing.len()).unwrap_or(0);
        let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        tally.times.saturating_record(micros);
    }
}
