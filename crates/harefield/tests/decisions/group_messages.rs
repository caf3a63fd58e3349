//! The format of groups between daemons of different versions: fields are identified by position.

use serde::Deserialize;
use serde::Serialize;

use harefield::domain::accounts::Requester;
use harefield::domain::hlc::Stamp;
use harefield::domain::ids::HostId;
use harefield::domain::ids::ShardId;
use harefield::domain::ids::UpstreamId;
use harefield::domain::query::OpaqueQuery;
use harefield::domain::residency::Regions;
use harefield::domain::suspects::SuspectReport;
use harefield::ports::Group;

/// A group as written and read by daemons that do not know ranks.
#[derive(Deserialize, Serialize)]
struct EarlierGroup {
    from: HostId,
    stamp: Stamp,
    request: String,
    lookup: String,
    index: String,
    shards: Vec<ShardId>,
    only: Vec<(usize, Vec<UpstreamId>)>,
    query: OpaqueQuery,
    most: usize,
    needed: usize,
    remaining: u64,
    gather: Option<u64>,
    again: bool,
    #[serde(default)]
    possible: Option<usize>,
    #[serde(default)]
    suspects: Vec<SuspectReport>,
    #[serde(default)]
    regions: Regions,
    #[serde(default, skip_serializing_if = "Requester::is_open")]
    asker: Requester,
}

fn earlier(asker: Requester) -> EarlierGroup {
    EarlierGroup {
        from: "a:1".into(),
        stamp: Stamp::default(),
        request: "r".to_owned(),
        lookup: "l".to_owned(),
        index: "i".to_owned(),
        shards: vec!["s/0".into()],
        only: Vec::new(),
        query: OpaqueQuery::default(),
        most: 1,
        needed: 1,
        remaining: 1000,
        gather: Some(500),
        again: false,
        possible: Some(1),
        suspects: Vec::new(),
        regions: ["r1".into()].into(),
        asker,
    }
}

/// Guards against groups that daemons of two versions cannot read from each other: `rank`, in the
/// middle of the fields, was read as `possible`, and all that follow as the one before.
#[test]
fn earlier_versions() {
    for asker in [Requester::default(), Requester::public()] {
        let bytes = rmp_serde::to_vec(&earlier(asker.clone())).expect("it is written");
        let group: Group = rmp_serde::from_slice(&bytes).expect("a group of an earlier version is read");
        assert_eq!(group.possible, Some(1));
        assert_eq!(group.regions, earlier(asker.clone()).regions);
        let written = rmp_serde::to_vec(&group).expect("it is written");
        assert_eq!(written, bytes, "a group without a rank is written as before");
        let ranked = Group { asker: Some(asker.clone()), rank: Some(2), ..group };
        let bytes = rmp_serde::to_vec(&ranked).expect("it is written");
        let read: Group = rmp_serde::from_slice(&bytes).expect("it is read");
        assert_eq!((read.asker, read.rank), (Some(asker), Some(2)));
    }
}
