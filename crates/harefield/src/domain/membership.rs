//! What daemons know of each other.
//!
//! The platform's list lags, so daemons also tell each other what they saw.
//! Each row is a join of its kind: the higher incarnation wins, then the
//! higher version, then the worse state. Views may differ for a while; nothing
//! that must hold depends on their agreement.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::ids::HostId;
use super::ids::Incarnation;

/// How often each daemon passes a changed row on. One that hears it passes it on
/// as often, so that hardly any is missed (some e⁻⁶), and those that are come in turn.
const TRANSMITS: u32 = 6;

/// The most rows in one message.
pub const MOST_ROWS: usize = 48;

/// How a daemon is seen; later states win at the same version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// It answers.
    Live,
    /// It did not answer somebody.
    Suspect,
    /// It said that it is leaving.
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

/// One daemon as seen by the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The daemon.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The operators' address, for the time line.
    pub operators: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts the daemon's own statements.
    pub version: u64,
    /// Its state.
    pub state: PeerState,
    /// Whether it said that it cannot reach the platform.
    pub blind: bool,
    /// What it can carry, in thousandths of a core.
    #[serde(default)]
    pub capacity: u32,
}

impl Row {
    fn rank(&self) -> (Incarnation, u64, PeerState) {
        (self.incarnation, self.version, self.state)
    }
}

#[derive(Debug)]
struct Known {
    row: Row,
    transmits: u32,
}

/// The rows that one daemon knows, its own among them.
#[derive(Debug)]
pub struct Membership {
    own: HostId,
    rows: BTreeMap<HostId, Known>,
    cursor: usize,
}

impl Membership {
    /// Creates the membership of a daemon that knows only itself.
    #[must_use]
    pub fn new(own: Row) -> Self {
        let host = Arc::clone(&own.host);
        let known = Known { row: own, transmits: TRANSMITS };
        Self { own: Arc::clone(&host), rows: BTreeMap::from([(host, known)]), cursor: 0 }
    }

    /// Returns every known row.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().map(|known| &known.row)
    }

    /// Returns the row of a daemon.
    #[must_use]
    pub fn row(&self, host: &HostId) -> Option<&Row> {
        self.rows.get(host).map(|known| &known.row)
    }

    /// Returns whether a daemon may be given requests, as far as known.
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

    /// Joins rows from a peer; returns those that were news.
    pub fn join(&mut self, rows: &[Row]) -> Vec<Row> {
        rows.iter().filter(|row| self.join_row(row)).cloned().collect()
    }

    fn join_row(&mut self, row: &Row) -> bool {
        if row.host == self.own {
            self.refute(row);
            return false;
        }
        if self.row(&row.host).is_some_and(|held| held.rank() >= row.rank()) {
            return false;
        }
        self.put(row.clone());
        true
    }

    fn put(&mut self, row: Row) {
        self.rows.insert(Arc::clone(&row.host), Known { row, transmits: TRANSMITS });
    }

    /// Answers a rumour about this daemon with a newer statement of its own.
    fn refute(&mut self, rumour: &Row) {
        let Some(known) = self.rows.get_mut(&self.own) else {
            return;
        };
        let stale = rumour.incarnation == known.row.incarnation && rumour.rank() > known.row.rank();
        if stale {
            known.row.version = rumour.version + 1;
            known.transmits = TRANSMITS;
        }
    }

    /// Notes that a peer did not answer; returns whether that was news.
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

    /// States whether this daemon can reach the platform; returns whether that
    /// was news.
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

    /// States that this daemon is leaving.
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

    /// Returns the rows for the next message: own, then changed, then a few in turn.
    pub fn digest(&mut self) -> Vec<Row> {
        let mut rows: Vec<Row> = self.row(&self.own).into_iter().cloned().collect();
        for known in self.rows.values_mut().filter(|known| known.transmits > 0) {
            if rows.len() >= MOST_ROWS {
                break;
            }
            known.transmits -= 1;
            if known.row.host != self.own {
                rows.push(known.row.clone());
            }
        }
        self.fill_in_turn(&mut rows);
        rows
    }

    fn fill_in_turn(&mut self, rows: &mut Vec<Row>) {
        const IN_TURN: usize = 8;
        let room = MOST_ROWS.saturating_sub(rows.len()).min(IN_TURN).min(self.rows.len());
        for _ in 0..room {
            self.cursor = (self.cursor + 1) % self.rows.len();
            let turn = self.rows.values().nth(self.cursor);
            let row = turn.map(|known| known.row.clone());
            rows.extend(row.filter(|row| !rows.iter().any(|have| have.host == row.host)));
        }
    }
}
