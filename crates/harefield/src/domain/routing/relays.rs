//! Daemons that groups of shards may be handed to: which one is handed one, and which
//! are left alone for a while.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::pace::LatencyStats;
use crate::domain::backoff::backoff;
use crate::domain::ids::HostId;

/// The first pause after a daemon did not answer; it doubles with each further
/// one.
const BACKOFF: Duration = Duration::from_millis(500);

/// The longest such pause.
const LONGEST_BACKOFF: Duration = Duration::from_secs(8);

/// A daemon is silent once a group is out for this many times the usual time.
const SILENT_FACTOR: f64 = 2.5;

/// The least time that shows that a daemon is silent: a pause of its replicas is
/// not its own, and it waits for them up to the time that it was given.
const SILENT_LEAST: Duration = Duration::from_millis(150);

/// The way to an availability zone of another region before it was measured, there
/// and back: the users' regions lie 8 and 12 ms apart.
const FIRST_FAR_WAY: Duration = Duration::from_millis(24);

/// The same for one of the own region: up to 0.9 ms each way, and the messages.
const FIRST_WAY: Duration = Duration::from_millis(4);

/// How fast what was learnt follows what is seen.
const GAIN: f64 = 0.2;

/// Another daemon as it is seen.
#[derive(Clone, Debug)]
pub struct RelayStatus {
    /// The daemon.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether that is in another region.
    pub other_region: bool,
    /// Whether it is seen to answer.
    pub live: bool,
    /// What it can carry, in thousandths of a core.
    pub capacity: u32,
}

/// One daemon that groups may be handed to.
#[derive(Clone, Debug)]
struct Relay {
    zone: Arc<str>,
    live: bool,
    capacity: u32,
    starts: Vec<Instant>,
    failures: u32,
    retry_at: Option<Instant>,
}

/// How a group that was handed to a daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// It answered; the time that the message and the answer travelled.
    Answered(Duration),
    /// It answered that it does not take the group.
    Declined,
    /// It did not answer.
    Silent,
    /// Nobody waits for it any more.
    Abandoned,
}

/// The daemons that groups of shards may be handed to.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    hosts: BTreeMap<HostId, Relay>,
    latencies: HashMap<Arc<str>, LatencyStats>,
    rtts: HashMap<Arc<str>, Duration>,
}

impl Relays {
    /// Takes the other daemons as they are seen now.
    pub fn update(&mut self, seen: impl IntoIterator<Item = RelayStatus>) {
        let mut hosts = BTreeMap::new();
        for RelayStatus { host, zone, other_region: far, live, capacity } in seen {
            self.rtts.entry(Arc::clone(&zone)).or_insert(if far { FIRST_FAR_WAY } else { FIRST_WAY });
            let relay = match self.hosts.remove(&host) {
                Some(known) => Relay { zone, live, capacity, ..known },
                None => Relay { zone, live, capacity, starts: Vec::new(), failures: 0, retry_at: None },
            };
            hosts.insert(host, relay);
        }
        self.hosts = hosts;
    }

    /// Returns the availability zones that have a daemon to hand groups to, of those
    /// that may be handed one.
    #[must_use]
    pub fn zones(&self, kind: &Arc<str>, now: Instant, may: impl Fn(&HostId) -> bool) -> Vec<Arc<str>> {
        let usable = self.usable(kind, now).filter(|(host, _)| may(host));
        let mut zones: Vec<Arc<str>> = usable.map(|(_, relay)| Arc::clone(&relay.zone)).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the daemons of an availability zone with the fewest groups under way,
    /// of those that may be handed one.
    #[must_use]
    pub fn least_busy(
        &self,
        zone: &str,
        kind: &Arc<str>,
        now: Instant,
        may: impl Fn(&HostId) -> bool,
    ) -> Vec<HostId> {
        let there = |host: &HostId, relay: &Relay| *relay.zone == *zone && may(host);
        let found: Vec<_> = self.usable(kind, now).filter(|(host, relay)| there(host, relay)).collect();
        let least = found.iter().map(|(_, relay)| relay.starts.len()).min();
        let equal = found.into_iter().filter(|(_, relay)| Some(relay.starts.len()) == least);
        equal.map(|(host, _)| Arc::clone(host)).collect()
    }

    /// Returns the daemons that may be handed groups, with their availability zones and
    /// what they can carry.
    pub fn capacities(
        &self,
        kind: &Arc<str>,
        now: Instant,
    ) -> impl Iterator<Item = (&HostId, &Arc<str>, u32)> {
        self.usable(kind, now).map(|(host, relay)| (host, &relay.zone, relay.capacity))
    }

    /// Returns how long a message and its answer travel to a daemon and back.
    #[must_use]
    pub fn rtt_of(&self, host: &HostId) -> Duration {
        self.hosts.get(host).map_or(FIRST_FAR_WAY, |relay| self.rtt_to(&relay.zone))
    }

    fn usable(&self, kind: &Arc<str>, now: Instant) -> impl Iterator<Item = (&HostId, &Relay)> {
        let usual = self.latency(kind).mean();
        let silent_after = usual.mul_f64(SILENT_FACTOR).max(SILENT_LEAST);
        self.hosts.iter().filter(move |(_, relay)| {
            let oldest = relay.starts.iter().min();
            let silent = oldest.is_some_and(|start| now.saturating_duration_since(*start) > silent_after);
            relay.live && !silent && relay.retry_at.is_none_or(|at| now >= at)
        })
    }

    /// Returns how long a message and its answer travel to an availability zone and
    /// back.
    #[must_use]
    pub fn rtt_to(&self, zone: &str) -> Duration {
        self.rtts.get(zone).copied().unwrap_or(FIRST_FAR_WAY)
    }

    /// Returns the pace of groups of a kind of request.
    #[must_use]
    pub fn latency(&self, kind: &Arc<str>) -> LatencyStats {
        self.latencies.get(kind).cloned().unwrap_or_default()
    }

    /// Notes a group that leaves for a daemon.
    pub fn begin(&mut self, host: &HostId, now: Instant) {
        if let Some(relay) = self.hosts.get_mut(host) {
            relay.starts.push(now);
        }
    }

    /// Notes how the group that left at `start` ended.
    pub fn end(
        &mut self,
        host: &HostId,
        kind: &Arc<str>,
        start: Instant,
        verdict: RelayOutcome,
        now: Instant,
    ) {
        let took = now.saturating_duration_since(start);
        // One that was given up would have taken longer still: else only the
        // quick ones would ever count.
        if let RelayOutcome::Answered(_) | RelayOutcome::Silent = verdict {
            self.latencies.entry(Arc::clone(kind)).or_default().record(took);
        }
        let Some(relay) = self.hosts.get_mut(host) else { return };
        if let Some(at) = relay.starts.iter().position(|held| *held == start) {
            relay.starts.swap_remove(at);
        }
        match verdict {
            RelayOutcome::Answered(way) => {
                relay.failures = 0;
                relay.retry_at = None;
                let held = self.rtts.entry(Arc::clone(&relay.zone)).or_insert(way);
                *held = held.mul_f64(1.0 - GAIN) + way.mul_f64(GAIN);
            }
            RelayOutcome::Silent | RelayOutcome::Declined => {
                relay.retry_at = Some(now + backoff(BACKOFF, relay.failures, LONGEST_BACKOFF));
                relay.failures = relay.failures.saturating_add(1);
            }
            RelayOutcome::Abandoned => {}
        }
    }
}
