//! One stand-in searcher: its state, its queue, and how it answers a request.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;
use futures_lite::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

use super::behaviour::Behaviour;
use super::behaviour::Fault;

/// How often a frozen searcher checks whether it may continue.
const FROZEN_POLL: Duration = Duration::from_millis(5);

/// How often a running request checks whether it was cancelled.
const CANCEL_POLL: Duration = Duration::from_millis(4);

/// Factor on the service time of a cold searcher.
const COLD_FACTOR: f64 = 4.0;

/// Executions that are kept by request; beyond this the oldest are discarded.
const MAX_REMEMBERED: usize = 200_000;

/// The error that makes the server close the connection without a (complete) reply.
#[derive(Debug)]
pub(crate) struct CloseConnection;

impl std::fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed on purpose")
    }
}

impl std::error::Error for CloseConnection {}

pub(crate) type SearcherReply = Response<UnsyncBoxBody<Bytes, CloseConnection>>;

/// Counts of one searcher since it was started.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub taken: u64,
    pub ran: u64,
    pub opened: u64,
    pub refused_connections: u64,
    pub last_taken: Option<Instant>,
    pub runs: HashMap<String, u64>,
    pub run_order: VecDeque<String>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub behaviour: Behaviour,
    pub change_count: u64,
    pub open: usize,
    pub active: u32,
    pub queued: u32,
    pub counts: Counts,
    waiting: VecDeque<Sender<Slot>>,
    reported: Option<(Instant, u32, u32)>,
    cancelled: HashSet<String>,
    previous: String,
    random: SmallRng,
}

/// A searcher, shared by its connections and the test that controls it.
#[derive(Debug)]
pub(crate) struct Searcher {
    /// When it was started, in milliseconds since the Unix epoch; the first half of the stamp of
    /// its announcements.
    start: u64,
    state: Mutex<State>,
}

/// One attempt at a shard request, as its headers describe it.
struct Attempt {
    request: String,
    shard: String,
    version: u64,
    deadline: Instant,
}

/// An execution slot; dropping it frees the slot and grants it to the next waiting request.
struct Slot {
    searcher: Arc<Searcher>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.searcher.lock().active -= 1;
        self.searcher.grant_slots();
    }
}

/// Counts a request as queued until dropped.
struct QueueGuard<'a> {
    searcher: &'a Searcher,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.searcher.lock().queued -= 1;
    }
}

impl State {
    /// Returns the active and queued requests to report. The values may be up to `lag_ms` old,
    /// and the queue length may be replaced by `lie_queued`.
    fn report(&mut self) -> (u32, u32) {
        let now = Instant::now();
        let lag = millis(self.behaviour.lag_ms);
        let (at, active, queued) = match self.reported {
            Some(previous) if now.saturating_duration_since(previous.0) < lag => previous,
            _ => (now, self.active, self.queued),
        };
        self.reported = Some((at, active, queued));
        (active, self.behaviour.lie_queued.unwrap_or(queued))
    }
}

impl Searcher {
    pub fn new(behaviour: Behaviour, start: u64, seed: u64) -> Arc<Self> {
        let state = State {
            behaviour,
            change_count: 1,
            open: 0,
            active: 0,
            queued: 0,
            counts: Counts::default(),
            waiting: VecDeque::new(),
            reported: None,
            cancelled: HashSet::new(),
            previous: "none".to_owned(),
            random: SmallRng::seed_from_u64(seed),
        };
        Arc::new(Self { start, state: Mutex::new(state) })
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the behaviour and advances the stamp of the searcher's announcements.
    pub fn change(self: &Arc<Self>, change: impl FnOnce(&mut Behaviour)) {
        let mut state = self.lock();
        change(&mut state.behaviour);
        state.change_count += 1;
        drop(state);
        self.grant_slots();
    }

    /// Answers one request; `over_limit` tells that its connection is above the limit.
    pub async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
        over_limit: bool,
    ) -> Result<SearcherReply, CloseConnection> {
        self.wait_unfrozen().await;
        if self.lock().behaviour.fault == Fault::Gone {
            return Err(CloseConnection);
        }
        let latency = millis(self.lock().behaviour.latency_ms);
        Timer::after(latency).await;
        let path = request.uri().path().to_owned();
        if let Some(name) = path.strip_prefix("/v1/requests/") {
            self.lock().cancelled.insert(name.to_owned());
            return Ok(Response::new(full_body(b"{}".to_vec())));
        }
        let Some(attempt) = parse_attempt(&request) else {
            let mut reply = Response::new(full_body(b"{}".to_vec()));
            *reply.status_mut() = hyper::StatusCode::BAD_REQUEST;
            return Ok(reply);
        };
        let body =
            request.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
        let reply = self.serve(&attempt, &body, over_limit).await;
        Timer::after(latency).await;
        self.lock().previous = attempt.request;
        reply
    }

