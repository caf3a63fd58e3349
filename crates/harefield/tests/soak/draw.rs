//! Draws the faults of a run from its seed.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::seq::index::sample;
use standin::ReplyMode as Conduct;

use crate::proxy::LinkMode;

/// The reply modes that an upstream may be switched to for a while.
const CONDUCTS: [Conduct; 5] =
    [Conduct::Shed, Conduct::Fail, Conduct::Crossed, Conduct::Unsigned, Conduct::Good];

/// A fault to inject.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// A daemon is killed and restarted.
    Kill(usize),
    /// A daemon is paused with SIGSTOP and resumed.
    Pause(usize),
    /// A daemon is shut down gracefully and restarted.
    Stop(usize),
    /// A daemon reloads its settings on SIGHUP.
    Reload(usize),
    /// The connections of one daemon to the store are disturbed.
    StoreLink(usize, LinkFault),
    /// The store answers 503.
    StoreDown,
    /// The store accepts calls without answering; calls that it accepted then stay
    /// unanswered after it recovers.
    StoreSilent,
    /// The store drops its history, so that watches that are behind have to start over.
    StoreCompacts,
    /// The connections of the other daemons to a daemon are disturbed.
    PeerLink(usize, LinkFault),
    /// The connections to an upstream are disturbed.
    UpstreamLink(String, LinkFault),
    /// An upstream replies in another mode, with an added delay.
    Conduct(String, Conduct, Duration),
    /// An upstream announces that it is leaving, and another one replaces it.
    Drain(String),
    /// An upstream disappears without an announcement, and another one replaces it.
    Remove(String),
    /// A new version of the configuration is published.
    Publish,
    /// A new version of the configuration is published, with a new set of this many shards.
    Reshard(usize),
}

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkFault {
    /// The proxy runs in this mode for a while.
    Mode(LinkMode),
    /// All connections through the proxy are closed.
    Reset,
}

/// One event of a storm: after a pause, a fault that lasts for a time.
#[derive(Clone, Debug)]
pub(crate) struct StormEvent {
    pub pause: Duration,
    pub fault: Fault,
    pub time: Duration,
}

/// Draws a storm: a series of configuration changes, a silence of the store unless
/// `skip_silence` is set, and the kill and restart of none, some or all of the daemons at
/// the same moment. A silence may be longer than the 4 s that a watch waits, and changes may
/// follow it.
pub(crate) fn draw_storm(random: &mut StdRng, nodes: usize, skip_silence: bool) -> Vec<StormEvent> {
    let mut span = |min: u64, max: u64| Duration::from_millis(random.random_range(min..max));
    let silence = StormEvent { pause: span(0, 500), fault: Fault::StoreSilent, time: span(500, 6000) };
    let (pause, time) = (span(0, 1500), span(200, 1000));
    let mut events = if skip_silence { Vec::new() } else { vec![silence] };
    let killed = random.random_range(0..=nodes);
    let kill = |node| StormEvent { pause, fault: Fault::Kill(node), time };
    events.extend(sample(random, nodes, killed).into_iter().map(kill));
    for _ in 0..random.random_range(4..12) {
        let pause = Duration::from_millis(random.random_range(0..8000));
        events.push(StormEvent { pause, fault: Fault::Publish, time: Duration::ZERO });
    }
    events
}

/// Draws the next fault, at one of `nodes` daemons or one of the upstreams `present`. With
/// `skip_store` the store and the connections to it stay available: properties that must
/// hold within seconds of a write to the store can then be checked at all times.
pub(crate) fn draw(random: &mut StdRng, nodes: usize, present: &[String], skip_store: bool) -> Fault {
    loop {
        let fault = draw_any(random, nodes, present);
        if !(skip_store && matches!(fault, Fault::StoreLink(..) | Fault::StoreDown)) {
            return fault;
        }
    }
}

fn draw_any(random: &mut StdRng, nodes: usize, present: &[String]) -> Fault {
    let node = random.random_range(0..nodes);
    let upstream = present.choose(random).cloned().unwrap_or_default();
    match random.random_range(0..24) {
        0 => Fault::Kill(node),
        1 | 2 => Fault::Pause(node),
        3 | 4 => Fault::Stop(node),
        5 => Fault::Reload(node),
        6 | 7 => Fault::StoreLink(node, draw_link(random)),
        8 => Fault::StoreDown,
        9 => Fault::StoreCompacts,
        10 | 11 => Fault::PeerLink(node, draw_link(random)),
        12..15 => Fault::UpstreamLink(upstream, draw_link(random)),
        15..18 => draw_conduct(random, upstream),
        18 | 19 => Fault::Drain(upstream),
        20 => Fault::Remove(upstream),
        21 | 22 => Fault::Publish,
        _ => Fault::Reshard(random.random_range(4..9)),
    }
}

fn draw_conduct(random: &mut StdRng, upstream: String) -> Fault {
    let delay = Duration::from_millis(random.random_range(0..500));
    Fault::Conduct(upstream, *CONDUCTS.choose(random).unwrap_or(&Conduct::Good), delay)
}

fn draw_link(random: &mut StdRng) -> LinkFault {
    match random.random_range(0..6) {
        0 => LinkFault::Reset,
        1 => LinkFault::Mode(LinkMode::Refuse),
        2 => LinkFault::Mode(LinkMode::Delay(Duration::from_millis(random.random_range(5..150)))),
        3 => LinkFault::Mode(LinkMode::Silent { requests: true, responses: false }),
        4 => LinkFault::Mode(LinkMode::Silent { requests: false, responses: true }),
        _ => LinkFault::Mode(LinkMode::Silent { requests: true, responses: true }),
    }
}
