//! The daemons that groups of shards can be delegated to ("relays"): which of them are available,
//! and which are backed off.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::carrier_backoff::CarrierBackoff;
use super::latency::LatencyStats;
use crate::domain::backoff::backoff;
use crate::domain::ids::HostId;

/// The first backoff after a daemon did not answer or declined; it doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(500);

/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// A daemon counts as silent when a group takes more than this many times the usual time.
const SILENT_FACTOR: f64 = 2.5;

/// The minimum time after which a daemon counts as silent. A daemon waits for its replicas up to
/// the time that it was given, and a pause of a replica isn't a pause of the daemon.
const SILENT_MIN: Duration = Duration::from_millis(150);

/// The assumed round-trip time to an availability zone of another region before it was measured;
/// the users' regions are 8 and 12 ms apart.
const INITIAL_FAR_RTT: Duration = Duration::from_millis(24);

/// The assumed round-trip time to another availability zone of the same region: up to 0.9 ms in
/// each direction, plus processing the messages.
const INITIAL_RTT: Duration = Duration::from_millis(4);

/// The weight of a sample in the moving average of the round-trip time.
const GAIN: f64 = 0.2;

/// The state of another daemon, from the membership.
#[derive(Clone, Debug)]
pub struct RelayStatus {
    /// The name of the daemon.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether the zone is in another region than this daemon.
    pub other_region: bool,
    /// Whether the daemon answers gossip.
    pub live: bool,
    /// Its CPU capacity, in thousandths of a core.
    pub capacity: u32,
}

/// One daemon that groups can be delegated to.
#[derive(Clone, Debug)]
struct Relay {
    zone: Arc<str>,
    live: bool,
    capacity: u32,
    starts: Vec<Instant>,
    failures: u32,
    retry_at: Option<Instant>,
    carrying: CarrierBackoff,
}

/// How a group that was delegated to a daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The daemon answered; holds the round-trip time of the messages.
    Answered(Duration),
    /// The daemon answered that it doesn't take the group.
    Declined,
    /// The daemon didn't answer.
    Silent,
    /// The answer isn't awaited any more.
    Abandoned,
}

/// The daemons that groups of shards can be delegated to, with the latency of groups by kind of
/// request and the round-trip times by availability zone.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    hosts: BTreeMap<HostId, Relay>,
    latencies: HashMap<Arc<str>, LatencyStats>,
    rtts: HashMap<Arc<str>, Duration>,
}

impl Relays {
    /// Replaces the set of known daemons; those that stay keep their groups in flight and backoff.
    pub fn update(&mut self, daemons: impl IntoIterator<Item = RelayStatus>) {
        let mut hosts = BTreeMap::new();
        for RelayStatus { host, zone, other_region, live, capacity } in daemons {
            self.rtts.entry(Arc::clone(&zone)).or_insert(if other_region {
                INITIAL_FAR_RTT
            } else {
                INITIAL_RTT
            });
            let relay = match self.hosts.remove(&host) {
                Some(known) => Relay { zone, live, capacity, ..known },
                None => Relay {
                    zone,
                    live,
                    capacity,
                    starts: Vec::new(),
                    failures: 0,
                    retry_at: None,
                    carrying: CarrierBackoff::default(),
                },
            };
            hosts.insert(host, relay);
        }
        self.hosts = hosts;
    }

