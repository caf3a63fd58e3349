//! Permits under accounts' limits: asked of the daemons that hold the parts, and granted
//! from the parts that this one holds.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use log::debug;

use super::find::Found;
use super::identity::Refusal;
use super::worker::Worker;
use crate::domain::accounts::Client;
use crate::domain::accounts::FleetLimit;
use crate::domain::accounts::GrantAnswer;
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
const ASK_LIMIT: Duration = Duration::from_millis(150);

/// For how long a holder that did not answer is passed over.
const QUIET_FOR: Duration = Duration::from_secs(1);

/// When to come back where no holder answers: another daemon may reach one.
const COME_BACK: Duration = Duration::from_millis(50);

/// The most accounts whose permits are kept before those are dropped that matter no more.
const MOST_KEPT: usize = 1024;

/// What lets a request of an account go on.
#[derive(Clone, Copy, Debug)]
pub(super) enum Permit {
    /// The account has no limit.
    Free,
    /// A permit that holds until then.
    Until(Instant),
}

/// What asking the holder of one part brought.
enum Asked {
    Granted,
    Empty,
    NoAnswer,
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Returns a permit for one request of an account, asking those that hold the parts of
    /// its limit, the nearest first.
    pub(super) async fn permit_for(&self, client: &Client, found: &Found) -> Result<Permit, Refusal> {
        let Some(limit) = FleetLimit::of(&client.account, &self.settings.overage) else {
            return Ok(Permit::Free);
        };
        let now = self.ports.clock.now();
        if let Some(until) = self.with_reserve(client, |reserve| {
            reserve.count(now);
            reserve.take(now)
        }) {
            return Ok(Permit::Until(until));
        }
        let parts = limit.parts(self.holders.borrow().wanted());
        let until = found.objective.unwrap_or(found.deadline).min(found.halfway());
        let mut empty = false;
        for part in self.by_distance(parts) {
            let now = self.ports.clock.now();
            if self.with_reserve(client, |reserve| reserve.empty_for(part, now)).is_some() {
                empty = true;
                continue;
            }
            if now >= until {
                break;
            }
            match self.ask_part(client, &limit, part).await {
                Asked::Granted => {
                    let now = self.ports.clock.now();
                    if let Some(until) = self.with_reserve(client, |reserve| reserve.take(now)) {
                        return Ok(Permit::Until(until));
                    }
                }
                Asked::Empty => empty = true,
                Asked::NoAnswer => {}
            }
        }
        Err(self.over_limit(client, parts, empty))
    }

    /// Says that an account asks more than it may, or that nobody could be asked.
    fn over_limit(&self, client: &Client, parts: u32, empty: bool) -> Refusal {
        let now = self.ports.clock.now();
        if !empty {
            // Where this daemon does not know the others yet, they may not know each other.
            let wait = self.unsettled_for(now).unwrap_or(COME_BACK);
            return Refusal { code: Code::LimitUnknown, wait: Some(wait) };
        }
        let wait = self
            .with_reserve(client, |reserve| (0..parts).filter_map(|part| reserve.empty_for(part, now)).min());
        Refusal { code: Code::LimitReached, wait: Some(wait.unwrap_or(COME_BACK)) }
    }

    fn with_reserve<R>(&self, client: &Client, act: impl FnOnce(&mut Reserve) -> R) -> R {
        let mut reserves = self.reserves.borrow_mut();
        if reserves.len() >= MOST_KEPT && !reserves.contains_key(&client.name) {
            let now = self.ports.clock.now();
            reserves.retain(|_, reserve| !reserve.is_idle(now));
        }
        act(reserves.entry(Arc::clone(&client.name)).or_default())
    }

    /// Returns the parts of a limit, those of near availability zones first.
    fn by_distance(&self, parts: u32) -> Vec<u32> {
        let holders = self.holders.borrow();
        let places = &self.settings.places;
        let distance =
            |part: &u32| holders.zone_of(*part).map_or(Distance::Near, |zone| places.distance(zone));
        let mut all: Vec<u32> = (0..parts).collect();
        all.sort_by_key(distance);
        all
    }

