//! One stand-in searcher: its state and how it answers one request.

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

/// How often a frozen searcher looks whether it may go on.
const THAW: Duration = Duration::from_millis(5);

/// How often a working searcher looks whether it was cancelled.
const SLICE: Duration = Duration::from_millis(4);

/// How much longer a cold searcher takes.
const COLD: f64 = 4.0;

/// How many executions are remembered by request.
const MOST_REMEMBERED: usize = 200_000;

/// The connection is to be closed without a reply.
#[derive(Debug)]
pub(crate) struct Close;

impl std::fmt::Display for Close {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed on purpose")
    }
}

impl std::error::Error for Close {}

pub(crate) type SearcherReply = Response<UnsyncBoxBody<Bytes, Close>>;

/// What a searcher counts.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub taken: u64,
    pub ran: u64,
    pub opened: u64,
    pub refused_connections: u64,
    pub last_taken: Option<Instant>,
    pub runs: HashMap<String, u64>,
    pub order: VecDeque<String>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub behaviour: Behaviour,
    pub change: u64,
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

/// One searcher.
#[derive(Debug)]
pub(crate) struct Searcher {
    start: u64,
    state: Mutex<State>,
}

/// What a request asks, from its headers.
struct Asked {
    request: String,
    shard: String,
    version: u64,
    deadline: Instant,
}

/// A slot, given back when dropped.
struct Slot {
    searcher: Arc<Searcher>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.searcher.lock().active -= 1;
        self.searcher.grant();
    }
}

/// A place in the queue, given up when dropped.
struct Queued<'a> {
    searcher: &'a Searcher,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.searcher.lock().queued -= 1;
    }
}

impl State {
    /// Returns the load that is reported: late or a lie, where told so.
    fn report(&mut self) -> (u32, u32) {
        let now = Instant::now();
        let lag = millis(self.behaviour.lag_ms);
        let (at, active, queued) = match self.reported {
            Some(held) if now.saturating_duration_since(held.0) < lag => held,
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
            change: 1,
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

    /// Changes the behaviour; the searcher's word is stamped anew.
    pub fn change(self: &Arc<Self>, change: impl FnOnce(&mut Behaviour)) {
        let mut state = self.lock();
        change(&mut state.behaviour);
        state.change += 1;
        drop(state);
        self.grant();
    }

    /// Answers one request; `over` says that its connection is one too many.
    pub async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
        over: bool,
    ) -> Result<SearcherReply, Close> {
        self.thaw().await;
        if self.lock().behaviour.fault == Fault::Gone {
            return Err(Close);
        }
        let latency = millis(self.lock().behaviour.latency_ms);
        Timer::after(latency).await;
        let path = request.uri().path().to_owned();
        if let Some(name) = path.strip_prefix("/v1/requests/") {
            self.lock().cancelled.insert(name.to_owned());
            return Ok(Response::new(whole(b"{}".to_vec())));
        }
        let Some(asked) = read(&request) else {
            let mut reply = Response::new(whole(b"{}".to_vec()));
            *reply.status_mut() = hyper::StatusCode::BAD_REQUEST;
            return Ok(reply);
        };
        let body =
            request.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
        let reply = self.serve(&asked, &body, over).await;
        Timer::after(latency).await;
        self.lock().previous = asked.request;
        reply
    }

    async fn serve(
        self: &Arc<Self>,
        asked: &Asked,
        query: &[u8],
        over: bool,
    ) -> Result<SearcherReply, Close> {
        if let Some(refusal) = self.refusal(asked, over) {
            return Ok(self.refuse(asked, refusal, false));
        }
        let Some(slot) = self.wait_for_slot(asked).await else {
            let cancelled = self.lock().cancelled.remove(&asked.request);
            let why = if cancelled { "cancelled" } else { "late" };
            return Ok(self.refuse(asked, why, false));
        };
        let time = self.begin(asked);
        if !self.work(asked, time).await {
            return Ok(self.refuse(asked, "cancelled", true));
        }
        self.thaw().await;
        drop(slot);
        self.reply(asked, query)
    }

    fn refusal(&self, asked: &Asked, over: bool) -> Option<&'static str> {
        let mut state = self.lock();
        state.counts.taken += 1;
        state.counts.last_taken = Some(Instant::now());
        let behaviour = &state.behaviour;
        let held = behaviour.shards.is_empty() || behaviour.shards.contains(&asked.shard);
        if over {
            Some("connections")
        } else if behaviour.draining {
            Some("draining")
        } else if !held {
            Some("shard")
        } else if !behaviour.held.contains(&asked.version) {
            Some("snapshot")
        } else if behaviour.shed_ms.is_some() {
            Some("shedding")
        } else if usize::try_from(state.queued).unwrap_or(usize::MAX) >= behaviour.queue {
            Some("overloaded")
        } else {
            None
        }
    }

    async fn wait_for_slot(self: &Arc<Self>, asked: &Asked) -> Option<Slot> {
        let (sender, granted) = async_channel::bounded(1);
        self.enqueue(sender);
        let queued = Queued { searcher: self };
        self.grant();
        let slot = granted.recv().await.ok()?;
        drop(queued);
        let gone = self.lock().cancelled.contains(&asked.request);
        (!gone && Instant::now() < asked.deadline).then_some(slot)
    }

    fn enqueue(&self, sender: Sender<Slot>) {
        let mut state = self.lock();
        state.queued += 1;
        state.waiting.push_back(sender);
    }

