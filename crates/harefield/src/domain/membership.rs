//! Gossip membership: what daemons know about each other.
//!
//! The platform's list of hosts lags behind, so daemons also exchange what they observed. Rows
//! merge deterministically: the higher incarnation wins, then the higher version, then the worse
//! state. Views may differ for a while; no invariant depends on their agreement.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::ids::HostId;
use super::ids::Incarnation;

/// How often each daemon passes on a changed row. Every receiver passes it on as often, so that
/// hardly any daemon misses it (a share of about e⁻⁶); those that do receive it in the round-robin
/// part of later messages.
const TRANSMITS: u32 = 6;

/// The maximum number of rows in one message.
pub const MAX_ROWS: usize = 48;

/// The state of a daemon. At equal versions the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// It responds.
    Live,
    /// It did not respond to some daemon.
    Suspect,
    /// It announced that it is leaving.
    Leaving,
}

impl std::fmt::Display for PeerState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
        })
    }
}

/// The state of one daemon as known to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The daemon.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The address for operators, from which its time line is fetched.
    pub operators: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts the statements of the daemon about itself.
    pub version: u64,
    /// Its state.
    pub state: PeerState,
    /// Whether it stated that it cannot reach the platform.
    pub blind: bool,
    /// The load that it can take, in thousandths of a core.
    #[serde(default)]
    pub capacity: u32,
}

impl MemberRow {
    fn rank(&self) -> (Incarnation, u64, PeerState) {
        (self.incarnation, self.version, self.state)
    }
}

#[derive(Debug)]
struct Known {
    row: MemberRow,
    transmits: u32,
}

/// The rows known to one daemon, including its own.
#[derive(Debug)]
pub struct Membership {
    own: HostId,
    rows: BTreeMap<HostId, Known>,
    cursor: usize,
}

impl Membership {
    /// Creates the membership of a daemon that knows only itself.
    #[must_use]
    pub fn new(own: MemberRow) -> Self {
        let host = Arc::clone(&own.host);
        let known = Known { row: own, transmits: TRANSMITS };
        Self { own: Arc::clone(&host), rows: BTreeMap::from([(host, known)]), cursor: 0 }
    }

    /// Returns every known row.
    pub fn rows(&self) -> impl Iterator<Item = &MemberRow> {
        self.rows.values().map(|known| &known.row)
    }

    /// Returns the row of a daemon.
    #[must_use]
    pub fn row(&self, host: &HostId) -> Option<&MemberRow> {
        self.rows.get(host).map(|known| &known.row)
    }

    /// Returns whether a daemon may be sent requests, as far as known.
    #[must_use]
    pub fn is_live(&self, host: &HostId) -> bool {
        self.row(host).is_none_or(|row| row.state == PeerState::Live)
    }

    /// Returns the daemons other than this one that are not known to be gone.
    #[must_use]
    pub fn peers(&self) -> Vec<HostId> {
        let others = self.rows().filter(|row| row.host != self.own);
        others.map(|row| Arc::clone(&row.host)).collect()
    }

    /// Merges rows from a peer; returns those that were new.
    pub fn merge(&mut self, rows: &[MemberRow]) -> Vec<MemberRow> {
        rows.iter().filter(|row| self.merge_row(row)).cloned().collect()
    }

    fn merge_row(&mut self, row: &MemberRow) -> bool {
        if row.host == self.own {
            self.refute(row);
            return false;
        }
        if self.row(&row.host).is_some_and(|held| held.rank() >= row.rank()) {
            return false;
        }
        self.insert_row(row.clone());
        true
    }

    fn insert_row(&mut self, row: MemberRow) {
        self.rows.insert(Arc::clone(&row.host), Known { row, transmits: TRANSMITS });
    }

    /// Refutes a rumour about this daemon by a newer statement of its own.
    fn refute(&mut self, rumour: &MemberRow) {
        let Some(known) = self.rows.get_mut(&self.own) else {
            return;
        };
        let stale = rumour.incarnation == known.row.incarnation && rumour.rank() > known.row.rank();
        if stale {
            known.row.version = rumour.version + 1;
            known.transmits = TRANSMITS;
        }
    }

    /// Records that a peer did not respond; returns whether it was live before.
    pub fn suspect(&mut self, host: &HostId) -> bool {
        let Some(known) = self.rows.get_mut(host) else {
            return false;
        };
        if known.row.state != PeerState::Live {
            return false;
        }
        known.row.state = PeerState::Suspect;
        known.transmits = TRANSMITS;
        true
    }

    /// Publishes whether this daemon can reach the platform; returns whether that changed.
    pub fn set_blind(&mut self, blind: bool) -> bool {
        let Some(known) = self.rows.get_mut(&self.own) else { return false };
        if known.row.blind == blind {
            return false;
        }
        known.row.version += 1;
        known.row.blind = blind;
        known.transmits = TRANSMITS;
        true
    }

    /// Publishes that this daemon is leaving.
    pub fn leave(&mut self) {
        if let Some(known) = self.rows.get_mut(&self.own) {
            known.row.version += 1;
            known.row.state = PeerState::Leaving;
            known.transmits = TRANSMITS;
        }
    }

    /// Drops daemons that are neither listed nor live.
    pub fn prune(&mut self, listed: &[HostId]) {
        let own = Arc::clone(&self.own);
        self.rows.retain(|host, known| {
            *host == own || known.row.state == PeerState::Live || listed.contains(host)
        });
    }

    /// Returns the rows for the next message: its own, then changed ones, then a few in round-robin
    /// order.
    pub fn digest(&mut self) -> Vec<MemberRow> {
        let mut rows: Vec<MemberRow> = self.row(&self.own).into_iter().cloned().collect();
        for known in self.rows.values_mut().filter(|known| known.transmits > 0) {
            if rows.len() >= MAX_ROWS {
                break;
            }
            known.transmits -= 1;
            if known.row.host != self.own {
                rows.push(known.row.clone());
            }
        }
        self.fill_round_robin(&mut rows);
        rows
    }

    fn fill_round_robin(&mut self, rows: &mut Vec<MemberRow>) {
        const ROUND_ROBIN_ROWS: usize = 8;
        let room = MAX_ROWS.saturating_sub(rows.len()).min(ROUND_ROBIN_ROWS).min(self.rows.len());
        for _ in 0..room {
            self.cursor = (self.cursor + 1) % self.rows.len();
            let next = self.rows.values().nth(self.cursor);
            let row = next.map(|known| known.row.clone());
            rows.extend(row.filter(|row| !rows.iter().any(|have| have.host == row.host)));
        }
    }
}
