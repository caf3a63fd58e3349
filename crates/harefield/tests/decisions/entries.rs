//! Documents of the users' store, of whoever wrote them.

use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::support::cases;
use harefield::platform::parse_catalog;
use harefield::platform::parse_upstream;

const FIELDS: [&str; 8] =
    ["service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence"];

fn entry() -> Value {
    json!({
        "service": "s", "address": "10.0.0.1:80", "zone": "z", "version": "v1", "slots": 2,
        "state": "ready", "coldRemainingMs": 0, "sequence": 4, "born": 1_765_000_000_000_u64,
    })
}

fn config() -> Value {
    json!({
        "version": 3, "services": [{ "name": "s", "connectionLimit": 26 }],
        "limits": { "headerBytes": 100, "bodyBytes": 100 },
        "routes": [{
            "name": "r", "host": "x", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 100,
            "fanoutServices": ["s", "t"], "attempts": 2, "resultLimit": 5, "oldestVersion": 0.5,
        }],
    })
}

fn is_upstream(entry: &Value) -> bool {
    parse_upstream(entry.to_string().as_bytes()).is_ok()
}

/// A value of some type, which few fields take.
fn other() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        Just(json!([1])),
        Just(json!({ "a": 1 })),
        Just(json!(-1)),
    ]
}

#[test]
fn good_entries_hold() {
    assert!(is_upstream(&entry()));
    let mut without_start = entry();
    without_start.as_object_mut().map(|fields| fields.remove("born"));
    assert!(is_upstream(&without_start), "not every platform says it");
    let mut more = entry();
    more["note"] = json!("new");
    assert!(is_upstream(&more), "fields that are not known yet");
    let mut leaving = entry();
    leaving["state"] = json!("draining");
    assert!(parse_upstream(leaving.to_string().as_bytes()).is_ok_and(|upstream| upstream.leaving));
}

#[test]
fn every_field_is_required() {
    for field in FIELDS {
        let mut lacking = entry();
        lacking.as_object_mut().map(|fields| fields.remove(field));
        assert!(!is_upstream(&lacking), "without {field}");
    }
}

proptest! {
    #![proptest_config(cases(500))]

    #[test]
    fn another_type_is_none(field in prop::sample::select(&FIELDS[..]), value in other()) {
        let mut spoiled = entry();
        // A start that is slow by less than nothing is a number all the same.
        prop_assume!(field != "coldRemainingMs" || !value.is_number());
        spoiled[field] = value;
        prop_assert!(!is_upstream(&spoiled), "{}", spoiled);
    }

    #[test]
    fn start_is_whole(value in prop_oneof![other(), Just(json!(1.5)), Just(json!("now"))]) {
        let mut spoiled = entry();
        spoiled["born"] = value;
        prop_assert!(!is_upstream(&spoiled), "{}", spoiled);
    }

    /// Bytes that are nothing, or a part of something, are read without a panic.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200), cut in 0_usize..200, flip in any::<usize>()) {
        prop_assert!(parse_upstream(&bytes).is_err());
        prop_assert!(parse_catalog(&bytes).is_err());
        for whole in [entry().to_string(), config().to_string()] {
            let mut bytes = whole.into_bytes();
            let place = flip % bytes.len();
            bytes[place] ^= 1 << (flip % 7);
            let part = &bytes[..cut.min(bytes.len())];
            drop(parse_upstream(part));
            drop(parse_catalog(part));
            drop(parse_upstream(&bytes));
            drop(parse_catalog(&bytes));
        }
    }
}
