//! Measures what authentication by key and a rate limit cost per request, with ten thousand
//! accounts; prints nanoseconds.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use harefield::domain::accounts::Directory;
use harefield::domain::accounts::FleetLimit;
use harefield::domain::accounts::Grants;
use harefield::domain::accounts::Identity;
use harefield::domain::accounts::Overage;
use harefield::domain::accounts::Reserve;
use harefield::domain::key::Credential;
use harefield::domain::resources::ResourceSet;

const ACCOUNTS: u32 = 10_000;

/// How often each operation is run.
const ROUNDS: u32 = 1_000_000;

fn main() {
    let key = |number: u32| format!("key-of-account-{number:05}");
    let values: Vec<_> = (0..ACCOUNTS)
        .map(|number| {
            let Credential::Key(digest) = Credential::from_key(key(number).as_bytes()) else {
                unreachable!()
            };
            let value = format!("{{\"keys\": [\"{}\"], \"rate\": 100, \"burst\": 100}}", digest.hex());
            (format!("accounts/account-{number:05}").into(), value.into())
        })
        .collect();
    let set =
        ResourceSet::parse(values.iter().map(|(key, value)| (key, value))).expect("the accounts are valid");
    let directory = Directory::new(&set, false);
    let presented: Vec<String> = (0..ACCOUNTS).step_by(97).map(key).collect();
    let identify = measure(|round| {
        let key = &presented[usize::try_from(round).unwrap_or(0) % presented.len()];
        black_box(directory.identify(Credential::from_key(key.as_bytes()), false));
    });
    let Identity::Known(client) = directory.identify(Credential::from_key(key(0).as_bytes()), false) else {
        unreachable!("the account exists")
    };
    let start = Instant::now();
    let mut reserve = Reserve::default();
    let local = measure(|_| {
        reserve.add(1, start);
        reserve.count_request(start);
        black_box(reserve.take(start));
    });
    let mut grants = Grants::new(start);
    let slot = (Arc::clone(&client.name), 0);
    let granted = measure(|round| {
        let limit =
            FleetLimit::of(&client.account, &Overage::default()).expect("the account has a limit").part(6);
        let now = start + Duration::from_micros(u64::from(round) * 100);
        black_box(grants.grant(&slot, limit, 1, now));
    });
    println!("key {identify} ns, local permit {local} ns, granted permit {granted} ns");
}

/// Returns the mean time of one run, in nanoseconds.
fn measure(mut operation: impl FnMut(u32)) -> u128 {
    let start = Instant::now();
    (0..ROUNDS).for_each(&mut operation);
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}