    /// Returns the availability zones in which a daemon is available, of those for which `may`
    /// holds.
    #[must_use]
    pub fn zones(&self, kind: &Arc<str>, now: Instant, may: impl Fn(&HostId) -> bool) -> Vec<Arc<str>> {
        let usable = self.usable(kind, now).filter(|(host, _)| may(host));
        let mut zones: Vec<Arc<str>> = usable.map(|(_, relay)| Arc::clone(&relay.zone)).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the available daemons of an availability zone with the fewest groups in flight, of
    /// those for which `may` holds.
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

    /// Returns the available daemons with their availability zones and CPU capacities, in
    /// thousandths of a core.
    pub fn capacities(
        &self,
        kind: &Arc<str>,
        now: Instant,
    ) -> impl Iterator<Item = (&HostId, &Arc<str>, u32)> {
        self.usable(kind, now).map(|(host, relay)| (host, &relay.zone, relay.capacity))
    }

    /// Returns the daemons that answer gossip with their availability zones and CPU capacities,
    /// including those that are backed off.
    pub(super) fn live(&self) -> impl Iterator<Item = (&HostId, &Arc<str>, u32)> {
        let live = self.hosts.iter().filter(|(_, relay)| relay.live);
        live.map(|(host, relay)| (host, &relay.zone, relay.capacity))
    }

    /// Returns whether a daemon can be sent the shards that it carries.
    pub(super) fn may_carry(&self, host: &HostId, now: Instant) -> bool {
        let may = |relay: &Relay| relay.live && relay.carrying.allows(relay.starts.len(), now);
        self.hosts.get(host).is_some_and(may)
    }

    /// Returns whether a daemon has answered a group since `since`.
    #[must_use]
    pub fn has_answered_since(&self, host: &HostId, since: Instant) -> bool {
        self.hosts.get(host).is_some_and(|relay| relay.carrying.has_answered_since(since))
    }

    /// Returns the round-trip time to a daemon.
    #[must_use]
    pub fn rtt_of(&self, host: &HostId) -> Duration {
        self.hosts.get(host).map_or(INITIAL_FAR_RTT, |relay| self.rtt_to(&relay.zone))
    }

    fn usable(&self, kind: &Arc<str>, now: Instant) -> impl Iterator<Item = (&HostId, &Relay)> {
        let usual = self.latency(kind).mean();
        let silent_after = usual.mul_f64(SILENT_FACTOR).max(SILENT_MIN);
        self.hosts.iter().filter(move |(_, relay)| {
            let oldest = relay.starts.iter().min();
            let silent = oldest.is_some_and(|start| now.saturating_duration_since(*start) > silent_after);
            relay.live && !silent && relay.retry_at.is_none_or(|at| now >= at)
        })
    }

    /// Returns the round-trip time to an availability zone.
    #[must_use]
    pub fn rtt_to(&self, zone: &str) -> Duration {
        self.rtts.get(zone).copied().unwrap_or(INITIAL_FAR_RTT)
    }

    /// Returns the latency of groups of a kind of request.
    #[must_use]
    pub fn latency(&self, kind: &Arc<str>) -> LatencyStats {
        self.latencies.get(kind).cloned().unwrap_or_default()
    }

    /// Records that a group is sent to a daemon.
    pub fn begin(&mut self, host: &HostId, now: Instant) {
        if let Some(relay) = self.hosts.get_mut(host) {
            relay.starts.push(now);
        }
    }

    /// Records how the group that was sent at `start` ended.
    pub fn end(
        &mut self,
        host: &HostId,
        kind: &Arc<str>,
        start: Instant,
        outcome: RelayOutcome,
        now: Instant,
    ) {
        let took = now.saturating_duration_since(start);
        // A group without an answer would have taken longer still. Without it only quick groups
        // would be counted.
        if let RelayOutcome::Answered(_) | RelayOutcome::Silent = outcome {
            self.latencies.entry(Arc::clone(kind)).or_default().record(took);
        }
        let Some(relay) = self.hosts.get_mut(host) else { return };
        if let Some(at) = relay.starts.iter().position(|sent| *sent == start) {
            relay.starts.swap_remove(at);
        }
        match outcome {
            RelayOutcome::Silent => relay.carrying.record_silence(start, now),
            RelayOutcome::Declined => relay.carrying.record_decline(now),
            RelayOutcome::Answered(_) | RelayOutcome::Abandoned => {}
        }
        match outcome {
            RelayOutcome::Answered(rtt) => {
                relay.carrying.record_answer(now);
                relay.failures = 0;
                relay.retry_at = None;
                let average = self.rtts.entry(Arc::clone(&relay.zone)).or_insert(rtt);
                *average = average.mul_f64(1.0 - GAIN) + rtt.mul_f64(GAIN);
            }
            RelayOutcome::Silent | RelayOutcome::Declined => {
                relay.retry_at = Some(now + backoff(BACKOFF, relay.failures, MAX_BACKOFF));
                relay.failures = relay.failures.saturating_add(1);
            }
            RelayOutcome::Abandoned => {}
        }
    }
}
