//! A worker over fakes at its ports, whose requests are dropped by their callers.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;

use crate::scheduled::scheduled_view;
use crate::support::replica;
use harefield::adapters::clock::SystemClock;
use harefield::domain::accounts::Grants;
use harefield::domain::accounts::Overage;
use harefield::domain::accounts::Requester;
use harefield::domain::admission::GateLimits;
use harefield::domain::announcement::Announcement;
use harefield::domain::announcement::AnnouncementStamp;
use harefield::domain::announcement::NamedAnnouncement;
use harefield::domain::event::Event;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::feed::News;
use harefield::domain::hlc::Stamp;
use harefield::domain::ids::HostId;
use harefield::domain::ids::UpstreamId;
use harefield::domain::key::Credential;
use harefield::domain::once::Ledger;
use harefield::domain::outcome::Gap;
use harefield::domain::query::OpaqueQuery;
use harefield::domain::query::Query;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Report;
use harefield::domain::routing::Scheduling;
use harefield::domain::topology::Topology;
use harefield::engine::Confirmed;
use harefield::engine::LookupRequest;
use harefield::engine::Origin;
use harefield::engine::Ports;
use harefield::engine::Shared;
use harefield::engine::ToControl;
use harefield::engine::ToWorker;
use harefield::engine::Worker;
use harefield::engine::WorkerSettings;
use harefield::memory::Memory;
use harefield::memory::Meters;
use harefield::ports::Call;
use harefield::ports::CallOutcome;
use harefield::ports::Clock;
use harefield::ports::Endpoint;
use harefield::ports::Exchange;
use harefield::ports::Forward;
use harefield::ports::ForwardAnswer;
use harefield::ports::Group;
use harefield::ports::GroupReply;
use harefield::ports::PeerError;
use harefield::ports::Peers;
use harefield::ports::PermitReply;
use harefield::ports::PermitRequest;
use harefield::ports::Pull;
use harefield::ports::Upstreams;
use harefield::telemetry::Telemetry;
use harefield::telemetry::ring;

/// Upstreams that never answer, and count what they are sent. When they end, replies are lost.
#[derive(Clone, Debug, Default)]
pub struct SilentUpstreams {
    sent: Rc<Cell<usize>>,
    /// Whether they have ended, and take no connections.
    ended: Rc<Cell<bool>>,
}

impl Upstreams for SilentUpstreams {
    async fn send(&self, _call: Call, permit: impl Fn() -> bool) -> CallOutcome {
        assert!(permit(), "the request may be sent");
        self.sent.set(self.sent.get() + 1);
        while !self.ended.get() {
            Timer::after(Duration::from_millis(1)).await;
        }
        CallOutcome {
            end: AttemptEnd::Lost { why: Gap::ReplyLost },
            outcome: AttemptOutcome::Lost,
            report: Report::default(),
        }
    }

    async fn has_ended(&self, _endpoint: &Endpoint, _connection_limit: u32) -> bool {
        self.ended.get()
    }

    fn is_connected(&self, _upstream: &UpstreamId) -> bool {
        !self.ended.get()
    }

    fn cancel(&self, _upstream: &UpstreamId, _request: &str) {}

    fn preconnect(&self, _endpoint: &Endpoint, _connection_limit: u32, _want: usize) -> bool {
        false
    }

    fn keep_only(&self, _keep: impl Fn(&UpstreamId) -> bool) {}

    fn idle(&self, _upstream: &UpstreamId) -> usize {
        1
    }
}

/// No other daemon answers.
#[derive(Clone, Debug)]
pub struct NoPeers;

impl Peers for NoPeers {
    async fn forward(&self, _: &HostId, _: &Forward, _: Duration) -> Result<ForwardAnswer, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn delegate(&self, _: &HostId, _: &Group, _: Duration) -> Result<GroupReply, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn permits(&self, _: &HostId, _: &PermitRequest, _: Duration) -> Result<PermitReply, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn exchange(&self, _: &HostId, _: &Exchange, _: Duration) -> Result<Exchange, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn pull(&self, _: &HostId, _: Pull, _: Duration) -> Result<News, PeerError> {
        Err(PeerError::Unreachable)
    }
}

pub type TestWorker = Worker<SilentUpstreams, NoPeers, SystemClock>;

pub fn worker(executor: &Rc<LocalExecutor<'static>>, upstreams: SilentUpstreams) -> Rc<TestWorker> {
    worker_with(executor, upstreams, ring().0, async_channel::unbounded().0)
}

