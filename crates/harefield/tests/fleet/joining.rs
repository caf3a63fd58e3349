//! What a fleet that starts together pulls from other regions.

use std::time::Duration;

use crate::support::Fleet;
use crate::support::Tuning;
use crate::support::ZONES;
use harefield::domain::revision::Revision;

/// As daemons are deployed.
const DEPLOYED: Tuning = Tuning {
    gossip_interval: Duration::from_secs(1),
    max_watch: Duration::from_secs(20),
    apply: Duration::from_secs(3),
    readers: 2,
};

const DAEMONS: usize = 60;

const LOOKUPS: usize = 400;

#[test]
fn few_pulls_cross() {
    // Each daemon used to query the seeds, and any others of whatever region, until one provided a
    // proof of freshness, so the whole configuration crossed regions more than once for each
    // daemon. Now the readers of each zone pull it, of which there are twice as many until they
    // know each other.
    let fleet = Fleet::start_in_regions(DAEMONS, LOOKUPS, DEPLOYED);
    fleet.await_revision(0..DAEMONS, Revision::first(1 + LOOKUPS as u64));
    fleet.run_for(Duration::from_secs(2));
    let cross_region_pulls = fleet.cross_region_pulls();
    assert!(
        cross_region_pulls <= 2 * DEPLOYED.readers * ZONES,
        "{cross_region_pulls} pulls of {DAEMONS} daemons"
    );
}
