//! Client accounts: their keys, and the parts of their limits with their holders.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use serde_json::json;

use crate::support::after;
use crate::support::cases;
use crate::support::items;
use crate::support::row;
use crate::support::values;
use harefield::domain::accounts::Directory;
use harefield::domain::accounts::FleetLimit;
use harefield::domain::accounts::GrantResponse;
use harefield::domain::accounts::Grants;
use harefield::domain::accounts::Holders;
use harefield::domain::accounts::Identity;
use harefield::domain::accounts::Overage;
use harefield::domain::accounts::Reserve;
use harefield::domain::accounts::UnknownKeyAction;
use harefield::domain::accounts::UnknownKeys;
use harefield::domain::code::Code;
use harefield::domain::feed::Change;
use harefield::domain::key::Credential;
use harefield::domain::key::KeyDigest;
use harefield::domain::key::MAX_KEY_BYTES;
use harefield::domain::membership::PeerState;
use harefield::domain::query::Claims;
use harefield::domain::residency::intersect;
use harefield::domain::resources::Account;
use harefield::domain::resources::ResourceSet;
use harefield::domain::time::millis;

const OVERAGE: Overage = Overage { window: Duration::from_secs(5), share: 0.25, slack: 20.0 };

fn account(rate: f64, burst: f64) -> Account {
    Account { rate, burst, ..Account::default() }
}

fn digest(key: &str) -> String {
    KeyDigest::of(key.as_bytes()).hex()
}

/// Returns a resource set with accounts of one key each.
fn set(accounts: &[(&str, &str)]) -> Result<ResourceSet, Vec<harefield::domain::resources::ResourceError>> {
    let mut all = values(1, 1, &[1]);
    for (name, key) in accounts {
        all.insert(format!("accounts/{name}"), json!({ "keys": [digest(key)] }));
    }
    ResourceSet::parse(&items(all))
}

#[test]
fn key_identifies_account() {
    let directory = Directory::new(&set(&[("apex", "a"), ("birch", "b")]).expect("it is valid"), false);
    let name = |key: &str, public| match directory.identify(Credential::from_key(key.as_bytes()), public) {
        Identity::Known(client) => client.name.to_string(),
        Identity::Anyone(requester) => format!("anyone, open {}", requester.is_open()),
        Identity::Missing => "missing".to_owned(),
        Identity::Unknown(_) => "unknown".to_owned(),
    };
    assert_eq!([name("a", false), name("b", true), name("c", false)], ["apex", "birch", "unknown"]);
    assert_eq!([name("", false), name("", true)], ["missing", "anyone, open false"]);
    assert_eq!(name(&"a".repeat(MAX_KEY_BYTES + 1), true), "missing");
    assert_eq!(name("c", true), "unknown", "a key that is sent must be valid");
    let open = Directory::new(&set(&[]).expect("it is valid"), false);
    assert!(
        matches!(open.identify(Credential::Malformed, false), Identity::Anyone(requester) if requester.is_open())
    );
    let required = Directory::new(&set(&[]).expect("it is valid"), true);
    assert!(matches!(required.identify(Credential::Missing, false), Identity::Missing));
}

#[test]
fn key_not_shown() {
    let key = KeyDigest::of(b"secret");
    let claims = Claims(vec![("authorization".into(), "Bearer secret".into())]);
    let account = Account { keys: vec![key], ..Account::default() };
    let shown = format!("{key:?} {claims:?} {:?} {account:?}", Credential::Key(key));
    assert!(!shown.contains(&key.hex()) && !shown.contains("secret"), "{shown}");
    // An error must not repeat a key that was published in place of its digest.
    let mut all = values(1, 1, &[1]);
    all.insert("accounts/apex".to_owned(), json!({ "keys": ["secret"] }));
    let errors = ResourceSet::parse(&items(all)).expect_err("it is not a digest");
    assert_eq!(errors[0].code, Code::ResourceMalformed);
    assert!(!errors[0].detail.contains("secret"), "{}", errors[0].detail);
}

#[test]
fn shared_key_rejected() {
    let errors = set(&[("apex", "a"), ("birch", "a")]).expect_err("two accounts list the key");
    assert_eq!((errors[0].code, &*errors[0].key), (Code::ResourceDuplicate, "accounts/birch"));
    assert!(!errors[0].detail.contains(&digest("a")));
    let one = set(&[("apex", "a")]).expect("it is valid");
    let change = Change {
        key: "accounts/birch".into(),
        value: Some(json!({ "keys": [digest("a")] }).to_string().into()),
    };
    assert_eq!(one.apply(&[change]).expect_err("two accounts list the key")[0].code, Code::ResourceDuplicate);
}

