//! Entries of another writer in the users' store, and listings that lead nowhere.
//!
//! Guards against a listing that read the same page again and again.

use std::time::Duration;

use standin::PageFault;

use crate::site_support::Site;
use crate::site_support::request_at;
use crate::support::Daemon;
use crate::support::await_true;

/// How many entries a page of a listing has.
const PAGE: usize = 3;

fn serves_whole(daemon: &Daemon, id: &str) -> bool {
    let all = request_at(daemon, "/all/x", id, 2000);
    let one = request_at(daemon, "/one/x", id, 2000);
    all.status == 200 && all.header("missing-parts") == "0" && one.status == 200
}

fn await_whole(site: &Site, what: &str) {
    await_true(what, || site.daemons().all(|daemon| serves_whole(daemon, "w")));
}

/// Plays pages that lead nowhere while a daemon starts: it reads on at the pace of its retries, and
/// serves once the pages are right.
fn play_fault(fault: PageFault) {
    let mut site = Site::start();
    site.store.set_page_items(Some(PAGE));
    site.store.set_page_fault(Some(fault));
    site.restart_all("");
    std::thread::sleep(Duration::from_secs(3));
    let read = site.store.page_count();
    // A listing ends with the second page of a prefix, and retries begin 125 ms apart.
    assert!(read <= 100, "{read} pages read in 3 s");
    assert_eq!(site.request("/all/x", "r").status, 503, "an incomplete listing is not used");
    site.store.set_page_fault(None);
    await_whole(&site, "the daemon serves");
}

#[test]
fn repeated_pages() {
    play_fault(PageFault::Repeated);
}

#[test]
fn empty_pages() {
    play_fault(PageFault::Empty);
}
