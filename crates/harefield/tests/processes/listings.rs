//! The readers of both platforms by themselves, over any keys and page sizes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use prometheus_client::metrics::gauge::Gauge;
use proptest::prelude::*;
use serde_json::json;
use standin::Platform as NativePlatform;
use standin::SiteStore;
use standin::upstream_entry;

use harefield::adapters::http::Traffic;
use harefield::adapters::platform::HttpPlatform;
use harefield::platform::HttpStore;
use harefield::ports::Listing;
use harefield::ports::Platform;
use harefield::ports::Space;

/// The users' limit on a key, in bytes.
const MAX_KEY: usize = 200;

/// A name that an upstream may have.
fn sound_name() -> impl Strategy<Value = String> {
    "[A-Za-z0-9._~:-]{1,30}"
}

/// Any name; some begin as an upstream's, so that they stand among them.
fn any_name() -> impl Strategy<Value = String> {
    let text = prop_oneof![
        any::<String>(),
        "[a-z]{0,3}[ #&+%\"\\\\/=?\u{1}\u{7f}\r\n\u{e9}\u{e000}\u{1f600}]{1,4}[a-z0-9]{0,3}",
        "a&after=servers/[~a-z]{1,3}",
        "%[0-9a-f]{2}[a-z]{0,3}",
    ];
    (prop_oneof![Just(String::new()), sound_name()], text).prop_map(|(start, text)| {
        let mut name = start + &text;
        let limit = MAX_KEY - "servers/".len();
        while name.len() > limit {
            name.pop();
        }
        name
    })
}

fn list(store: &SiteStore) -> Listing {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let reader = HttpStore::new(Rc::clone(&executor), Traffic::default(), Gauge::default());
    let listing = reader.list(store.address(), Space::Config);
    async_io::block_on(executor.run(listing)).expect("the listing ends")
}

#[test]
fn native_pages() {
    // Each value fills a page of its own, so that the next one begins with its key.
    let platform = NativePlatform::start(&[SocketAddr::from(([127, 0, 0, 1], 0))]);
    let keys = ["a b", "a#b", "a%62", "a&b=c", "a+b", "a\u{e9}", "hosts/127.0.0.1:80"];
    let large = json!("x".repeat(600_000));
    platform.publish("hosts", keys.iter().map(|key| ((*key).to_owned(), Some(large.clone()))).collect());
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let reader = HttpPlatform::new(Rc::clone(&executor), Traffic::default());
    let listing = reader.list(platform.replicas()[0], Space::Hosts);
    let listing = async_io::block_on(executor.run(listing)).expect("the listing ends");
    let found: Vec<&str> = listing.items.keys().map(|key| &**key).collect();
    assert_eq!(found, keys);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sound_entries_once(
        sound in proptest::collection::btree_set(sound_name(), 0..12),
        odd in proptest::collection::btree_map(any_name(), any::<bool>(), 0..30),
        page in 1_usize..8,
    ) {
        let store = SiteStore::start();
        store.set_page_items(Some(page));
        store.put("op/config", Some(&json!({ "version": 1, "routes": [] })));
        let entry = upstream_entry(([127, 0, 0, 1], 80).into(), "hall", "one", "ready");
        // A sound value makes no upstream of an entry whose key is none's.
        let odd: BTreeMap<&String, &bool> = odd.iter().filter(|(name, _)| !sound.contains(*name)).collect();
        for (name, has_entry) in &odd {
            let is_sound_name = !name.is_empty()
                && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte));
            let value = if **has_entry && !is_sound_name { entry.clone() } else { json!({ "note": "copy" }) };
            store.put(&format!("servers/{name}"), Some(&value));
        }
        for name in &sound {
            store.put(&format!("servers/{name}"), Some(&entry));
        }
        let listing = list(&store);
        let found: BTreeSet<String> =
            listing.items.keys().filter_map(|key| key.strip_prefix("upstreams/")).map(str::to_owned).collect();
        prop_assert_eq!(found, sound.clone());
        let pages = 1 + (sound.len() + odd.len()).div_ceil(page).max(1);
        prop_assert!(store.page_count() <= pages, "{} pages read of {}", store.page_count(), pages);
    }
}
