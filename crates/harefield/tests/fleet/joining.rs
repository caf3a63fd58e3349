//! What a fleet that starts together pulls from other regions.

use std::time::Duration;

use crate::support::Fleet;
use crate::support::Tuning;
use crate::support::ZONES;
use harefield::domain::revision::Revision;

/// As daemons are deployed.
const DEPLOYED: Tuning = Tuning {
    exchange: Duration::from_secs(1),
    watch: Duration::from_secs(20),
    apply: Duration::from_secs(3),
    readers: 2,
};

const DAEMONS: usize = 60;

const LOOKUPS: usize = 400;

#[test]
fn few_pulls_cross() {
    // Each daemon asked the seeds, and any others, of whatever region, until one vouched for
    // what it had: the whole configuration crossed more than once for each of them. The
    // readers of each zone pull it, and twice as many while they do not know each other.
    let fleet = Fleet::start_in_regions(DAEMONS, LOOKUPS, DEPLOYED);
    fleet.await_revision(0..DAEMONS, Revision::first(1 + LOOKUPS as u64));
    fleet.run_for(Duration::from_secs(2));
    let crossed = fleet.crossed();
    assert!(crossed <= 2 * DEPLOYED.readers * ZONES, "{crossed} pulls of {DAEMONS} daemons");
}
