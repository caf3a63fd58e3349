//! Which part of a cold upstream's allowance each daemon has.

use std::cmp::Reverse;
use std::time::Duration;

use crate::domain::cell::Candidate;
use crate::domain::cell::weight;
use crate::domain::ids::HostId;
use crate::domain::ids::UpstreamId;
use crate::domain::topology::Topology;

/// Of the allowance, this part is given out: the rest is for moments at which daemons rank
/// each other differently, as when some join or leave. Two whole rankings fit side by side.
const GIVEN_OUT: f64 = 0.5;

/// How far above what a cold upstream bears the fleet may go; the operator's own bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Times what it bears a second.
    pub overage: f64,
    /// Requests on top within any second.
    pub slack: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

impl Bound {
    /// Returns how many requests within any second are given out over the whole fleet, for
    /// an upstream that bears `per_s` while it is cold.
    #[must_use]
    pub fn given_out(self, per_s: f64) -> usize {
        let allowed = (per_s * self.overage + self.slack) * GIVEN_OUT;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it is clamped")]
        let whole = allowed.clamp(0.0, f64::from(u16::MAX)) as usize;
        whole
    }
}

/// What one daemon may send to one upstream while that is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Requests within any second.
    pub part: u32,
    /// How long an upstream is cold that may have started unseen.
    pub spell: Duration,
}

/// Returns a daemon's part of what is given out for an upstream in `zone`: equal for all
/// that share it, nothing for the others.
///
/// Those share it that stand nearest to it among `members`, which are to be all that could
/// ask it, whether they answer now or not: a daemon that is cut off from the others then
/// ranks them as before and does not take itself for the only one.
#[must_use]
pub fn part(
    given_out: usize,
    upstream: &UpstreamId,
    zone: &str,
    members: &[&Candidate],
    own: &HostId,
    places: &Topology,
) -> usize {
    let from = Topology { zone: zone.into(), ..places.clone() };
    let Some(nearest) = members.iter().map(|candidate| from.distance(&candidate.zone)).min() else {
        return given_out;
    };
    let beside = members.iter().filter(|candidate| from.distance(&candidate.zone) == nearest);
    let mut beside: Vec<&HostId> = beside.map(|candidate| &candidate.host).collect();
    beside.sort_unstable_by_key(|host| (Reverse(weight(upstream, host)), *host));
    beside.truncate(given_out);
    let shares = beside.contains(&own);
    if shares { given_out / beside.len() } else { 0 }
}