    async fn serve(
        self: &Arc<Self>,
        attempt: &Attempt,
        query: &[u8],
        over_limit: bool,
    ) -> Result<SearcherReply, CloseConnection> {
        if let Some(reason) = self.refusal_reason(attempt, over_limit) {
            return Ok(self.refuse(attempt, reason, false));
        }
        let Some(slot) = self.wait_for_slot(attempt).await else {
            let cancelled = self.lock().cancelled.remove(&attempt.request);
            let reason = if cancelled { "cancelled" } else { "late" };
            return Ok(self.refuse(attempt, reason, false));
        };
        let time = self.record_run(attempt);
        if !self.work(attempt, time).await {
            return Ok(self.refuse(attempt, "cancelled", true));
        }
        self.wait_unfrozen().await;
        drop(slot);
        self.reply(attempt, query)
    }

    fn refusal_reason(&self, attempt: &Attempt, over_limit: bool) -> Option<&'static str> {
        let mut state = self.lock();
        state.counts.taken += 1;
        state.counts.last_taken = Some(Instant::now());
        let behaviour = &state.behaviour;
        let holds_shard = behaviour.shards.is_empty() || behaviour.shards.contains(&attempt.shard);
        if over_limit {
            Some("connections")
        } else if behaviour.draining {
            Some("draining")
        } else if !holds_shard {
            Some("shard")
        } else if !behaviour.held.contains(&attempt.version) {
            Some("snapshot")
        } else if behaviour.shed_ms.is_some() {
            Some("shedding")
        } else if usize::try_from(state.queued).unwrap_or(usize::MAX) >= behaviour.queue {
            Some("overloaded")
        } else {
            None
        }
    }

    async fn wait_for_slot(self: &Arc<Self>, attempt: &Attempt) -> Option<Slot> {
        let (sender, granted) = async_channel::bounded(1);
        self.enqueue(sender);
        let queue_guard = QueueGuard { searcher: self };
        self.grant_slots();
        let slot = granted.recv().await.ok()?;
        drop(queue_guard);
        let cancelled = self.lock().cancelled.contains(&attempt.request);
        (!cancelled && Instant::now() < attempt.deadline).then_some(slot)
    }

    fn enqueue(&self, sender: Sender<Slot>) {
        let mut state = self.lock();
        state.queued += 1;
        state.waiting.push_back(sender);
    }

    /// Grants free slots to waiting requests in order of arrival.
    fn grant_slots(self: &Arc<Self>) {
        loop {
            let next = {
                let mut state = self.lock();
                let free = usize::try_from(state.active).unwrap_or(usize::MAX) < state.behaviour.slots;
                let next = if free { state.waiting.pop_front() } else { None };
                state.active += u32::from(next.is_some());
                next
            };
            let Some(sender) = next else { return };
            // If the request is gone, the slot is dropped and granted to the next one.
            let _ = sender.try_send(Slot { searcher: Arc::clone(self) }).is_ok();
        }
    }

    /// Counts an execution and returns its random service time.
    fn record_run(&self, attempt: &Attempt) -> Duration {
        let mut state = self.lock();
        let state = &mut *state;
        let request = attempt.request.split('.').next().unwrap_or_default();
        let name = format!("{request} {}", attempt.shard);
        state.counts.ran += 1;
        state.counts.run_order.push_back(name.clone());
        *state.counts.runs.entry(name).or_default() += 1;
        if state.counts.run_order.len() > MAX_REMEMBERED
            && let Some(oldest) = state.counts.run_order.pop_front()
        {
            state.counts.runs.remove(&oldest);
        }
        sample_time(&state.behaviour, state.counts.ran, &mut state.random)
    }

    /// Waits for the service time; returns false if the request was cancelled meanwhile.
    async fn work(&self, attempt: &Attempt, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            Timer::at(end.min(Instant::now() + CANCEL_POLL)).await;
            if self.lock().cancelled.remove(&attempt.request) {
                return false;
            }
        }
        true
    }

    async fn wait_unfrozen(&self) {
        while self.lock().behaviour.frozen {
            Timer::after(FROZEN_POLL).await;
        }
    }

    fn reply(&self, attempt: &Attempt, query: &[u8]) -> Result<SearcherReply, CloseConnection> {
        let (fault, previous) = {
            let state = self.lock();
            (state.behaviour.fault, state.previous.clone())
        };
        let query: serde_json::Value = serde_json::from_slice(query).unwrap_or_default();
        let mut version = attempt.version;
        let mut echoed = attempt.request.clone();
        match fault {
            Fault::None | Fault::Truncate | Fault::Garbage => {}
            Fault::Lose | Fault::Gone => return Err(CloseConnection),
            Fault::RefuseBegun => return Ok(self.refuse(attempt, "failed", true)),
            Fault::Cross => echoed = previous,
            Fault::WrongVersion => version += 1,
        }
        let answer = json!({ "shard": attempt.shard, "version": version, "for": echoed, "query": query });
        let bytes = answer.to_string().into_bytes();
        let body = match fault {
            Fault::Truncate => truncated_body(&bytes),
            Fault::Garbage => full_body(b"not json".to_vec()),
            _ => full_body(bytes),
        };
        Ok(self.add_headers(Response::new(body), &echoed, &attempt.shard, version))
    }

    fn refuse(&self, attempt: &Attempt, reason: &str, begun: bool) -> SearcherReply {
        let mut reply = Response::new(full_body(b"{}".to_vec()));
        *reply.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        set_header(&mut reply, "harefield-refused", reason);
        set_header(&mut reply, "harefield-begun", if begun { "true" } else { "false" });
        let retry = self.lock().behaviour.shed_ms;
        if let Some(retry) = retry {
            set_header(&mut reply, "harefield-retry-ms", &retry.to_string());
        }
        if reason == "connections" {
            set_header(&mut reply, "connection", "close");
        }
        self.add_headers(reply, &attempt.request, &attempt.shard, attempt.version)
    }

    /// Adds the headers that repeat the request's identity, and the searcher's announcement and
    /// load.
    fn add_headers(
        &self,
        mut reply: SearcherReply,
        request: &str,
        shard: &str,
        version: u64,
    ) -> SearcherReply {
        let mut state = self.lock();
        let (active, queued) = state.report();
        let held: Vec<String> = state.behaviour.held.iter().map(ToString::to_string).collect();
        set_header(&mut reply, "harefield-request", request);
        set_header(&mut reply, "harefield-shard", shard);
        set_header(&mut reply, "harefield-snapshot", &version.to_string());
        set_header(&mut reply, "harefield-load", &format!("{active}/{queued}"));
        set_header(&mut reply, "harefield-word", &format!("{}.{}", self.start, state.change_count));
        set_header(&mut reply, "harefield-draining", &state.behaviour.draining.to_string());
        set_header(&mut reply, "harefield-held", &held.join(","));
        reply
    }
}

