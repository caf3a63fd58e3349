//! Entries of another writer in the users' store, under keys and with values that no upstream
//! writes. They name no upstream, and everything else is read and served as before.
//!
//! Guards against a listing that failed, or read the same page again and again, while such an entry
//! stood in the store: the key that ends a page went into the next query as it was.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standin::PageFault;
use standin::SignedSearcher;
use standin::UNPAIRED_SURROGATE;

use crate::site_support::Site;
use crate::site_support::known_upstreams;
use crate::site_support::request_at;
use crate::support::Daemon;
use crate::support::await_true;

/// How many entries a page of a listing has.
const PAGE: usize = 3;

/// So many entries in a row fill a page, wherever pages begin.
const ROW: usize = 2 * PAGE - 1;

/// How many daemons there are.
const DAEMONS: usize = 3;

/// Within this time after all daemons were killed they serve again: the users' `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Puts entries whose keys contain `odd`: a row of them before those of the upstreams, a row behind
/// them, and one behind each, so that some page ends with one.
fn put_odd(site: &Site, odd: &str, value: &Value) {
    for number in 0..ROW {
        site.store.put(&format!("servers/a{odd}{number}"), Some(value));
        site.store.put(&format!("servers/{odd}{number}"), Some(value));
        site.store.put(&format!("servers/z{odd}{number}"), Some(value));
        site.store.put(&format!("op/evacuate/{odd}{number}"), Some(value));
    }
    let keys: Vec<String> = site.upstreams.values().map(SignedSearcher::key).collect();
    for key in keys {
        site.store.put(&format!("{key}{odd}"), Some(value));
    }
    site.store.put(&format!("op/config{odd}"), Some(value));
}

/// Returns how many pages a listing of the store has.
fn listing_pages(site: &Site) -> usize {
    let upstreams = 3 * ROW + 2 * site.upstreams.len();
    let operator = ROW + 2;
    upstreams.div_ceil(PAGE) + operator.div_ceil(PAGE)
}

fn serves_whole(daemon: &Daemon, id: &str) -> bool {
    let all = request_at(daemon, "/all/x", id, 2000);
    let one = request_at(daemon, "/one/x", id, 2000);
    all.status == 200 && all.header("missing-parts") == "0" && one.status == 200
}

fn await_whole(site: &Site, what: &str) {
    await_true(what, || site.daemons().all(|daemon| serves_whole(daemon, "w")));
}

/// Checks that an upstream that registers now becomes known to every daemon.
fn await_new_upstream(site: &mut Site, id: &str) {
    site.add("one", id, &[5, 5]);
    await_true(&format!("{id} is known"), || site.daemons().all(|daemon| knows(daemon, id)));
}

/// Returns whether a daemon knows an upstream whose name contains `part`.
fn knows(daemon: &Daemon, part: &str) -> bool {
    known_upstreams(daemon).iter().any(|name| name.contains(part))
}

/// Plays entries whose keys contain `odd`, written while the daemons run, listed after a 410, after
/// a restored backup, and when all daemons start again.
fn play(odd: &str) {
    let mut site = Site::unconfigured();
    site.store.set_page_items(Some(PAGE));
    for _ in 1..DAEMONS {
        site.add_daemon("");
    }
    site.fill();
    await_whole(&site, "all daemons serve");
    let foreign = SignedSearcher::start("i-foreign", &[5, 5]);

    put_odd(&site, odd, &json!({ "note": "copy" }));
    await_new_upstream(&mut site, "i-watched");

    // The copied entries must name no upstream either.
    put_odd(&site, odd, &foreign.entry("one", "ready"));
    site.store.compact();
    await_new_upstream(&mut site, "i-relisted");
    await_whole(&site, "all daemons serve after the history was forgotten");

    let backup = site.store.backup();
    site.store.restore(backup);
    await_new_upstream(&mut site, "i-restored");

    let before = site.store.page_count();
    let killed = Instant::now();
    site.restart_all("");
    await_whole(&site, "all daemons serve again");
    assert!(killed.elapsed() < RECOVERY, "served again after {:?}", killed.elapsed());
    await_new_upstream(&mut site, "i-restarted");
    let read = site.store.page_count() - before;
    let most = 2 * DAEMONS * listing_pages(&site);
    assert!(read <= most, "{read} pages read where {most} may be");
    assert!(foreign.runs().is_empty() && foreign.misdirected().is_empty(), "a copied entry was used");
}

