//! The router of one worker: the state of every upstream, updated from views and attempts.
//!
//! Replica selection is in `choice`, everything about other availability zones in `zones`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::budget::Budget;
use super::budgets::Budgets;
use super::budgets::service_of;
use super::carrier_cache::CarrierCache;
use super::latency::LatencyStats;
use super::placement::Placement;
use super::policy::Policy;
use super::relays::Relays;
use super::report::AttemptOutcome;
use super::report::Report;
use super::scheduling::Scheduling;
use super::shard_time::ShardTime;
use super::startup_delay::StartupDelay;
use super::upstream_state::UpstreamState;
use crate::domain::announcement::Announcement;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::cell::Cells;
use crate::domain::cell::connection_share;
use crate::domain::cold::Allowance;
use crate::domain::dispatch::Dispatch;
use crate::domain::ids::HostId;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::Version;
use crate::domain::lease::Lease;
use crate::domain::resources::Upstream;
use crate::domain::topology::Distance;
use crate::domain::topology::Topology;
use crate::domain::view::UpstreamShare;
use crate::domain::view::View;

/// Routes the requests of one worker: selects replicas and limits the load on upstreams.
#[derive(Debug)]
pub struct Router {
    pub(super) upstreams: HashMap<UpstreamId, UpstreamState>,
    pub(super) latencies: HashMap<Arc<str>, LatencyStats>,
    pub(super) policy: Policy,
    budgets: Budgets,
    pub(super) topology: Topology,
    pub(super) relays: Relays,
    /// The minimum number of daemons that are assumed to share an upstream's connections.
    min_sharers: u32,
    cells: Cells,
    pub(super) local: LocalDaemon,
    /// The measured time that one shard takes this daemon.
    shard_time: ShardTime,
    pub(super) lease: Lease,
    /// Whether this daemon knows the others well enough to send to cold upstreams.
    pub(super) startup: StartupDelay,
    pub(super) scheduling: Scheduling,
    pub(super) carriers: CarrierCache,
    pub(super) placement: Placement,
    /// The requests that wait for shards of scheduled indexes.
    pub(super) dispatch: Dispatch,
    seed: u64,
}

/// This daemon and the worker that a router belongs to.
#[derive(Clone, Debug)]
pub struct LocalDaemon {
    /// The name of the daemon.
    pub host: HostId,
    /// The daemon's CPU capacity, in thousandths of a core.
    pub capacity: u32,
    /// How many workers the daemon has, each with a router.
    pub workers: u32,
    /// The index of this worker among them.
    pub worker: u32,
    /// Whether other daemons are expected, by the settings.
    pub expects_peers: bool,
}

impl Default for LocalDaemon {
    fn default() -> Self {
        Self { host: HostId::default(), capacity: 1000, workers: 1, worker: 0, expects_peers: false }
    }
}

impl LocalDaemon {
    /// Returns this worker's quota of what its daemon may send to a cold upstream.
    fn cold_quota(&self, allowance: Allowance) -> Allowance {
        let workers = self.workers.max(1);
        let quota = allowance.quota / workers + u32::from(self.worker < allowance.quota % workers);
        Allowance { quota, ..allowance }
    }
}

impl Router {
    /// Creates a router without upstreams.
    #[must_use]
    pub fn new(policy: Policy, budgets: Budgets, seed: u64, now: Instant) -> Self {
        Self {
            upstreams: HashMap::new(),
            latencies: HashMap::new(),
            policy,
            budgets,
            topology: Topology::default(),
            relays: Relays::default(),
            min_sharers: 1,
            cells: Cells::default(),
            local: LocalDaemon::default(),
            shard_time: ShardTime::default(),
            lease: Lease::new(now),
            startup: StartupDelay::new(now),
            scheduling: Scheduling::default(),
            carriers: CarrierCache::default(),
            placement: Placement::default(),
            dispatch: Dispatch::new(Scheduling::default().shares()),
            seed,
        }
    }

    /// Sets the availability zone of this daemon and the regions of all zones.
    #[must_use]
    pub fn with_topology(mut self, topology: Topology) -> Self {
        self.topology = topology;
        self
    }

    /// Sets which daemon and worker this router belongs to.
    #[must_use]
    pub fn with_local(mut self, local: LocalDaemon) -> Self {
        self.local = local;
        self
    }