fn sample_time(behaviour: &Behaviour, ran: u64, random: &mut SmallRng) -> Duration {
    // The sum of six uniform samples, scaled to a variance of 1, approximates a normal
    // distribution.
    let normal: f64 = (0..6).map(|_| random.random_range(-1.0..1.0)).sum::<f64>() * 0.707;
    let mut time = behaviour.service_ms * (behaviour.spread * normal).exp();
    if random.random_range(0.0..100.0) < behaviour.straggle_percent {
        time = behaviour.straggle_ms;
    }
    if ran <= behaviour.cold_requests {
        time *= COLD_FACTOR;
    }
    millis(time)
}

fn millis(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1000.0)
}

fn set_header(reply: &mut SearcherReply, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        reply.headers_mut().insert(name, value);
    }
}

fn parse_attempt(request: &Request<Incoming>) -> Option<Attempt> {
    let text = |name: &str| request.headers().get(name)?.to_str().ok();
    let remaining: u64 = text("harefield-remaining-ms")?.parse().ok()?;
    Some(Attempt {
        request: text("harefield-request")?.to_owned(),
        shard: text("harefield-shard")?.to_owned(),
        version: text("harefield-snapshot")?.parse().ok()?,
        deadline: Instant::now() + Duration::from_millis(remaining),
    })
}

fn full_body(bytes: Vec<u8>) -> UnsyncBoxBody<Bytes, CloseConnection> {
    http_body_util::Full::from(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that ends with an error after half of the bytes.
fn truncated_body(bytes: &[u8]) -> UnsyncBoxBody<Bytes, CloseConnection> {
    let half = Bytes::copy_from_slice(&bytes[..bytes.len() / 2]);
    StreamBody::new(stream::iter([Ok(Frame::data(half)), Err(CloseConnection)])).boxed_unsync()
}
