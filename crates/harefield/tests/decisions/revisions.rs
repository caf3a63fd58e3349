//! Revisions, and their format in messages between daemons.

use proptest::prelude::*;

use crate::support::cases;
use harefield::domain::feed::Delta;
use harefield::domain::feed::DeltaKind;
use harefield::domain::feed::Items;
use harefield::domain::feed::News;
use harefield::domain::ids::Era;
use harefield::domain::retained::ReadHistory;
use harefield::domain::retained::RetainedMark;
use harefield::domain::retained::RetainedReport;
use harefield::domain::retained::RetainedValue;
use harefield::domain::revision::Revision;
use harefield::ports::Mark;
use harefield::ports::Pull;
use harefield::ports::Space;

proptest! {
    #![proptest_config(cases(500))]

    /// Revisions are ordered by era first, and parsing what was written returns the same revision.
    #[test]
    fn revisions_round_trip(one in any::<(Era, u64)>(), other in any::<(Era, u64)>()) {
        let [one, other] = [one, other].map(|(era, number)| Revision::new(era, number));
        prop_assert_eq!(one.cmp(&other), (one.era, one.number).cmp(&(other.era, other.number)));
        prop_assert_eq!(one.to_string().parse(), Ok(one));
        let text = serde_json::to_string(&one).expect("it is written");
        prop_assert_eq!(serde_json::from_str::<Revision>(&text).expect("it is read"), one);
    }
}

#[test]
fn messages_round_trip() {
    let known_at = Revision::new(1, 61);
    let history = ReadHistory::default().with(known_at);
    let retained = RetainedReport {
        era: 2,
        history,
        values: [("evacuations/a".into(), RetainedValue { value: "{}".into(), known_at })].into(),
        departed: [("upstreams/u".into(), known_at)].into(),
        age: 7,
    };
    let delta = Delta {
        base: Revision::new(1, 61),
        revision: Revision::new(2, 58),
        changes: Vec::new(),
        kind: DeltaKind::Cumulative,
    };
    let news = News::WithRetained { news: Box::new(News::Deltas(vec![delta])), retained };
    let bytes = rmp_serde::to_vec_named(&news).expect("it is written");
    assert_eq!(rmp_serde::from_slice::<News>(&bytes).expect("it is read"), news);
    let mark = RetainedMark { history, edition: 52 };
    let mark_sent = Mark {
        space: Space::Config,
        revision: Some(Revision::new(2, 58)),
        age: Some(1),
        retained: Some(mark),
    };
    let bytes = rmp_serde::to_vec_named(&mark_sent).expect("it is written");
    assert_eq!(rmp_serde::from_slice::<Mark>(&bytes).expect("it is read"), mark_sent);
    let pull =
        Pull { space: Space::Config, have: Some(Revision::new(1, 61)), retained: Some(mark), divided: true };
    let bytes = rmp_serde::to_vec_named(&pull).expect("it is written");
    let read = rmp_serde::from_slice::<Pull>(&bytes).expect("it is read");
    assert_eq!((read.have, read.retained), (pull.have, pull.retained));
}

#[test]
fn older_daemons_read_numbers() {
    // The format of a daemon that does not know eras: revision numbers only.
    #[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
    struct OldMark {
        space: Space,
        revision: Option<u64>,
        #[serde(default)]
        age: Option<u64>,
    }
    let mark_sent = Mark {
        space: Space::Config,
        revision: Some(Revision::new(2, 58)),
        age: Some(3),
        retained: Some(RetainedMark::default()),
    };
    let bytes = rmp_serde::to_vec_named(&mark_sent).expect("it is written");
    let read: OldMark = rmp_serde::from_slice(&bytes).expect("it is read");
    assert_eq!(read, OldMark { space: Space::Config, revision: Some(58), age: Some(3) });
    let bytes = rmp_serde::to_vec_named(&read).expect("it is written");
    let received: Mark = rmp_serde::from_slice(&bytes).expect("it is read");
    assert_eq!(received.revision, Some(Revision::first(58)), "it is in era 0");
    assert_eq!(received.retained, None);
    let news = News::Full { revision: Revision::new(2, 58), items: Items::new() };
    let bytes = rmp_serde::to_vec_named(&news).expect("it is written");
    let text: serde_json::Value = rmp_serde::from_slice(&bytes).expect("it is read");
    assert_eq!(text["Full"]["revision"], 58);
}
