//! Opening connections ahead of need to an upstream that is not running.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Timer;

use harefield::adapters::upstreams::HttpUpstreams;
use harefield::adapters::upstreams::JsonProtocol;
use harefield::adapters::upstreams::unsent;
use harefield::domain::outcome::Gap;
use harefield::domain::routing::AttemptOutcome;
use harefield::memory::Memory;
use harefield::ports::Endpoint;
use harefield::ports::Upstreams;

#[test]
fn unreachable_backoff() {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let upstreams = HttpUpstreams::new(JsonProtocol, Rc::clone(&executor), Memory::default());
    // A port that was free a moment ago refuses connections.
    let listener = std::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("it has an address");
    drop(listener);
    let endpoint = Endpoint { upstream: "gone".into(), address };
    let started = Instant::now();
    let mut attempts = 0;
    while started.elapsed() < Duration::from_millis(900) {
        attempts += u32::from(upstreams.preconnect(&endpoint, 3, 2));
        async_io::block_on(executor.run(Timer::after(Duration::from_millis(5))));
    }
    assert!((1..=6).contains(&attempts), "{attempts} attempts in 0.9 s");
}

#[test]
fn local_limit_neutral() {
    // That no local connection was free says nothing about the upstream.
    assert_eq!(unsent(Gap::Overloaded).outcome, AttemptOutcome::Declined);
    assert_eq!(unsent(Gap::Unreachable).outcome, AttemptOutcome::Failed);
}