    /// Gives free slots to those who wait, in order.
    fn grant(self: &Arc<Self>) {
        loop {
            let next = {
                let mut state = self.lock();
                let free = usize::try_from(state.active).unwrap_or(usize::MAX) < state.behaviour.slots;
                let next = if free { state.waiting.pop_front() } else { None };
                state.active += u32::from(next.is_some());
                next
            };
            let Some(waiting) = next else { return };
            // One that went away drops its slot, which is granted again.
            let _ = waiting.try_send(Slot { searcher: Arc::clone(self) }).is_ok();
        }
    }

    /// Counts an execution and draws its time.
    fn begin(&self, asked: &Asked) -> Duration {
        let mut state = self.lock();
        let state = &mut *state;
        let request = asked.request.split('.').next().unwrap_or_default();
        let name = format!("{request} {}", asked.shard);
        state.counts.ran += 1;
        state.counts.order.push_back(name.clone());
        *state.counts.runs.entry(name).or_default() += 1;
        if state.counts.order.len() > MOST_REMEMBERED
            && let Some(oldest) = state.counts.order.pop_front()
        {
            state.counts.runs.remove(&oldest);
        }
        draw_time(&state.behaviour, state.counts.ran, &mut state.random)
    }

    /// Works for a time, unless cancelled; returns whether the work was done.
    async fn work(&self, asked: &Asked, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            Timer::at(end.min(Instant::now() + SLICE)).await;
            if self.lock().cancelled.remove(&asked.request) {
                return false;
            }
        }
        true
    }

    async fn thaw(&self) {
        while self.lock().behaviour.frozen {
            Timer::after(THAW).await;
        }
    }

    fn reply(&self, asked: &Asked, query: &[u8]) -> Result<SearcherReply, Close> {
        let (fault, previous) = {
            let state = self.lock();
            (state.behaviour.fault, state.previous.clone())
        };
        let query: serde_json::Value = serde_json::from_slice(query).unwrap_or_default();
        let mut version = asked.version;
        let mut echo = asked.request.clone();
        match fault {
            Fault::None | Fault::Truncate | Fault::Garbage => {}
            Fault::Lose | Fault::Gone => return Err(Close),
            Fault::RefuseBegun => return Ok(self.refuse(asked, "failed", true)),
            Fault::Cross => echo = previous,
            Fault::WrongVersion => version += 1,
        }
        let answer = json!({ "shard": asked.shard, "version": version, "for": echo, "query": query });
        let bytes = answer.to_string().into_bytes();
        let body = match fault {
            Fault::Truncate => cut(&bytes),
            Fault::Garbage => whole(b"not json".to_vec()),
            _ => whole(bytes),
        };
        Ok(self.dress(Response::new(body), &echo, &asked.shard, version))
    }

    fn refuse(&self, asked: &Asked, why: &str, begun: bool) -> SearcherReply {
        let mut reply = Response::new(whole(b"{}".to_vec()));
        *reply.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        put(&mut reply, "harefield-refused", why);
        put(&mut reply, "harefield-begun", if begun { "true" } else { "false" });
        let retry = self.lock().behaviour.shed_ms;
        if let Some(retry) = retry {
            put(&mut reply, "harefield-retry-ms", &retry.to_string());
        }
        if why == "connections" {
            put(&mut reply, "connection", "close");
        }
        self.dress(reply, &asked.request, &asked.shard, asked.version)
    }

    /// Adds the echo and the searcher's own word and load.
    fn dress(&self, mut reply: SearcherReply, request: &str, shard: &str, version: u64) -> SearcherReply {
        let mut state = self.lock();
        let (active, queued) = state.report();
        let held: Vec<String> = state.behaviour.held.iter().map(ToString::to_string).collect();
        put(&mut reply, "harefield-request", request);
        put(&mut reply, "harefield-shard", shard);
        put(&mut reply, "harefield-snapshot", &version.to_string());
        put(&mut reply, "harefield-load", &format!("{active}/{queued}"));
        put(&mut reply, "harefield-word", &format!("{}.{}", self.start, state.change));
        put(&mut reply, "harefield-draining", &state.behaviour.draining.to_string());
        put(&mut reply, "harefield-held", &held.join(","));
        reply
    }
}

fn draw_time(behaviour: &Behaviour, ran: u64, random: &mut SmallRng) -> Duration {
    // A sum of uniform draws is near enough to a normal one.
    let normal: f64 = (0..6).map(|_| random.random_range(-1.0..1.0)).sum::<f64>() * 0.707;
    let mut time = behaviour.service_ms * (behaviour.spread * normal).exp();
    if random.random_range(0.0..100.0) < behaviour.straggle_percent {
        time = behaviour.straggle_ms;
    }
    if ran <= behaviour.cold_requests {
        time *= COLD;
    }
    millis(time)
}

fn millis(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1000.0)
}

fn put(reply: &mut SearcherReply, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        reply.headers_mut().insert(name, value);
    }
}

fn read(request: &Request<Incoming>) -> Option<Asked> {
    let text = |name: &str| request.headers().get(name)?.to_str().ok();
    let remaining: u64 = text("harefield-remaining-ms")?.parse().ok()?;
    Some(Asked {
        request: text("harefield-request")?.to_owned(),
        shard: text("harefield-shard")?.to_owned(),
        version: text("harefield-snapshot")?.parse().ok()?,
        deadline: Instant::now() + Duration::from_millis(remaining),
    })
}

fn whole(bytes: Vec<u8>) -> UnsyncBoxBody<Bytes, Close> {
    http_body_util::Full::from(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that stops half-way.
fn cut(bytes: &[u8]) -> UnsyncBoxBody<Bytes, Close> {
    let half = Bytes::copy_from_slice(&bytes[..bytes.len() / 2]);
    StreamBody::new(stream::iter([Ok(Frame::data(half)), Err(Close)])).boxed_unsync()
}
