//! Decoding of documents in the users' store, which any program may have written.

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

/// A value of a type that few fields accept.
fn wrong_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        Just(json!([1])),
        Just(json!({ "a": 1 })),
        Just(json!(-1)),
    ]
}

#[test]
fn valid_entries() {
    assert!(is_upstream(&entry()));
    let mut without_start = entry();
    without_start.as_object_mut().map(|fields| fields.remove("born"));
    assert!(is_upstream(&without_start), "not every platform reports the start");
    let mut extended = entry();
    extended["note"] = json!("new");
    assert!(is_upstream(&extended), "unknown fields are ignored");
    let mut leaving = entry();
    leaving["state"] = json!("draining");
    assert!(parse_upstream(leaving.to_string().as_bytes()).is_ok_and(|upstream| upstream.leaving));
}

#[test]
fn every_field_is_required() {
    for field in FIELDS {
        let mut incomplete = entry();
        incomplete.as_object_mut().map(|fields| fields.remove(field));
        assert!(!is_upstream(&incomplete), "without {field}");
    }
}

proptest! {
    #![proptest_config(cases(500))]

    #[test]
    fn wrong_type_rejected(field in prop::sample::select(&FIELDS[..]), value in wrong_value()) {
        let mut invalid = entry();
        // A negative number is accepted as the remaining cold time.
        prop_assume!(field != "coldRemainingMs" || !value.is_number());
        invalid[field] = value;
        prop_assert!(!is_upstream(&invalid), "{}", invalid);
    }

    #[test]
    fn start_must_be_whole(value in prop_oneof![wrong_value(), Just(json!(1.5)), Just(json!("now"))]) {
        let mut invalid = entry();
        invalid["born"] = value;
        prop_assert!(!is_upstream(&invalid), "{}", invalid);
    }

    /// Arbitrary bytes, and documents that are truncated or have a flipped bit, don't cause a panic.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200), cut in 0_usize..200, flip in any::<usize>()) {
        prop_assert!(parse_upstream(&bytes).is_err());
        prop_assert!(parse_catalog(&bytes).is_err());
        for whole in [entry().to_string(), config().to_string()] {
            let mut bytes = whole.into_bytes();
            let index = flip % bytes.len();
            bytes[index] ^= 1 << (flip % 7);
            let prefix = &bytes[..cut.min(bytes.len())];
            drop(parse_upstream(prefix));
            drop(parse_catalog(prefix));
            drop(parse_upstream(&bytes));
            drop(parse_catalog(&bytes));
        }
    }
}
