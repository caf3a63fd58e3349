//! The assignment of the parts of accounts' limits to daemons.
//!
//! Parts are spread evenly over the availability zones, which all daemons know from their
//! settings. Within a zone, rendezvous hashing picks the daemon. A daemon that does not answer
//! keeps its parts for a while, and for longer where most of its zone does not answer. So a daemon
//! that is partitioned off still assigns parts to the others, and does not consider itself the
//! holder of all.

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

/// Identifies one part of an account's limit: the account, and the number of the part.
pub type SlotId = (AccountId, u32);

/// A daemon that has not answered for this long is replaced by the next one of its zone. It is
/// longer than a restart, so that a restart moves no parts.
const REPLACE_AFTER: Duration = Duration::from_secs(15);

/// The same where less than half of the zone answers. Either the zone is lost, or this daemon is
/// partitioned off from it; in that case each such daemon would take over the others' parts.
const LOST_AFTER: Duration = Duration::from_secs(120);

/// A daemon that has learned of no new daemon for this long knows the others: daemons gossip once
/// a second, and send updates immediately.
const SETTLE_TIME: Duration = Duration::from_millis(1200);

/// The least number of parts of a limit that is large enough. The loss of one daemon then costs a
/// sixth of the limit.
const MIN_PARTS: usize = 6;

/// The most holders that are cached.
const MAX_CACHED: usize = 4096;

/// The holders computed since the last update of the daemons.
#[derive(Clone, Debug, Default)]
struct Ranking {
    /// When the cache expires, as a daemon that does not answer may then be replaced.
    until: Option<Instant>,
    holders: HashMap<SlotId, Option<HostId>>,
}

/// The daemons by availability zone, as candidates for holding parts.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    zones: Vec<Arc<str>>,
    hosts: BTreeMap<Arc<str>, BTreeSet<HostId>>,
    /// The daemons that do not answer, and since when.
    absent: BTreeMap<HostId, Instant>,
    /// When a new daemon last appeared in this daemon's own zone.
    last_new: Option<Instant>,
    own_zone: Arc<str>,
    ranking: RefCell<Ranking>,
}

impl Holders {
    /// Creates an empty set of candidates over the configured availability zones, for a daemon in
    /// the zone `own`. Without zones, all daemons count as one zone.
    #[must_use]
    pub fn new<'a>(zones: impl IntoIterator<Item = &'a Arc<str>>, own: &Arc<str>) -> Self {
        let mut zones: Vec<Arc<str>> = zones.into_iter().map(Arc::clone).collect();
        zones.sort_unstable();
        let empty = Self { zones, ..Self::default() };
        Self { own_zone: empty.zone_key(own), ..empty }
    }

    /// Replaces the daemons by their current membership rows.
    pub fn update<'a>(&mut self, rows: impl IntoIterator<Item = &'a MemberRow>, now: Instant) {
        let mut hosts: BTreeMap<Arc<str>, BTreeSet<HostId>> = BTreeMap::new();
        let mut absent = BTreeMap::new();
        for row in rows {
            hosts.entry(self.zone_key(&row.zone)).or_default().insert(Arc::clone(&row.host));
            if row.state != PeerState::Live {
                let since = self.absent.get(&row.host).copied().unwrap_or(now);
                absent.insert(Arc::clone(&row.host), since);
            }
        }
        let (held, seen) = (self.hosts.get(&self.own_zone), hosts.get(&self.own_zone));
        let is_new = |host: &HostId| held.is_none_or(|held| !held.contains(host));
        if seen.is_some_and(|seen| seen.iter().any(is_new)) {
            self.last_new = Some(now);
        }
        self.hosts = hosts;
        self.absent = absent;
        *self.ranking.borrow_mut() = Ranking::default();
    }

    /// Returns for how much longer this daemon may not know the others of its zone well enough to
    /// hold parts; none where it does. A daemon that starts learns of them within a few exchanges.
    /// While a whole fleet starts, new daemons appear all the time.
    #[must_use]
    pub fn unsettled_for(&self, now: Instant) -> Option<Duration> {
        let settled = self.last_new.map_or(now + SETTLE_TIME, |at| at + SETTLE_TIME);
        Some(settled.saturating_duration_since(now)).filter(|wait| !wait.is_zero())
    }

    /// Returns the key of a zone in `hosts`: empty where no zones are configured.
    fn zone_key(&self, zone: &Arc<str>) -> Arc<str> {
        if self.zones.is_empty() { Arc::default() } else { Arc::clone(zone) }
    }

    /// Returns the number of parts into which a large enough limit is divided.
    #[must_use]
    pub fn part_count(&self) -> u32 {
        let zones = self.zones.len().max(1);
        let parts = zones * MIN_PARTS.div_ceil(zones);
        u32::try_from(parts).unwrap_or(u32::MAX)
    }

    /// Returns the availability zone of a part; none where no zones are configured.
    #[must_use]
    pub fn zone_of(&self, part: u32) -> Option<&Arc<str>> {
        let zones = u32::try_from(self.zones.len()).ok().filter(|zones| *zones > 0)?;
        self.zones.get(usize::try_from(part % zones).ok()?)
    }

    /// Returns the daemon that holds a part; none where its zone has no candidate.
    #[must_use]
    pub fn holder(&self, slot: &SlotId, now: Instant) -> Option<HostId> {
        let mut ranking = self.ranking.borrow_mut();
        let over = ranking.until.is_none_or(|until| now >= until);
        if over || ranking.holders.len() >= MAX_CACHED {
            *ranking = Ranking { until: Some(self.next_change(now)), ..Ranking::default() };
        }
        if let Some(holder) = ranking.holders.get(slot) {
            return holder.clone();
        }
        let holder = self.rank(slot, now).map(Arc::clone);
        ranking.holders.insert(slot.clone(), holder.clone());
        holder
    }

    /// Returns when a daemon that does not answer may next be replaced.
    fn next_change(&self, now: Instant) -> Instant {
        let ends =
            self.absent.values().flat_map(|since| [REPLACE_AFTER, LOST_AFTER].map(|time| *since + time));
        ends.filter(|end| *end > now).min().unwrap_or(now + LOST_AFTER)
    }

    fn rank(&self, (account, part): &SlotId, now: Instant) -> Option<&HostId> {
        let zone = self.zone_of(*part).cloned().unwrap_or_default();
        let seed = xxh3_64_with_seed(account.as_bytes(), u64::from(*part));
        let hosts = self.hosts.get(&zone)?;
        let present = hosts.iter().filter(|host| self.is_present(host)).count();
        let patience = if present * 2 >= hosts.len() { REPLACE_AFTER } else { LOST_AFTER };
        let stays = |host: &&HostId| !self.is_absent_for(host, patience, now);
        hosts
            .iter()
            .filter(stays)
            .max_by_key(|host| (xxh3_64_with_seed(host.as_bytes(), seed), Reverse(*host)))
    }

    /// Returns whether a daemon is not known to be unresponsive; unknown daemons count as present.
    #[must_use]
    pub fn is_present(&self, host: &HostId) -> bool {
        !self.absent.contains_key(host)
    }

    fn is_absent_for(&self, host: &HostId, time: Duration, now: Instant) -> bool {
        let since = self.absent.get(host);
        since.is_some_and(|since| now.saturating_duration_since(*since) >= time)
    }
}