#[test]
fn regions_intersect() {
    let regions = |names: &[&str]| names.iter().map(|name| Arc::from(*name)).collect::<Arc<[Arc<str>]>>();
    let common = |one: &[&str], other: &[&str]| intersect(&regions(one), &regions(other));
    assert_eq!(common(&[], &["n"]), Some(regions(&["n"])));
    assert_eq!(common(&["n", "s"], &["s", "w"]), Some(regions(&["s"])));
    assert_eq!(common(&["n"], &["s"]), None);
    assert_eq!(common(&[], &[]), Some(regions(&[])));
}

#[test]
fn unknown_checked_once() {
    let mut keys = UnknownKeys::default();
    let key = KeyDigest::of(b"x");
    assert_eq!(keys.begin(&key), UnknownKeyAction::Query);
    keys.end();
    keys.remember(key);
    assert_eq!(keys.begin(&key), UnknownKeyAction::Refuse);
    keys.clear();
    assert_eq!(keys.begin(&key), UnknownKeyAction::Query);
    for number in 0..100_u32 {
        keys.begin(&KeyDigest::of(&number.to_le_bytes()));
    }
    assert_eq!(keys.begin(&KeyDigest::of(b"y")), UnknownKeyAction::Busy);
}

#[test]
fn restart_starts_empty() {
    // What the previous process granted is unknown, so the part must start empty.
    let start = Instant::now();
    let limit = FleetLimit::of(&account(10.0, 60.0), &OVERAGE).expect("it has a limit").part(6);
    let mut grants = Grants::new(start);
    let slot = ("apex".into(), 0);
    assert!(matches!(grants.grant(&slot, limit, 1, start), GrantResponse::Empty(_)));
    assert_eq!(grants.grant(&slot, limit, 1, after(start, 700)), GrantResponse::Granted(1));
}

#[test]
fn retries_spread() {
    // Rejected callers must not all retry at the same time.
    let start = Instant::now();
    let limit = FleetLimit::of(&account(60.0, 0.0), &OVERAGE).expect("it has a limit").part(6);
    let mut grants = Grants::new(start);
    let slot = ("apex".into(), 0);
    let waits: Vec<Duration> = (0..5)
        .filter_map(|_| match grants.grant(&slot, limit, 1, start) {
            GrantResponse::Empty(wait) => Some(wait),
            GrantResponse::Granted(_) => None,
        })
        .collect();
    assert!(waits.len() == 5 && waits.windows(2).all(|pair| pair[1] >= pair[0] + Duration::from_millis(99)));
    // A caller that retries at its assigned time is served.
    assert_eq!(grants.grant(&slot, limit, 1, start + waits[0]), GrantResponse::Granted(1));
}

#[test]
fn retry_too_early() {
    // Waits are sent in whole milliseconds. One that is rounded down ends before there is a permit.
    for rate in [7.0, 11.0, 13.0, 70.0, 130.0] {
        let start = Instant::now();
        let limit = FleetLimit::of(&account(rate, 5.0), &OVERAGE).expect("it has a limit").part(6);
        let mut grants = Grants::new(start);
        let slot = ("apex".into(), 0);
        let mut rejected = || match grants.grant(&slot, limit, 1, start) {
            GrantResponse::Empty(wait) => Duration::from_millis(millis(wait)),
            GrantResponse::Granted(_) => panic!("the part starts empty"),
        };
        for wait in [rejected(), rejected()] {
            let response = grants.grant(&slot, limit, 1, start + wait);
            assert_eq!(response, GrantResponse::Granted(1), "{rate} a second, after {wait:?}");
        }
    }
}

#[test]
fn full_buckets_dropped() {
    let start = Instant::now();
    let limit = FleetLimit::of(&account(10.0, 10.0), &OVERAGE).expect("it has a limit").part(6);
    let mut grants = Grants::new(start);
    for number in 0..10_000_u32 {
        grants.grant(&(format!("a{number}").into(), 0), limit, 1, after(start, 30_000 + u64::from(number)));
    }
    assert!(grants.bucket_count() < 4000, "{}", grants.bucket_count());
    let held = grants.grant(&("a1".into(), 0), limit, 100, after(start, 60_000));
    let fresh = Grants::new(start).grant(&("a1".into(), 0), limit, 100, after(start, 60_000));
    assert_eq!(held, fresh, "a new bucket is as full");
}

