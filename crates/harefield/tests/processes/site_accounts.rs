//! Client accounts in the users' environment: which requests are authorized, what upstreams see
//! of the account, and rate limits over the fleet.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::site_support::Answer;
use crate::site_support::Site;
use crate::site_support::routes;
use crate::site_support::send_request;
use crate::support::Daemon;
use crate::support::await_true;

fn account(name: &str, keys: &[&str]) -> Value {
    json!({ "name": name, "apiKeys": keys, "priority": 2, "ratePerS": 0, "burst": 0, "homeRegions": [] })
}

/// Starts a site with the accounts `apex` (`key-a`) and `birch` (`key-b`).
fn start() -> Site {
    let site = Site::start();
    publish(&site, 2, &[account("apex", &["key-a"]), account("birch", &["key-b"])]);
    site
}

/// Publishes accounts and waits until they are in force on all daemons.
fn publish(site: &Site, version: u64, accounts: &[Value]) {
    publish_routes(site, version, &routes(), accounts);
}

fn publish_routes(site: &Site, version: u64, routes: &[Value], accounts: &[Value]) {
    site.publish_for(version, routes, Some(accounts));
    let key = accounts.iter().find_map(|account| account["apiKeys"][0].as_str()).unwrap_or("none");
    let serves = |daemon: &Daemon| {
        let key_required = request_with(daemon, "/all/probe", "").status == 401;
        key_required && request_with(daemon, "/all/probe", &bearer(key)).status == 200
    };
    await_true("the version is in force", || site.daemons().all(serves));
}

fn bearer(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\n")
}

fn request_with(daemon: &Daemon, path: &str, headers: &str) -> Answer {
    let head = format!("Attempt-Id: r1\r\nDeadline-Remaining: 2000\r\n{headers}");
    send_request(daemon.addresses.callers, path, &head)
}

/// Returns the headers that upstreams received with the request `id`, one map for each run.
fn heads(site: &Site, id: &str) -> Vec<BTreeMap<String, Vec<String>>> {
    let all = site.upstreams.values().flat_map(standin::SignedSearcher::headers);
    all.filter(|head| head.get("attempt-id").is_some_and(|ids| ids == &[id.to_owned()])).collect()
}

#[test]
fn key_required() {
    let site = start();
    assert_eq!(request_with(&site.daemon, "/all/x", &bearer("key-a")).status, 200);
    let before = site.runs("r1");
    let refused = [
        ("no key", String::new()),
        ("an unknown key", bearer("key-x")),
        ("an empty key", bearer("")),
        ("another scheme", "Authorization: Basic key-a\r\n".to_owned()),
        ("no scheme", "Authorization: key-a\r\n".to_owned()),
        ("an overlong key", bearer(&"k".repeat(1000))),
        ("two keys", format!("{}{}", bearer("key-a"), bearer("key-b"))),
        ("the same key twice", format!("{}{}", bearer("key-a"), bearer("key-a"))),
        ("two keys in one", bearer("key-a, Bearer key-b")),
    ];
    for (what, headers) in refused {
        for path in ["/all/x", "/one/x", "/one/once/x"] {
            let answer = request_with(&site.daemon, path, &headers);
            assert_eq!(answer.status, 401, "{what} at {path}");
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(text.contains("HF1013") || text.contains("HF1014"), "{what}: {text}");
            assert!(!text.contains("key-"), "{what}: {text}");
        }
    }
    assert_eq!(site.runs("r1"), before, "nothing ran");
}

#[test]
fn scheme_any_case() {
    let site = start();
    for headers in ["authorization: bearer key-a\r\n", "AUTHORIZATION: BEARER key-a\r\n"] {
        assert_eq!(request_with(&site.daemon, "/one/x", headers).status, 200, "{headers}");
    }
}

/// Sends a request with the key of `apex` and forged account headers, and checks that upstreams
/// receive the true account and no key.
fn assert_account_sent(site: &Site, daemon: &Daemon, path: &str, id: &str) {
    let forged = "Tenant: birch\r\nTENANT: cedar\r\n";
    let head = format!("Attempt-Id: {id}\r\nDeadline-Remaining: 2000\r\n{}{forged}", bearer("key-a"));
    assert_eq!(send_request(daemon.addresses.callers, path, &head).status, 200, "{path}");
    let heads = heads(site, id);
    assert!(!heads.is_empty(), "{path} ran nowhere");
    for head in heads {
        assert_eq!(head.get("tenant"), Some(&vec!["apex".to_owned()]), "{path}: {head:?}");
        assert_eq!(head.get("authorization"), None, "{path}: {head:?}");
    }
}

#[test]
fn account_named_upstream() {
    let site = start();
    for path in ["/all/x", "/one/x", "/one/once/x"] {
        assert_account_sent(&site, &site.daemon, path, &path.replace('/', "-"));
    }
}

