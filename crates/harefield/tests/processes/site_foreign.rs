//! Entries of other writers in the users' store: they are ignored, and the valid entries stay in
//! use. Earlier, entries without `zone`, without `slots` or with a word as `born` were taken for
//! upstreams and got requests.

use serde_json::Value;
use serde_json::json;
use standin::SignedSearcher;

use crate::site_support::Site;
use crate::site_support::known_upstreams;
use crate::support::await_true;

/// Makes an upstream's entry invalid.
type Corruption = fn(&mut Value);

const CORRUPTIONS: [(&str, Corruption); 13] = [
    ("no zone", |entry| drop(entry.as_object_mut().map(|fields| fields.remove("zone")))),
    ("no slots", |entry| drop(entry.as_object_mut().map(|fields| fields.remove("slots")))),
    ("no state", |entry| drop(entry.as_object_mut().map(|fields| fields.remove("state")))),
    ("no version", |entry| drop(entry.as_object_mut().map(|fields| fields.remove("version")))),
    ("no sequence", |entry| drop(entry.as_object_mut().map(|fields| fields.remove("sequence")))),
    ("born as a word", |entry| entry["born"] = json!("yesterday")),
    ("born as a fraction", |entry| entry["born"] = json!(1.5)),
    ("slots as a string", |entry| entry["slots"] = json!("2")),
    ("zero slots", |entry| entry["slots"] = json!(0)),
    ("zone as a number", |entry| entry["zone"] = json!(3)),
    ("an unknown state", |entry| entry["state"] = json!("resting")),
    ("port 0", |entry| entry["address"] = json!("10.0.0.1:0")),
    ("a list", |entry| *entry = json!(["s1"])),
];

#[test]
fn entries_of_others() {
    let mut site = Site::start();
    let foreign: Vec<(&str, SignedSearcher)> = CORRUPTIONS
        .iter()
        .enumerate()
        .map(|(number, (name, corrupt))| {
            let upstream = SignedSearcher::start(&format!("i-foreign-{number}"), &[5, 5]);
            let mut entry = upstream.entry("one", "ready");
            corrupt(&mut entry);
            site.store.put(&upstream.key(), Some(&entry));
            (*name, upstream)
        })
        .collect();
    // A valid entry written after them shows that they were read.
    site.add("one", "i-later", &[5, 5]);
    let later = |site: &Site| site.request("/one/x", "r").header("server-seal").starts_with("i-later");
    await_true("the upstream of the later entry is used", || later(&site));
    for number in 0..60 {
        assert_eq!(site.request("/one/x", &format!("q{number}")).status, 200);
        assert_eq!(site.request("/all/x", &format!("a{number}")).header("missing-parts"), "0");
    }
    for (name, upstream) in &foreign {
        assert!(upstream.runs().is_empty(), "{name}: the upstream got requests");
    }
    let known: Vec<String> =
        known_upstreams(&site.daemon).into_iter().filter(|name| name.contains("foreign")).collect();
    assert!(known.is_empty(), "{known:?} are treated as upstreams");
    assert!(site.has_metric("harefield_entries_left_out 13"), "ignored entries are counted");
}

#[test]
fn overwritten_entry() {
    // An upstream whose entry was overwritten by another writer is removed until it writes its
    // entry again.
    let mut site = Site::start();
    site.add("one", "i-other", &[5, 5]);
    let knows = |name: &str| known_upstreams(&site.daemon).iter().any(|held| held == name);
    await_true("both upstreams are known", || knows("i-other") && knows("i-one"));
    let upstream = &site.upstreams["i-other"];
    site.store.put(&upstream.key(), Some(&json!({ "service": "one", "note": "mine" })));
    await_true("the overwritten upstream is removed", || !knows("i-other"));
    assert!(knows("i-one"), "the other upstream stays");
    site.store.put(&upstream.key(), Some(&upstream.entry("one", "ready")));
    await_true("the upstream is known again", || knows("i-other"));
}