    /// Sets how requests that compete for the upstreams of an index are scheduled.
    #[must_use]
    pub fn with_scheduling(mut self, scheduling: Scheduling) -> Self {
        self.dispatch = Dispatch::new(scheduling.shares());
        self.scheduling = scheduling;
        self
    }

    fn apply_scheduling(&mut self, view: &View, now: Instant) {
        self.scheduling.apply(view, &self.topology);
        self.carriers.retain(|index| self.scheduling.covers(index));
        self.carriers.invalidate();
        let is_far =
            |name: &UpstreamId| self.upstreams.get(name).is_some_and(|s| s.distance == Distance::Far);
        self.placement = Placement::new(view, &self.scheduling, |name| !is_far(name));
        self.notify_all(now);
        self.apply_slots(view);
    }

    /// Returns whether the shards of an index are scheduled.
    #[must_use]
    pub fn schedules(&self, index: &str) -> bool {
        self.scheduling.covers(index)
    }

    /// Returns the time that one shard of a fan-out takes on a whole core.
    #[must_use]
    pub fn shard_time(&self) -> Duration {
        self.shard_time.whole_core()
    }

    /// Records how long choosing replicas and sending the requests of `shards` shards took.
    pub fn record_sending(&mut self, shards: usize, took: Duration) {
        self.shard_time.record(shards, took, self.local.capacity);
    }

    /// Sets the minimum number of daemons that are assumed to share an upstream's connections,
    /// also where the view shows fewer.
    #[must_use]
    pub fn with_sharers(mut self, daemons: u32) -> Self {
        self.min_sharers = daemons.max(1);
        self
    }

