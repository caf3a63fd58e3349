//! What goes wrong, as it is drawn from the seed.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::seq::index::sample;
use standin::Manner as Conduct;

use crate::proxy::LinkMode;

/// How an upstream may behave for a while.
const CONDUCTS: [Conduct; 5] =
    [Conduct::Shed, Conduct::Fail, Conduct::Crossed, Conduct::Unsigned, Conduct::Good];

/// One thing that goes wrong.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// A daemon is killed, and starts again.
    Kill(usize),
    /// A daemon is paused.
    Pause(usize),
    /// A daemon is stopped as planned, and starts again.
    Stop(usize),
    /// A daemon is told to reload.
    Reload(usize),
    /// A daemon's way to the store is disturbed.
    StoreLink(usize, LinkFault),
    /// The store is away.
    StoreDown,
    /// The store takes what comes and never answers it, also when it speaks again.
    StoreSilent,
    /// The store forgets its past.
    StoreCompacts,
    /// The way to a daemon is disturbed for the others.
    PeerLink(usize, LinkFault),
    /// The way to an upstream is disturbed.
    UpstreamLink(String, LinkFault),
    /// An upstream behaves in another way, and is slow by some time.
    Conduct(String, Conduct, Duration),
    /// An upstream says that it leaves, and another one takes its place.
    Drain(String),
    /// An upstream is gone at once, and another one takes its place.
    Remove(String),
    /// A new version of the configuration is published.
    Publish,
    /// The same, with a new set of as many shards.
    Reshard(usize),
}

/// What is done to a way.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkFault {
    /// Its proxy does this for a while.
    Mode(LinkMode),
    /// All its connections end.
    Reset,
}

/// One thing of a storm: after a pause, a fault for a time.
#[derive(Clone, Debug)]
pub(crate) struct StormEvent {
    pub pause: Duration,
    pub fault: Fault,
    pub time: Duration,
}

/// Draws changes in series beside a store that goes silent, unless it is `spared`, and
/// none, some or all of the daemons killed at one moment and started again. A silence may
/// be longer than the 4 s that a watch waits, and changes go on after it.
pub(crate) fn draw_storm(random: &mut StdRng, nodes: usize, spared: bool) -> Vec<StormEvent> {
    let mut span = |min: u64, max: u64| Duration::from_millis(random.random_range(min..max));
    let silence = StormEvent { pause: span(0, 500), fault: Fault::StoreSilent, time: span(500, 6000) };
    let (pause, time) = (span(0, 1500), span(200, 1000));
    let mut events = if spared { Vec::new() } else { vec![silence] };
    let killed = random.random_range(0..=nodes);
    let kill = |node| StormEvent { pause, fault: Fault::Kill(node), time };
    events.extend(sample(random, nodes, killed).into_iter().map(kill));
    for _ in 0..random.random_range(4..12) {
        let pause = Duration::from_millis(random.random_range(0..8000));
        events.push(StormEvent { pause, fault: Fault::Publish, time: Duration::ZERO });
    }
    events
}

/// Draws what goes wrong next, at one of so many daemons or one of the upstreams
/// present. Where the store is `spared`, it stays well, as does the way to it: what
/// must hold within seconds of its word can be checked at all times then.
pub(crate) fn draw(random: &mut StdRng, nodes: usize, present: &[String], spared: bool) -> Fault {
    loop {
        let fault = draw_any(random, nodes, present);
        if !(spared && matches!(fault, Fault::StoreLink(..) | Fault::StoreDown)) {
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
