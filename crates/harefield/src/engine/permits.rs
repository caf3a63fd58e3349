//! Permits under accounts' limits: requested from the daemons that hold the parts of a limit, and
//! granted from the parts that this daemon holds.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use log::debug;

use super::find::ResolvedRequest;
use super::identity::Refusal;
use super::worker::Worker;
use crate::domain::accounts::Client;
use crate::domain::accounts::FleetLimit;
use crate::domain::accounts::GrantResponse;
use crate::domain::accounts::Grants;
use crate::domain::accounts::Reserve;
use crate::domain::code::Code;
use crate::domain::ids::HostId;
use crate::domain::time::millis;
use crate::domain::topology::Distance;
use crate::ports::Clock;
use crate::ports::PeerError;
use crate::ports::Peers;
use crate::ports::PermitReply;
use crate::ports::PermitRequest;
use crate::ports::Upstreams;

/// How long a holder may take to answer; far more than a round trip between regions.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a holder that did not answer is passed over.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(1);

/// How long a caller is told to wait when no holder answers: another daemon may reach one.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The number of accounts with a reserve of permits from which idle reserves are dropped.
const MAX_RESERVES: usize = 1024;

/// What allows a request of an account to run.
#[derive(Clone, Copy, Debug)]
pub(super) enum LimitPermit {
    /// The account has no limit.
    Free,
    /// A permit that is valid until this time.
    Until(Instant),
}

/// The outcome of a request to the holder of one part.
enum PermitOutcome {
    Granted,
    Empty,
    NoAnswer,
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Returns a permit for one request of an account: from the reserve if it has one, else from
    /// the holders of the parts of the limit, the nearest first.
    pub(super) async fn acquire_permit(
        &self,
        client: &Client,
        resolved: &ResolvedRequest,
    ) -> Result<LimitPermit, Refusal> {
        let Some(limit) = FleetLimit::of(&client.account, &self.settings.overage) else {
            return Ok(LimitPermit::Free);
        };
        let now = self.ports.clock.now();
        if let Some(until) = self.with_reserve(client, |reserve| {
            reserve.count_request(now);
            reserve.take(now)
        }) {
            return Ok(LimitPermit::Until(until));
        }
        let parts = limit.parts(self.holders.borrow().part_count());
        let until = resolved.objective.unwrap_or(resolved.deadline).min(resolved.halfway());
        let mut empty = false;
        for part in self.parts_by_distance(parts) {
            let now = self.ports.clock.now();
            if self.with_reserve(client, |reserve| reserve.empty_for(part, now)).is_some() {
                empty = true;
                continue;
            }
            if now >= until {
                break;
            }
            match self.request_permits(client, &limit, part).await {
                PermitOutcome::Granted => {
                    let now = self.ports.clock.now();
                    if let Some(until) = self.with_reserve(client, |reserve| reserve.take(now)) {
                        return Ok(LimitPermit::Until(until));
                    }
                }
                PermitOutcome::Empty => empty = true,
                PermitOutcome::NoAnswer => {}
            }
        }
        Err(self.limit_refusal(client, parts, empty))
    }

    /// Refuses a request because the account has used up its limit, or because no holder could be
    /// reached.
    fn limit_refusal(&self, client: &Client, parts: u32, empty: bool) -> Refusal {
        let now = self.ports.clock.now();
        if !empty {
            // While this daemon does not know the others yet, they may not know each other either.
            let wait = self.startup_wait(now).unwrap_or(RETRY_AFTER);
            return Refusal { code: Code::LimitUnknown, wait: Some(wait) };
        }
        let wait = self
            .with_reserve(client, |reserve| (0..parts).filter_map(|part| reserve.empty_for(part, now)).min());
        Refusal { code: Code::LimitReached, wait: Some(wait.unwrap_or(RETRY_AFTER)) }
    }

    fn with_reserve<R>(&self, client: &Client, act: impl FnOnce(&mut Reserve) -> R) -> R {
        let mut reserves = self.reserves.borrow_mut();
        if reserves.len() >= MAX_RESERVES && !reserves.contains_key(&client.name) {
            let now = self.ports.clock.now();
            reserves.retain(|_, reserve| !reserve.is_idle(now));
        }
        act(reserves.entry(Arc::clone(&client.name)).or_default())
    }

