//! The quota that each daemon has of the requests to a cold upstream.

use std::cmp::Reverse;
use std::time::Duration;

use crate::domain::cell::Candidate;
use crate::domain::cell::weight;
use crate::domain::ids::HostId;
use crate::domain::ids::UpstreamId;
use crate::domain::topology::Topology;

/// The fraction of the allowed requests that is distributed to daemons. The rest covers times at
/// which daemons rank each other differently, such as when some join or leave: the quotas of two
/// complete rankings fit side by side.
const DISTRIBUTED_FRACTION: f64 = 0.5;

/// How far the fleet may exceed the rate that a cold upstream can handle, set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// The factor on the rate that the upstream can handle.
    pub overage: f64,
    /// Requests on top of that within any second.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

impl ColdBounds {
    /// Returns how many requests within any second are distributed over the whole fleet, for an
    /// upstream that can handle `per_s` while it is cold.
    #[must_use]
    pub fn distributed(self, per_s: f64) -> usize {
        let allowed = (per_s * self.overage + self.slack) * DISTRIBUTED_FRACTION;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it is clamped")]
        let whole = allowed.clamp(0.0, f64::from(u16::MAX)) as usize;
        whole
    }
}

/// What one daemon may send to one upstream while the upstream is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Requests within any second.
    pub quota: u32,
    /// How long an upstream counts as cold that may have restarted without reporting it.
    pub assumed_cold: Duration,
}

/// Returns a daemon's quota of the `distributed` requests to an upstream in `zone`: equal for all
/// daemons that share them, 0 for the others.
///
/// The daemons nearest to the upstream among `members` share them. `members` has to list all
/// daemons that could send to the upstream, whether they answer now or not: a daemon that is cut
/// off from the others then still ranks them as before, and doesn't act as if it were the
/// only one.
#[must_use]
pub fn quota(
    distributed: usize,
    upstream: &UpstreamId,
    zone: &str,
    members: &[&Candidate],
    own: &HostId,
    topology: &Topology,
) -> usize {
    let from = Topology { zone: zone.into(), ..topology.clone() };
    let Some(nearest) = members.iter().map(|candidate| from.distance(&candidate.zone)).min() else {
        return distributed;
    };
    let nearby = members.iter().filter(|candidate| from.distance(&candidate.zone) == nearest);
    let mut nearby: Vec<&HostId> = nearby.map(|candidate| &candidate.host).collect();
    nearby.sort_unstable_by_key(|host| (Reverse(weight(upstream, host)), *host));
    nearby.truncate(distributed);
    let shares = nearby.contains(&own);
    if shares { distributed / nearby.len() } else { 0 }
}