#[test]
fn blank_in_key() {
    play(" ");
}

#[test]
fn quote_in_key() {
    play("\"");
}

#[test]
fn backslash_in_key() {
    play("\\");
}

#[test]
fn control_byte() {
    play("\u{1}");
}

#[test]
fn line_break() {
    play("\r\n");
}

#[test]
fn hash_in_key() {
    play("#");
}

#[test]
fn plus_in_key() {
    play("+");
}

#[test]
fn ampersand_in_key() {
    play("&");
}

#[test]
fn further_parameter() {
    play("&after=servers/~");
}

#[test]
fn percent_in_key() {
    play("%7e");
}

#[test]
fn bare_percent() {
    play("%");
}

#[test]
fn beyond_ascii() {
    play("\u{e9}\u{4e2d}\u{1f600}");
}

#[test]
fn unpaired_surrogate() {
    play(&UNPAIRED_SURROGATE.to_string());
}

#[test]
fn slash_in_key() {
    play("/");
}

/// Values that any writer may leave: text that is no entry, and entries with a field out of range.
fn odd_values(entry: &Value) -> Vec<(&'static str, Vec<u8>)> {
    let with = |field: &str, number: &str| {
        let mut entry = entry.clone();
        entry[field] = json!("@");
        entry.to_string().replace("\"@\"", number).into_bytes()
    };
    let nested = |depth: usize, close: &str| {
        let close = close.repeat(depth);
        format!("{{\"note\":{}{close}}}", "[".repeat(depth)).into_bytes()
    };
    let digits = |count: usize| "9".repeat(count);
    vec![
        ("no JSON", b"not JSON".to_vec()),
        ("no text", vec![0xff, 0xfe, 0]),
        ("nothing", Vec::new()),
        ("nested", nested(50_000, "]")),
        ("nested deeper", nested(200_000, "]")),
        ("nested and not closed", nested(50_000, "")),
        ("nested deeper and not closed", nested(200_000, "")),
        ("objects not closed", b"{\"a\":".repeat(50_000)),
        ("slots of 60 digits", with("slots", &digits(60))),
        ("slots of 400 digits", with("slots", &digits(400))),
        ("slots of 1e400", with("slots", "1e400")),
        ("negative slots", with("slots", "-1")),
        ("slots of 2^64 - 1", with("slots", "18446744073709551615")),
        ("zero slots", with("slots", "0")),
        ("a cold time of 1e400", with("coldRemainingMs", "1e400")),
        ("a sequence of 400 digits", with("sequence", &digits(400))),
        ("port 0", with("address", "\"127.0.0.1:0\"")),
        ("port 99999", with("address", "\"127.0.0.1:99999\"")),
    ]
}

#[test]
fn unusable_values() {
    let mut site = Site::start_reading(DAEMONS, "");
    site.store.set_page_items(Some(PAGE));
    let foreign = SignedSearcher::start("i-foreign", &[5, 5]);
    for (number, (_, value)) in odd_values(&foreign.entry("one", "ready")).iter().enumerate() {
        site.store.put_bytes(&format!("servers/i-odd-{number}"), Some(value));
    }
    await_new_upstream(&mut site, "i-watched");
    site.restart_all("");
    await_whole(&site, "all daemons serve again");
    await_new_upstream(&mut site, "i-restarted");
    site.store.compact();
    await_whole(&site, "all daemons serve after the history was forgotten");
    assert!(!site.daemons().any(|daemon| knows(daemon, "odd")), "an odd entry is taken for an upstream");
    assert!(foreign.runs().is_empty(), "an odd entry was used");
    for daemon in site.daemons_mut() {
        daemon.signal("TERM");
        assert_eq!(daemon.wait(), Some(0), "the daemon had not ended by itself");
    }
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