#[test]
fn account_named_by_members() {
    let site = Site::start_cells(3, 1);
    publish(&site, 2, &[account("apex", &["key-a"])]);
    for (number, daemon) in site.daemons().enumerate() {
        for path in ["/all/x", "/one/x"] {
            assert_account_sent(&site, daemon, path, &format!("m{number}{}", path.replace('/', "-")));
        }
    }
}

#[test]
fn public_without_key() {
    let site = Site::start();
    let mut routes = routes();
    routes[1]["public"] = json!(true);
    publish_routes(&site, 2, &routes, &[account("apex", &["key-a"])]);
    assert_eq!(request_with(&site.daemon, "/all/x", "").status, 401);
    let head = "Attempt-Id: p1\r\nDeadline-Remaining: 2000\r\nTenant: birch\r\n";
    assert_eq!(send_request(site.daemon.addresses.callers, "/one/x", head).status, 200);
    let heads = heads(&site, "p1");
    assert!(!heads.is_empty() && heads.iter().all(|head| !head.contains_key("tenant")), "{heads:?}");
    assert_eq!(request_with(&site.daemon, "/one/x", &bearer("key-x")).status, 401);
}

#[test]
fn key_taken_away() {
    let site = start();
    publish(&site, 3, &[account("birch", &["key-b"]), account("apex", &[])]);
    await_true("the key is refused", || request_with(&site.daemon, "/one/x", &bearer("key-a")).status == 401);
    // Removing the last key, and with it the last account, does not open access to all.
    site.publish_for(4, &routes(), Some(&[]));
    await_true("every key is refused", || {
        request_with(&site.daemon, "/one/x", &bearer("key-b")).status == 401
    });
    assert_eq!(request_with(&site.daemon, "/one/x", "").status, 401);
}

#[test]
fn key_moved() {
    let site = start();
    publish(&site, 3, &[account("birch", &["key-b", "key-a"]), account("apex", &["key-c"])]);
    let head = format!("Attempt-Id: v1\r\nDeadline-Remaining: 2000\r\n{}", bearer("key-a"));
    await_true("the key belongs to the other account", || {
        send_request(site.daemon.addresses.callers, "/one/x", &head);
        heads(&site, "v1").last().is_some_and(|head| head.get("tenant") == Some(&vec!["birch".to_owned()]))
    });
}

#[test]
fn newer_key_is_asked_for() {
    let site = Site::start_reading(2, "apply-ms = 30000\nwatch-ms = 20000\n");
    publish(&site, 2, &[account("apex", &["key-a"])]);
    for number in 0..4_u64 {
        let key = format!("key-{number}");
        site.publish_for(3 + number, &routes(), Some(&[account("apex", &["key-a", &key])]));
        for daemon in site.daemons() {
            assert_eq!(request_with(daemon, "/one/x", &bearer(&key)).status, 200, "{key}");
        }
    }
}

#[test]
fn keys_nowhere_shown() {
    let site = start();
    for key in ["key-a", "key-x"] {
        request_with(&site.daemon, "/all/x", &bearer(key));
    }
    let paths = ["/metrics", "/v1/status", "/v1/timeline", "/v1/resources/accounts"];
    for path in paths {
        let shown = send_request(site.daemon.addresses.operators, path, "");
        let text = String::from_utf8_lossy(&shown.body).into_owned();
        assert!(!text.contains("key-a") && !text.contains("key-x"), "{path}");
    }
    let listed = send_request(site.daemon.addresses.operators, "/v1/resources/accounts", "");
    assert_eq!(listed.status, 200);
    assert!(String::from_utf8_lossy(&listed.body).contains("accounts/apex"));
}

#[test]
fn without_accounts_unchanged() {
    let site = Site::start();
    let head = format!("Attempt-Id: w1\r\nDeadline-Remaining: 2000\r\nTenant: own\r\n{}", bearer("k"));
    assert_eq!(send_request(site.daemon.addresses.callers, "/one/x", &head).status, 200);
    let heads = heads(&site, "w1");
    assert_eq!(heads[0].get("tenant"), Some(&vec!["own".to_owned()]));
    assert_eq!(heads[0].get("authorization"), Some(&vec!["Bearer k".to_owned()]));
}

/// Settings by which limits are counted over two seconds, and the fleet may exceed them by a
/// quarter and four requests.
const LIMITS: &str = "[accounts]\nwindow-ms = 2000\noverage = 0.25\nslack = 4\n";

fn limited(name: &str, key: &str, rate: f64, burst: f64) -> Value {
    let mut account = account(name, &[key]);
    account["ratePerS"] = json!(rate);
    account["burst"] = json!(burst);
    account
}

