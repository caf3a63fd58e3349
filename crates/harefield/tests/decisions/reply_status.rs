//! The status of a reply that another daemon hands on.
//!
//! Guards against a status such as 600 that goes to a caller.

use harefield::domain::reply::OpaqueReply;

#[test]
fn only_final_accepted() {
    for status in 0..=u16::MAX {
        let sent = rmp_serde::to_vec(&OpaqueReply { status, ..OpaqueReply::default() });
        let read = rmp_serde::from_slice::<OpaqueReply>(&sent.expect("a reply can be written"));
        assert_eq!(read.is_ok(), (200..600).contains(&status), "{status}");
    }
}
