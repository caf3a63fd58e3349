//! Which daemon holds each part of an account's limit.
//!
//! The parts are spread evenly over the availability zones, which all daemons know by their
//! settings, and within a zone go to the daemon of the highest rendezvous weight. One that
//! is cut off ranks the others as before: seen not to answer, they keep their rank, for longer
//! where most of the zone does not, and so it does not take itself for the holder of everything.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::domain::ids::AccountId;
use crate::domain::ids::HostId;
use crate::domain::membership::MemberRow;
use crate::domain::membership::PeerState;

/// Names one part of an account's limit.
pub type SlotId = (AccountId, u32);

/// A daemon that has not answered for so long is replaced by the next one of its zone:
/// longer than a restart, so that a restart moves nothing.
const REPLACED_AFTER: Duration = Duration::from_secs(15);

/// The same where less than half of the zone answers: it is lost for good then, or this daemon
/// is cut off from it, and each that is would take the others' parts.
const LOST_AFTER: Duration = Duration::from_secs(120);

/// A daemon that heard of no new one for so long knows the others: they speak to each other
/// once a second, and tell of news at once.
const SETTLE: Duration = Duration::from_millis(1200);

/// How many parts a limit is divided into at least, where it is large enough: the loss of
/// one daemon then costs a sixth.
const LEAST_PARTS: usize = 6;

/// The most holders that are remembered.
const MOST_RANKED: usize = 4096;

/// The holders that were worked out since daemons were last seen.
#[derive(Clone, Debug, Default)]
struct Ranked {
    /// When one that does not answer will have been silent for long enough to be replaced.
    until: Option<Instant>,
    holders: HashMap<SlotId, Option<HostId>>,
}

/// The daemons by availability zone, as candidates for parts.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    zones: Vec<Arc<str>>,
    hosts: BTreeMap<Arc<str>, BTreeSet<HostId>>,
    /// Since when daemons have not answered.
    absent: BTreeMap<HostId, Instant>,
    /// When a daemon of the own zone was last heard of for the first time.
    grown: Option<Instant>,
    own: Arc<str>,
    ranked: RefCell<Ranked>,
}

impl Holders {
    /// Creates the candidates over the availability zones that all daemons know of, as a
    /// daemon of the zone `own` sees them; one zone for all where there are none.
    #[must_use]
    pub fn over<'a>(zones: impl IntoIterator<Item = &'a Arc<str>>, own: &Arc<str>) -> Self {
        let mut zones: Vec<Arc<str>> = zones.into_iter().map(Arc::clone).collect();
        zones.sort_unstable();
        let empty = Self { zones, ..Self::default() };
        Self { own: empty.place(own), ..empty }
    }

    /// Takes the daemons as they are seen now.
    pub fn see<'a>(&mut self, rows: impl IntoIterator<Item = &'a MemberRow>, now: Instant) {
        let mut hosts: BTreeMap<Arc<str>, BTreeSet<HostId>> = BTreeMap::new();
        let mut absent = BTreeMap::new();
        for row in rows {
            hosts.entry(self.place(&row.zone)).or_default().insert(Arc::clone(&row.host));
            if row.state != PeerState::Live {
                let since = self.absent.get(&row.host).copied().unwrap_or(now);
                absent.insert(Arc::clone(&row.host), since);
            }
        }
        let (held, heard) = (self.hosts.get(&self.own), hosts.get(&self.own));
        let is_new = |host: &HostId| held.is_none_or(|held| !held.contains(host));
        if heard.is_some_and(|heard| heard.iter().any(is_new)) {
            self.grown = Some(now);
        }
        self.hosts = hosts;
        self.absent = absent;
        *self.ranked.borrow_mut() = Ranked::default();
    }

    /// Returns for how much longer this daemon may not know the others of its zone well enough
    /// to hold parts; none where it does. A daemon that starts hears of them within some
    /// exchanges, and one of a fleet that starts whole hears of new ones all the time.
    #[must_use]
    pub fn unsettled_for(&self, now: Instant) -> Option<Duration> {
        let settled = self.grown.map_or(now + SETTLE, |grown| grown + SETTLE);
        Some(settled.saturating_duration_since(now)).filter(|wait| !wait.is_zero())
    }

    /// Returns where the parts of a zone's daemons are counted.
    fn place(&self, zone: &Arc<str>) -> Arc<str> {
        if self.zones.is_empty() { Arc::default() } else { Arc::clone(zone) }
    }

    /// Returns how many parts a limit is to have.
    #[must_use]
    pub fn wanted(&self) -> u32 {
        let zones = self.zones.len().max(1);
        let parts = zones * LEAST_PARTS.div_ceil(zones);
        u32::try_from(parts).unwrap_or(u32::MAX)
    }

    /// Returns the availability zone of a part; none where there are no zones.
    #[must_use]
    pub fn zone_of(&self, part: u32) -> Option<&Arc<str>> {
        let zones = u32::try_from(self.zones.len()).ok().filter(|zones| *zones > 0)?;
        self.zones.get(usize::try_from(part % zones).ok()?)
    }

    /// Returns who holds a part; none where its zone has no daemon.
    #[must_use]
    pub fn holder(&self, slot: &SlotId, now: Instant) -> Option<HostId> {
        let mut ranked = self.ranked.borrow_mut();
        let over = ranked.until.is_none_or(|until| now >= until);
        if over || ranked.holders.len() >= MOST_RANKED {
            *ranked = Ranked { until: Some(self.next_change(now)), ..Ranked::default() };
        }
        if let Some(holder) = ranked.holders.get(slot) {
            return holder.clone();
        }
        let holder = self.rank(slot, now).map(Arc::clone);
        ranked.holders.insert(slot.clone(), holder.clone());
        holder
    }

    /// Returns when one that does not answer may be replaced next.
    fn next_change(&self, now: Instant) -> Instant {
        let ends =
            self.absent.values().flat_map(|since| [REPLACED_AFTER, LOST_AFTER].map(|time| *since + time));
        ends.filter(|end| *end > now).min().unwrap_or(now + LOST_AFTER)
    }

    fn rank(&self, (account, part): &SlotId, now: Instant) -> Option<&HostId> {
        let place = self.zone_of(*part).cloned().unwrap_or_default();
        let seed = xxh3_64_with_seed(account.as_bytes(), u64::from(*part));
        let hosts = self.hosts.get(&place)?;
        let present = hosts.iter().filter(|host| self.is_present(host)).count();
        let patience = if present * 2 >= hosts.len() { REPLACED_AFTER } else { LOST_AFTER };
        let stays = |host: &&HostId| !self.is_absent_for(host, patience, now);
        hosts
            .iter()
            .filter(stays)
            .max_by_key(|host| (xxh3_64_with_seed(host.as_bytes(), seed), Reverse(*host)))
    }

    /// Returns whether a daemon is known to answer, or not known not to.
    #[must_use]
    pub fn is_present(&self, host: &HostId) -> bool {
        !self.absent.contains_key(host)
    }

    fn is_absent_for(&self, host: &HostId, time: Duration, now: Instant) -> bool {
        let since = self.absent.get(host);
        since.is_some_and(|since| now.saturating_duration_since(*since) >= time)
    }
}