#[test]
fn permits_expire() {
    let start = Instant::now();
    let mut reserve = Reserve::default();
    reserve.add(3, start);
    assert!(reserve.take(after(start, 199)).is_some());
    assert!(reserve.take(after(start, 200)).is_none());
    // A released permit keeps its expiry time.
    reserve.add(1, after(start, 1000));
    let until = reserve.take(after(start, 1000)).expect("it was put");
    reserve.release(until);
    assert!(reserve.take(after(start, 1200)).is_none());
}

#[test]
fn new_daemons_unsettled() {
    // A daemon that keeps learning of new daemons in its zone does not know the zone yet. Changes
    // of state, and new daemons in other zones, must not count.
    let start = Instant::now();
    let mut holders = Holders::new(&["a", "b"].map(Arc::from), &"a".into());
    assert!(holders.unsettled_for(start).is_some(), "it knows no other daemon");
    for number in 0..4 {
        let rows: Vec<_> = (0..=number).map(|n| row(n, "a")).collect();
        holders.update(&rows, after(start, 500 * number as u64));
    }
    assert_eq!(holders.unsettled_for(after(start, 1600)), Some(Duration::from_millis(1100)));
    let mut rows: Vec<_> = (0..4).map(|n| row(n, "a")).collect();
    rows[2].state = PeerState::Suspect;
    rows.push(row(9, "b"));
    holders.update(&rows, after(start, 2600));
    assert_eq!(holders.unsettled_for(after(start, 2700)), None);
}

#[test]
fn partitioned_takes_nothing() {
    // A daemon that is partitioned off, so that no other answers, must still assign parts to the
    // others as before.
    let start = Instant::now();
    let zones: Vec<Arc<str>> = vec!["a".into(), "b".into(), "c".into()];
    let rows: Vec<_> = (0..30).map(|n| row(n, &zones[n % 3])).collect();
    let mut holders = Holders::new(&zones, &zones[0]);
    holders.update(&rows, start);
    let slots: Vec<_> = (0..40).map(|n| (format!("account-{n}").into(), n % 6)).collect();
    let held =
        |holders: &Holders, now| -> Vec<_> { slots.iter().map(|slot| holders.holder(slot, now)).collect() };
    let before = held(&holders, start);
    let mut cut = rows.clone();
    cut.iter_mut().skip(1).for_each(|row| row.state = PeerState::Suspect);
    holders.update(&cut, start);
    assert_eq!(held(&holders, after(start, 100_000)), before);
    // A zone whose other daemons are all gone for good is replaced in the end.
    assert_ne!(held(&holders, after(start, 121_000)), before);
    // A single daemon that is gone for long is replaced, and gets its parts back when it returns.
    let mut one = rows.clone();
    let gone = before[0].clone().expect("it has a holder");
    one.iter_mut().filter(|row| row.host == gone).for_each(|row| row.state = PeerState::Suspect);
    holders.update(&rows, after(start, 130_000));
    holders.update(&one, after(start, 130_000));
    assert_eq!(held(&holders, after(start, 144_000)), before);
    assert_ne!(held(&holders, after(start, 146_000))[0], before[0]);
    holders.update(&rows, after(start, 150_000));
    assert_eq!(held(&holders, after(start, 150_000)), before);
}

proptest! {
    #![proptest_config(cases(256))]

    /// The bound holds even if one part in six has two holders and permits are used late.
    #[test]
    fn parts_within_bound(rate in 0.1..5000.0_f64, burst in 0.0..5000.0_f64, slack in 0.0..50.0_f64) {
        let overage = Overage { slack, ..OVERAGE };
        let limit = FleetLimit::of(&account(rate, burst), &overage).expect("it has a limit");
        let parts = limit.parts(6);
        let part = limit.part(parts);
        let within = |seconds: f64| part.burst + part.rate * seconds;
        let allowed = (rate * 5.0 + burst) * 1.25 + slack;
        let given = within(5.2) * f64::from(parts);
        prop_assert!(given <= allowed, "{given} of {allowed} in {parts} parts");
        if parts == 6 {
            prop_assert!(given + within(5.2) <= allowed, "with one doubled: {given} of {allowed}");
        }
        // The parts together grant the whole limit.
        prop_assert!(part.burst * f64::from(parts) >= burst && part.rate * f64::from(parts) >= rate * 0.999);
    }
}