fn worker_with(
    executor: &Rc<LocalExecutor<'static>>,
    upstreams: SilentUpstreams,
    telemetry: Telemetry,
    control: Sender<ToControl>,
) -> Rc<TestWorker> {
    let host: HostId = "127.0.0.1:7200".into();
    let regions = (0..3).map(|n| (format!("z{n}").into(), format!("r{n}").into()));
    let settings = WorkerSettings {
        host: Arc::clone(&host),
        zone: "z0".into(),
        capacity: 1000,
        incarnation: 1,
        number: 0,
        workers: 1,
        expects_peers: false,
        gate: GateLimits { running: 100, waiting: 100 },
        policy: Policy::Cost,
        scheduling: Scheduling::new(true, &[]),
        extra: 0.05,
        slack: None,
        caution: Duration::ZERO,
        daemons: 1,
        topology: Topology { zone: "z0".into(), regions: regions.collect() },
        margin: Duration::from_millis(5),
        hedge: None,
        fixed_hedge: None,
        drain: Duration::ZERO,
        detail: 0,
        seed: 7,
        overage: Overage::default(),
        max_proof_age: None,
    };
    let shared = Shared {
        ledger: Arc::new(Mutex::new(Ledger::new(host, 1))),
        grants: Arc::new(Mutex::new(Grants::new(Instant::now()))),
        memory: Memory::new(1 << 20, Duration::from_secs(1), Meters::default()),
    };
    let ports = Ports { upstreams, peers: NoPeers, clock: SystemClock };
    let worker = Worker::new(settings, Rc::clone(executor), ports, shared, control, telemetry);
    worker.apply(ToWorker::View(Arc::new(scheduled_view(3, 1))));
    worker.apply(ToWorker::Confirmed(Confirmed { started: SystemClock.now() }));
    worker
}

fn group() -> Group {
    Group {
        from: "127.0.0.1:7201".into(),
        stamp: Stamp::default(),
        request: "r".to_owned(),
        lookup: "l".to_owned(),
        index: "i".to_owned(),
        shards: vec!["s/000".into()],
        only: vec![(0, vec![replica(0, 0)])],
        query: OpaqueQuery::default(),
        most: 1,
        needed: 1,
        remaining: 2_000_000,
        gather: Some(1_000_000),
        again: false,
        possible: Some(1),
        suspects: Vec::new(),
        regions: Vec::new().into(),
        asker: None,
        rank: None,
    }
}

/// Guards against a slot that stays in use forever: the task of an attempt counts it as ended when
/// it is dropped, but not where it had not run yet.
#[test]
fn dropped_before_it_runs() {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let upstreams = SilentUpstreams::default();
    let worker = worker(&executor, upstreams.clone());
    future::block_on(async {
        let mut first = Box::pin(worker.group(group()));
        assert!(future::poll_once(&mut first).await.is_none());
        drop(first);
        while executor.try_tick() {}
        assert_eq!(upstreams.sent.get(), 0, "the caller left before anything was sent");
        let mut second = Box::pin(worker.group(group()));
        assert!(future::poll_once(&mut second).await.is_none());
        while executor.try_tick() {}
        assert_eq!(upstreams.sent.get(), 1, "the only slot is free again");
    });
}

/// Returns how many ends of upstreams are recorded after a group was dropped and its upstream, which
/// may have begun to leave, ended.
fn ends_after_drop(leaving: bool) -> usize {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let (upstreams, (telemetry, batches)) = (SilentUpstreams::default(), ring());
    let worker = worker_with(&executor, upstreams.clone(), telemetry, async_channel::unbounded().0);
    future::block_on(async {
        let mut dropped = Box::pin(worker.group(group()));
        assert!(future::poll_once(&mut dropped).await.is_none());
        while executor.try_tick() {}
        assert_eq!(upstreams.sent.get(), 1);
        drop(dropped);
        if leaving {
            let stamp = AnnouncementStamp { start: 1, change: 1 };
            let announcement = Announcement { stamp, draining: true, held: None };
            let named = NamedAnnouncement { upstream: replica(0, 0), announcement };
            worker.apply(ToWorker::Announcements(Arc::new([named])));
        }
        upstreams.ended.set(true);
        executor.run(Timer::after(Duration::from_millis(300))).await;
    });
    let events = std::iter::from_fn(|| batches.try_recv().ok()).flat_map(|batch| batch.events);
    events.filter(|(_, event)| matches!(event, Event::UpstreamEnded { .. })).count()
}

#[test]
fn ended_after_drop() {
    assert_eq!(ends_after_drop(false), 1, "the upstream may have ended by what was given up");
    assert_eq!(ends_after_drop(true), 0, "an upstream that leaves ends as well");
}

/// Guards against evidence that no other daemon ever hears of, since the control duty could not take
/// it at that moment.
#[test]
fn full_channel_delays_evidence() {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let (control, messages) = async_channel::bounded(1);
    let upstreams = SilentUpstreams::default();
    upstreams.ended.set(true);
    let worker = worker_with(&executor, upstreams, ring().0, control.clone());
    assert!(control.try_send(ToControl::Unconfirmed).is_ok(), "the channel is full");
    let request = LookupRequest {
        request: None,
        lookup: "l".to_owned(),
        query: Query::Json(b"1".as_slice().into()),
        ticket: None,
        limit: None,
        origin: Origin::Caller,
        credential: Credential::default(),
        requester: Requester::default(),
    };
    future::block_on(executor.run(worker.lookup(request)));
    assert!(matches!(messages.try_recv(), Ok(ToControl::Unconfirmed)));
    assert!(messages.try_recv().is_err(), "nothing else had room");
    worker.resend_evidence();
    let Ok(ToControl::Suspect(suspect)) = messages.try_recv() else { panic!("the evidence is sent") };
    assert!(suspect.evidence.ends().len() >= 3, "all that is known by then");
    worker.resend_evidence();
    assert!(messages.try_recv().is_err(), "it is sent once");
}
