//! Connections that stop responding permanently, while new ones work.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;

use harefield::adapters::http::Traffic;
use harefield::adapters::peers::HttpPeers;
use harefield::adapters::upstreams::HttpUpstreams;
use harefield::adapters::upstreams::JsonProtocol;
use harefield::domain::accounts::Requester;
use harefield::domain::fanout::ReplyIdentity;
use harefield::domain::hlc::Stamp;
use harefield::domain::query::OpaqueQuery;
use harefield::domain::query::Query;
use harefield::domain::residency::Regions;
use harefield::memory::Memory;
use harefield::ports::Call;
use harefield::ports::Endpoint;
use harefield::ports::Group;
use harefield::ports::GroupReply;
use harefield::ports::PeerError;
use harefield::ports::Peers;
use harefield::ports::Upstreams;

/// A server that answers every request as a daemon answers a group, until its connections are
/// silenced.
struct Listener {
    address: String,
    /// The number of connections accepted so far.
    accepted: Arc<AtomicUsize>,
    /// Connections with numbers below this one no longer answer.
    silent: Arc<AtomicUsize>,
}

impl Listener {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound").to_string();
        let (accepted, silent) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let counts = (Arc::clone(&accepted), Arc::clone(&silent));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let number = counts.0.fetch_add(1, Ordering::SeqCst);
                let silent = Arc::clone(&counts.1);
                std::thread::spawn(move || answer(stream, number, &silent));
            }
        });
        Self { address, accepted, silent }
    }

    fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Silences all connections accepted so far.
    fn silence(&self) {
        self.silent.store(self.accepted(), Ordering::SeqCst);
    }
}

/// Answers each read of a connection, which is one request, unless the connection is silenced.
fn answer(mut stream: TcpStream, number: usize, silent: &AtomicUsize) {
    let reply = rmp_serde::to_vec(&GroupReply::default()).expect("the reply can be encoded");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", reply.len());
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).is_ok_and(|count| count > 0) {
        // Longer than connecting takes, so that a second connection is opened meanwhile.
        std::thread::sleep(Duration::from_millis(100));
        if number >= silent.load(Ordering::SeqCst) {
            let whole = [head.as_bytes(), &reply].concat();
            if stream.write_all(&whole).is_err() {
                return;
            }
        }
    }
}

fn group() -> Group {
    Group {
        from: "127.0.0.1:1".into(),
        stamp: Stamp { micros: 0, count: 0 },
        request: "r".to_owned(),
        lookup: "l".to_owned(),
        index: "i".to_owned(),
        shards: Vec::new(),
        only: Vec::new(),
        query: OpaqueQuery::default(),
        most: 1,
        needed: 0,
        remaining: 0,
        gather: None,
        again: false,
        possible: None,
        suspects: Vec::new(),
        regions: Regions::default(),
        asker: None,
        rank: None,
    }
}

/// Delegates a group to a daemon, then lets background tasks run for 100 ms.
async fn delegate(peers: &HttpPeers, daemon: &Listener) -> Result<GroupReply, PeerError> {
    let host = daemon.address.as_str().into();
    let reply = peers.delegate(&host, &group(), Duration::from_millis(400)).await;
    Timer::after(Duration::from_millis(100)).await;
    reply
}

fn with_peers<F: Future<Output = ()>>(test: impl FnOnce(HttpPeers) -> F) {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let peers = HttpPeers::new(Rc::clone(&executor), None, Traffic::default(), Memory::default());
    async_io::block_on(executor.run(test(peers)));
}

#[test]
fn spare_connection_to_daemon() {
    // A second group concurrent with the first finds an open connection, as opening one takes a
    // whole round trip.
    let daemon = Listener::start();
    with_peers(async |peers| {
        delegate(&peers, &daemon).await.expect("the daemon answers");
        assert_eq!(daemon.accepted(), 2, "one connection for the group and a spare one");
        delegate(&peers, &daemon).await.expect("the daemon answers");
        assert_eq!(daemon.accepted(), 2, "both connections are idle and reused");
    });
}

#[test]
fn silent_daemon_reconnected() {
    let daemon = Listener::start();
    with_peers(async |peers| {
        delegate(&peers, &daemon).await.expect("the daemon answers");
        daemon.silence();
        assert_eq!(delegate(&peers, &daemon).await.err(), Some(PeerError::Silent));
        delegate(&peers, &daemon).await.expect("a new connection is used instead of the other idle one");
    });
}

/// Returns a call to an upstream that allows four connections.
fn call(upstream: &Listener) -> Call {
    let address = upstream.address.parse().expect("the address is valid");
    Call {
        endpoint: Endpoint { upstream: "u".into(), address },
        connection_limit: 4,
        echo: ReplyIdentity { request: "r".to_owned(), shard: "s/0".to_owned(), version: 1 },
        remaining: Duration::from_secs(4),
        drain: Duration::ZERO,
        once: false,
        query: Query::Json(b"{}".to_vec().into()),
        requester: Requester::default(),
    }
}

#[test]
fn silent_upstream_reconnected() {
    let upstream = Listener::start();
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let upstreams = HttpUpstreams::new(JsonProtocol, Rc::clone(&executor), Memory::default());
    let test = async {
        let call = call(&upstream);
        for _ in 0..2 {
            assert!(
                upstreams.preconnect(&call.endpoint, call.connection_limit, 2),
                "the connection limit is not reached"
            );
            Timer::after(Duration::from_millis(100)).await;
        }
        upstream.silence();
        let first = executor.spawn({
            let (upstreams, call) = (upstreams.clone(), call.clone());
            async move { upstreams.send(call, || true).await }
        });
        Timer::after(Duration::from_millis(1500)).await;
        assert_eq!(upstreams.idle(&call.endpoint.upstream), 0, "the other idle connection is closed too");
        let second = executor.spawn({
            let (upstreams, call) = (upstreams.clone(), call.clone());
            async move { upstreams.send(call, || true).await }
        });
        Timer::after(Duration::from_millis(500)).await;
        assert_eq!(upstream.accepted(), 3, "a new connection is opened");
        drop((first, second));
    };
    async_io::block_on(executor.run(test));
}