    /// Asks the holder of a part for permits, and keeps what it grants.
    async fn ask_part(&self, client: &Client, limit: &FleetLimit, part: u32) -> Asked {
        let now = self.ports.clock.now();
        let slot = (Arc::clone(&client.name), part);
        let holder = self.holders.borrow().holder(&slot, now);
        let Some(host) = holder.filter(|host| self.may_ask(host, now)) else { return Asked::NoAnswer };
        let wanted = self.with_reserve(client, |reserve| reserve.wanted());
        let ask = PermitRequest { account: slot.0, part, wanted };
        let reply = if host == self.settings.host {
            self.grant_own(&ask, limit)
        } else {
            let asked = self.ports.peers.permits(&host, &ask, ASK_LIMIT).await;
            asked.unwrap_or_else(|error| self.note_quiet(&host, error))
        };
        // Permits hold from when they were asked for: the answer may have taken a while.
        match reply {
            PermitReply::Granted(permits) => {
                self.with_reserve(client, |reserve| reserve.put(permits, now));
                Asked::Granted
            }
            PermitReply::Empty(wait) => {
                let wait = Duration::from_millis(wait);
                let now = self.ports.clock.now();
                self.with_reserve(client, |reserve| reserve.note_empty(part, wait, now));
                Asked::Empty
            }
            PermitReply::NotHeld => Asked::NoAnswer,
        }
    }

    fn may_ask(&self, host: &HostId, now: Instant) -> bool {
        let quiet = self.quiet.borrow().get(host).is_some_and(|until| *until > now);
        *host == self.settings.host || (!quiet && self.holders.borrow().is_present(host))
    }

    /// Notes that a holder did not answer.
    fn note_quiet(&self, host: &HostId, error: PeerError) -> PermitReply {
        debug!("{host} gives no permits: {error}");
        let now = self.ports.clock.now();
        let mut quiet = self.quiet.borrow_mut();
        quiet.retain(|_, until| *until > now);
        quiet.insert(Arc::clone(host), now + QUIET_FOR);
        PermitReply::NotHeld
    }

    /// Answers another daemon that wants permits.
    pub fn grant(&self, ask: &PermitRequest) -> PermitReply {
        let view = self.view.borrow();
        let Some(client) = view.directory.client(&ask.account) else { return PermitReply::NotHeld };
        let Some(limit) = FleetLimit::of(&client.account, &self.settings.overage) else {
            return PermitReply::Granted(ask.wanted.max(1));
        };
        let slot = (Arc::clone(&ask.account), ask.part);
        let now = self.ports.clock.now();
        if self.holders.borrow().holder(&slot, now).as_ref() != Some(&self.settings.host) {
            return PermitReply::NotHeld;
        }
        self.grant_own(ask, &limit)
    }

    /// Grants permits from a part that this daemon holds.
    fn grant_own(&self, ask: &PermitRequest, limit: &FleetLimit) -> PermitReply {
        let now = self.ports.clock.now();
        let parts = limit.parts(self.holders.borrow().wanted());
        if ask.part >= parts || self.unsettled_for(now).is_some() {
            return PermitReply::NotHeld;
        }
        let slot = (Arc::clone(&ask.account), ask.part);
        match self.lock_grants().grant(&slot, limit.part(parts), ask.wanted, now) {
            GrantAnswer::Granted(permits) => PermitReply::Granted(permits),
            GrantAnswer::Empty(wait) => PermitReply::Empty(millis(wait).max(1)),
        }
    }

    /// Returns for how much longer this daemon may not hold parts; none where it may.
    fn unsettled_for(&self, now: Instant) -> Option<Duration> {
        let alone = self.settings.others && !self.met.get();
        let holders = self.holders.borrow();
        holders.unsettled_for(now).or(alone.then_some(COME_BACK))
    }

    /// Locks the parts; they are whole even where a thread panicked beside them.
    fn lock_grants(&self) -> MutexGuard<'_, Grants> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
