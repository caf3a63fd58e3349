//! Announcements of upstreams only move forward.

use proptest::prelude::*;

use crate::support::cases;
use harefield::control::Announcements;
use harefield::domain::announcement::Announcement;
use harefield::domain::announcement::AnnouncementStamp;
use harefield::domain::announcement::NamedAnnouncement;

fn announcement(start: u64, change: u64) -> Announcement {
    Announcement {
        stamp: AnnouncementStamp { start, change },
        draining: change % 2 == 1,
        held: Some(vec![change]),
    }
}

proptest! {
    #![proptest_config(cases(200))]

    /// The newest announcement wins, in whatever order announcements are received.
    #[test]
    fn newest_wins(stamps in prop::collection::vec((0_u64..4, 0_u64..4), 1..20)) {
        let mut held = Announcement::default();
        for (start, change) in &stamps {
            held.merge(&announcement(*start, *change));
        }
        let newest = stamps.iter().max().expect("there is one");
        if *newest > (0, 0) {
            prop_assert_eq!(held, announcement(newest.0, newest.1));
        }
    }
}

#[test]
fn gossiped_for_a_while() {
    let mut announcements = Announcements::default();
    let named = NamedAnnouncement { upstream: "u".into(), announcement: announcement(1, 1) };
    assert_eq!(announcements.merge(std::slice::from_ref(&named)).len(), 1);
    assert!(announcements.merge(std::slice::from_ref(&named)).is_empty(), "it is no longer new");
    let mut messages = 0;
    while !announcements.digest().is_empty() {
        messages += 1;
    }
    assert!((3..20).contains(&messages), "{messages}");
    assert_eq!(announcements.all(), vec![named]);
}