    /// Returns the parts of a limit, those held in near availability zones first.
    fn parts_by_distance(&self, parts: u32) -> Vec<u32> {
        let holders = self.holders.borrow();
        let topology = &self.settings.topology;
        let distance =
            |part: &u32| holders.zone_of(*part).map_or(Distance::Near, |zone| topology.distance(zone));
        let mut all: Vec<u32> = (0..parts).collect();
        all.sort_by_key(distance);
        all
    }

    /// Requests permits from the holder of a part, and keeps what it grants.
    async fn request_permits(&self, client: &Client, limit: &FleetLimit, part: u32) -> PermitOutcome {
        let now = self.ports.clock.now();
        let slot = (Arc::clone(&client.name), part);
        let holder = self.holders.borrow().holder(&slot, now);
        let Some(host) = holder.filter(|host| self.is_available(host, now)) else {
            return PermitOutcome::NoAnswer;
        };
        let wanted = self.with_reserve(client, |reserve| reserve.batch_size());
        let request = PermitRequest { account: slot.0, part, wanted };
        let reply = if host == self.settings.host {
            self.grant_local(&request, limit)
        } else {
            let answered = self.ports.peers.permits(&host, &request, PERMIT_TIMEOUT).await;
            answered.unwrap_or_else(|error| self.record_unresponsive(&host, error))
        };
        // Permits are valid from when they were requested: the answer may have taken a while.
        match reply {
            PermitReply::Granted(permits) => {
                self.with_reserve(client, |reserve| reserve.add(permits, now));
                PermitOutcome::Granted
            }
            PermitReply::Empty(wait) => {
                let wait = Duration::from_millis(wait);
                let now = self.ports.clock.now();
                self.with_reserve(client, |reserve| reserve.record_empty(part, wait, now));
                PermitOutcome::Empty
            }
            PermitReply::NotHeld => PermitOutcome::NoAnswer,
        }
    }

    fn is_available(&self, host: &HostId, now: Instant) -> bool {
        let unresponsive = self.unresponsive.borrow().get(host).is_some_and(|until| *until > now);
        *host == self.settings.host || (!unresponsive && self.holders.borrow().is_present(host))
    }

    /// Marks a holder that did not answer, so that it is passed over for a while.
    fn record_unresponsive(&self, host: &HostId, error: PeerError) -> PermitReply {
        debug!("no permits from {host}: {error}");
        let now = self.ports.clock.now();
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|_, until| *until > now);
        unresponsive.insert(Arc::clone(host), now + UNRESPONSIVE_FOR);
        PermitReply::NotHeld
    }

    /// Answers another daemon's request for permits.
    pub fn grant(&self, request: &PermitRequest) -> PermitReply {
        let view = self.view.borrow();
        let Some(client) = view.directory.client(&request.account) else { return PermitReply::NotHeld };
        let Some(limit) = FleetLimit::of(&client.account, &self.settings.overage) else {
            return PermitReply::Granted(request.wanted.max(1));
        };
        let slot = (Arc::clone(&request.account), request.part);
        let now = self.ports.clock.now();
        if self.holders.borrow().holder(&slot, now).as_ref() != Some(&self.settings.host) {
            return PermitReply::NotHeld;
        }
        self.grant_local(request, &limit)
    }

    /// Grants permits from a part that this daemon holds.
    fn grant_local(&self, request: &PermitRequest, limit: &FleetLimit) -> PermitReply {
        let now = self.ports.clock.now();
        let parts = limit.parts(self.holders.borrow().part_count());
        if request.part >= parts || self.startup_wait(now).is_some() {
            return PermitReply::NotHeld;
        }
        let slot = (Arc::clone(&request.account), request.part);
        match self.lock_grants().grant(&slot, limit.part(parts), request.wanted, now) {
            GrantResponse::Granted(permits) => PermitReply::Granted(permits),
            GrantResponse::Empty(wait) => PermitReply::Empty(millis(wait)),
        }
    }

    /// Returns for how much longer this daemon may not hold parts; none where it may.
    fn startup_wait(&self, now: Instant) -> Option<Duration> {
        let alone = self.settings.expects_peers && !self.peer_seen.get();
        let holders = self.holders.borrow();
        holders.unsettled_for(now).or(alone.then_some(RETRY_AFTER))
    }

    /// Locks the parts. They are consistent even after a panic in a thread that held the lock.
    fn lock_grants(&self) -> MutexGuard<'_, Grants> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