    /// Sets how many daemons there are; they share the budgets.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.budgets.set_daemons(daemons.max(1));
    }

    /// Draws a random number below `count`; returns 0 where `count` is 0.
    pub fn draw_below(&mut self, count: usize) -> usize {
        let draw = self.draw();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it is a small count")]
        #[expect(clippy::cast_precision_loss, reason = "it is a small count")]
        let at = (draw * count as f64) as usize;
        at.min(count.saturating_sub(1))
    }

    /// Applies a new view: adds and removes upstreams, and keeps the state of those that stay.
    pub fn apply(&mut self, view: &View, now: Instant) {
        let specs = &view.upstreams;
        let longest = longest_deadline(view);
        let in_use = |name: &UpstreamId, s: &UpstreamState| {
            s.left_within(longest, now) && spec_of(view, name, s).is_some()
        };
        self.upstreams.retain(|name, s| specs.contains_key(name) || s.in_flight() > 0 || in_use(name, s));
        for (name, upstream) in specs.iter() {
            let UpstreamShare { spec, sharers, rank, connections, cold } = upstream;
            let cold = cold.map(|cold| self.local.cold_quota(cold));
            let sharers = (*sharers).max(self.min_sharers);
            let share = connection_share(*connections, sharers);
            self.budgets.set_clients(services_of(spec), sharers, *rank);
            let state = self
                .upstreams
                .entry(Arc::clone(name))
                .and_modify(|s| s.update(spec, share, now))
                .or_insert_with(|| UpstreamState::new(Arc::clone(spec), sharers, share).with_cold(now));
            state.cold.set_allowance(cold);
            state.set_distance(self.topology.distance(&spec.zone));
            state.join_cell();
            apply_status(state, spec, view, now);
        }
        for (name, state) in &mut self.upstreams {
            if specs.contains_key(name) {
                continue;
            }
            state.leave_cell(now);
            // Requests that began before this daemon left the upstream's cell may continue; the
            // state of the upstream limits them as before.
            match spec_of(view, name, state) {
                Some(spec) => apply_status(state, spec, view, now),
                None => state.set_leaving(true),
            }
        }
        self.cells.clone_from(&view.cells);
        self.apply_scheduling(view, now);
        self.latencies.retain(|kind, _| view.lookups.contains_key(kind));
        for (kind, plan) in view.lookups.iter() {
            if let Some(millis) = plan.lookup.objective_ms {
                let first = || LatencyStats::from_objective(Duration::from_millis(millis));
                self.latencies.entry(Arc::clone(kind)).or_insert_with(first);
            }
        }
    }

    /// Returns whether a daemon may connect to the upstreams of an index. All daemons may where
    /// no cell is known.
    #[must_use]
    pub fn is_member(&self, index: &str, host: &HostId) -> bool {
        let cell = self.cells.get(index);
        cell.is_none_or(|cell| cell.is_empty() || cell.contains(host))
    }

    /// Returns the state of an upstream; `None` for an unknown one.
    #[must_use]
    pub fn upstream(&self, name: &UpstreamId) -> Option<&UpstreamState> {
        self.upstreams.get(name)
    }

    /// Returns every upstream with its state.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamState)> {
        self.upstreams.iter()
    }

    /// Returns the lease that permits this worker to send.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the lease, to renew or confirm it.
    pub fn lease_mut(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Returns the latency of a kind of request.
    #[must_use]
    pub fn latency(&self, kind: &Arc<str>) -> LatencyStats {
        self.latencies.get(kind).cloned().unwrap_or_default()
    }

    /// Returns whether an upstream may serve a version; its load isn't considered.
    #[must_use]
    pub fn can_serve(&self, name: &UpstreamId, version: Version) -> bool {
        self.upstreams.get(name).is_some_and(|s| s.may_serve(version).is_ok())
    }

    /// Draws a random number in 0..1 from the router's own seeded sequence.
    pub(super) fn draw(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let high = u32::try_from(self.seed >> 32).unwrap_or(0);
        f64::from(high) / f64::from(u32::MAX)
    }

    /// Records that a request is sent to an upstream.
    pub fn begin(&mut self, name: &UpstreamId, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.begin(now);
        }
    }

    /// Records the outcome of the request that was sent at `start`.
    pub fn end(
        &mut self,
        name: &UpstreamId,
        start: Instant,
        outcome: AttemptOutcome,
        report: &Report,
        now: Instant,
    ) {
        let rtt = self.rtt_to(name).as_secs_f64();
        if let Some(state) = self.upstreams.get_mut(name) {
            state.set_rtt(rtt);
            state.end(start, outcome, report, now);
        }
        self.notify_upstream(name, now);
    }

    /// Records the time of a good reply, less the round-trip time, in the latency of its kind of
    /// request.
    pub fn record_latency(&mut self, kind: &Arc<str>, name: &UpstreamId, took: Duration) {
        let time = took.saturating_sub(self.rtt_to(name));
        self.latencies.entry(Arc::clone(kind)).or_default().record(time);
    }

    /// Merges an upstream's announcement; returns whether it was new.
    pub fn merge_announcement(&mut self, name: &UpstreamId, announcement: &Announcement) -> bool {
        self.upstreams.get_mut(name).is_some_and(|s| s.merge_announcement(announcement))
    }

    /// Merges announcements that peers passed on.
    pub fn merge_announcements(&mut self, announcements: &[NamedAnnouncement]) {
        for named in announcements {
            self.merge_announcement(&named.upstream, &named.announcement);
        }
    }

    /// Records that an upstream ended or couldn't be reached: it may restart, and then be cold.
    pub fn record_down(&mut self, name: &UpstreamId, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.cold.assume_cold(now);
        }
    }

    /// Sets how many idle connections to an upstream are open.
    pub fn set_idle(&mut self, name: &UpstreamId, idle: usize) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.set_idle(idle);
        }
    }

    /// Returns the budget that pays for the extra attempts on a shard.
    pub fn budget(&mut self, shard: &ShardId) -> &mut Budget {
        self.budgets.for_shard(shard)
    }
}

/// Returns the specification of an upstream in a view; `None` where the view doesn't have this
/// incarnation of it.
fn spec_of<'a>(view: &'a View, name: &UpstreamId, state: &UpstreamState) -> Option<&'a Arc<Upstream>> {
    view.set.upstreams.get(name).filter(|spec| state.same_incarnation(spec))
}

/// Applies whether an upstream is leaving or evacuated by a view.
fn apply_status(state: &mut UpstreamState, spec: &Upstream, view: &View, now: Instant) {
    state.set_leaving(spec.leaving || view.leaving.contains(&spec.address));
    state.set_evacuated(view.evacuated.contains(&spec.zone), now);
}

/// Returns the longest deadline of the lookups of a view.
fn longest_deadline(view: &View) -> Duration {
    let deadlines = view.lookups.values().map(|plan| plan.lookup.deadline_ms);
    Duration::from_millis(deadlines.max().unwrap_or(0))
}

/// Returns the services of the shards that an upstream holds.
fn services_of(upstream: &Upstream) -> impl Iterator<Item = &str> {
    upstream.holds.iter().map(|shard| service_of(shard))
}
