//! An upstream's own word moves forward only.

use proptest::prelude::*;

use crate::support::cases;
use harefield::control::Announcements;
use harefield::domain::announcement::Announcement;
use harefield::domain::announcement::AnnouncementStamp;
use harefield::domain::announcement::NamedAnnouncement;

fn word(start: u64, change: u64) -> Announcement {
    Announcement {
        stamp: AnnouncementStamp { start, change },
        draining: change % 2 == 1,
        held: Some(vec![change]),
    }
}

proptest! {
    #![proptest_config(cases(200))]

    /// The newest word wins, in whatever order words are heard.
    #[test]
    fn newest_wins(stamps in prop::collection::vec((0_u64..4, 0_u64..4), 1..20)) {
        let mut held = Announcement::default();
        for (start, change) in &stamps {
            held.join(&word(*start, *change));
        }
        let newest = stamps.iter().max().expect("there is one");
        if *newest > (0, 0) {
            prop_assert_eq!(held, word(newest.0, newest.1));
        }
    }
}

#[test]
fn passed_on_a_while() {
    let mut book = Announcements::default();
    let named = NamedAnnouncement { upstream: "u".into(), announcement: word(1, 1) };
    assert_eq!(book.join(std::slice::from_ref(&named)).len(), 1);
    assert!(book.join(std::slice::from_ref(&named)).is_empty(), "it is no longer news");
    let mut told = 0;
    while !book.digest().is_empty() {
        told += 1;
    }
    assert!((3..20).contains(&told), "{told}");
    assert_eq!(book.all(), vec![named]);
}