/// Starts daemons that share the limits of the accounts `apex` and `birch`, each 10 requests a
/// second with a burst of 5.
fn start_limited(count: usize) -> Site {
    let site = Site::start_with(count, LIMITS);
    let accounts = [limited("apex", "key-a", 10.0, 5.0), limited("birch", "key-b", 10.0, 5.0)];
    site.publish_for(2, &routes(), Some(&accounts));
    // A daemon holds its part of the limits once it knows the others, 3 s after its start.
    std::thread::sleep(Duration::from_millis(3500));
    let granted = |daemon: &Daemon| request_with(daemon, "/one/probe", &bearer("key-a")).status == 200;
    await_true("the limits are distributed", || site.daemons().all(granted));
    site
}

/// Sends requests with a key for some time, to each daemon in turn; returns the answers with
/// their response times.
fn flood(site: &Site, key: &str, time: Duration, pause: Duration) -> Vec<(Duration, Answer)> {
    let start = Instant::now();
    let mut answers = Vec::new();
    for (number, daemon) in (0..).flat_map(|_| site.daemons()).enumerate() {
        if start.elapsed() >= time {
            break;
        }
        let sent = Instant::now();
        let head = format!("Attempt-Id: {key}-{number}\r\nDeadline-Remaining: 2000\r\n{}", bearer(key));
        let answer = send_request(daemon.addresses.callers, "/one/x", &head);
        answers.push((sent.elapsed(), answer));
        std::thread::sleep(pause);
    }
    answers
}

/// Returns the maximum number of runs for a key within any two seconds.
fn peak_runs(site: &Site, key: &str) -> usize {
    let arrivals = site.upstreams["i-one"].arrivals();
    let times: Vec<Instant> =
        arrivals.into_iter().filter(|(_, id)| id.starts_with(key)).map(|(at, _)| at).collect();
    let within = |first: &Instant| times.iter().filter(|at| **at >= *first && **at < *first + WINDOW).count();
    times.iter().map(within).max().unwrap_or(0)
}

const WINDOW: Duration = Duration::from_secs(2);

#[test]
fn limit_over_fleet() {
    let site = start_limited(3);
    let answers = flood(&site, "key-a", Duration::from_secs(5), Duration::from_millis(2));
    let served = answers.iter().filter(|(_, answer)| answer.status == 200).count();
    let refused: Vec<_> = answers.iter().filter(|(_, answer)| answer.status == 429).collect();
    assert_eq!(served + refused.len(), answers.len(), "every answer is 200 or 429");
    // (10 a second over 2 s and a burst of 5) plus a quarter, plus 4.
    assert!(peak_runs(&site, "key-a") <= 35, "{} within a window", peak_runs(&site, "key-a"));
    // No request within the limit is refused: 10 a second over 5 s.
    assert!(served >= 50, "{served} served");
    for (took, answer) in &refused {
        assert!(*took < Duration::from_millis(500), "{took:?}");
        let wait: f64 = answer.header("retry-after").parse().expect("the answer has a retry time");
        assert!(wait > 0.0 && wait <= 2.0, "{wait}");
    }
}

#[test]
fn limit_after_restarts() {
    // All daemons are killed in the middle of a window. Their parts of the limits must start
    // empty, or the window would exceed the limit.
    let mut site = start_limited(3);
    flood(&site, "key-a", Duration::from_millis(600), Duration::from_millis(2));
    site.restart_all_with("", LIMITS);
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        flood(&site, "key-a", Duration::from_millis(500), Duration::from_millis(2));
    }
    assert!(peak_runs(&site, "key-a") <= 35, "{} within a window", peak_runs(&site, "key-a"));
    assert!(
        request_with(&site.daemon, "/one/x", &bearer("key-b")).status == 200,
        "requests are served again"
    );
}

#[test]
fn others_undisturbed() {
    let site = start_limited(3);
    std::thread::scope(|scope| {
        scope.spawn(|| flood(&site, "key-a", Duration::from_secs(4), Duration::ZERO));
        let answers = flood(&site, "key-b", Duration::from_secs(4), Duration::from_millis(150));
        let slowest = answers.iter().map(|(took, _)| *took).max();
        let refused = answers.iter().filter(|(_, answer)| answer.status != 200).count();
        assert_eq!(refused, 0, "of {}", answers.len());
        assert!(slowest < Some(Duration::from_millis(500)), "{slowest:?}");
    });
}

#[test]
fn falling_limit() {
    let site = start_limited(2);
    flood(&site, "key-a", Duration::from_secs(1), Duration::from_millis(5));
    let accounts = [limited("apex", "key-a", 1.0, 1.0), limited("birch", "key-b", 10.0, 5.0)];
    site.publish_for(3, &routes(), Some(&accounts));
    // The new limit is in force within 3 s and applies in full one window later.
    std::thread::sleep(Duration::from_secs(3) + WINDOW);
    let answers = flood(&site, "key-a", Duration::from_secs(4), Duration::from_millis(5));
    let served = answers.iter().filter(|(_, answer)| answer.status == 200).count();
    // Twice (1 a second over 2 s and a burst of 1) plus a quarter, plus 4.
    assert!((4..=15).contains(&served), "{served} served");
}
