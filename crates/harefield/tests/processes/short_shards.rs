//! Requests for shards that another daemon reports as busy: refused before any upstream is queried,
//! or answered without these shards.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::ReplyMode;
use standin::SignedSearcher;
use standin::upstream_entry;

use harefield::domain::event::Event;
use harefield::domain::event::Record;
use harefield::domain::outcome::Gap;

use crate::site_support::Answer;
use crate::site_support::Site;
use crate::site_support::begin;
use crate::site_support::request_at;
use crate::support::await_true;

const SCHEDULED: &str = "[scheduling]\nenabled = true\nmin-shards = 3\n[events]\ndetail-every = 1\n\
    [host.regions]\nhall = \"r1\"\nbarn = \"r2\"\nyard = \"r3\"\n";

/// What a caller waits beyond a Retry-After, so that a slow machine doesn't make its request late.
const SLACK: Duration = Duration::from_millis(250);

fn route(name: &str, objective: u64, least_share: f64) -> Value {
    json!({
        "name": name, "host": "x.example", "pathPrefix": format!("/{name}/"), "kind": "safe",
        "timeoutMs": 5000, "targetLatencyMs": objective, "priority": 1, "attempts": 2,
        "fanoutServices": ["s1", "s2", "s3"], "resultLimit": 4, "oldestVersion": least_share,
    })
}

/// Starts two daemons in one region, and replicas of three shards in each of three; returns the
/// service of a shard that the second daemon carries.
fn start() -> (Site, String) {
    let (mut site, mut carried) = (Site::start_with(2, SCHEDULED), None);
    for (service, zone) in ["s1", "s2", "s3"].iter().flat_map(|s| [(s, "barn"), (s, "yard")]) {
        let id = format!("i-{service}-{zone}");
        site.add(service, &id, &[9, 1]);
        let upstream = &site.upstreams[&id];
        site.store.put(&upstream.key(), Some(&upstream_entry(upstream.address(), zone, service, "ready")));
    }
    site.publish(2, &[route("all", 300, 0.6), route("whole", 300, 1.0), route("long", 2500, 1.0)]);
    let sent = |record: &Record| match &record.event {
        Event::Sent { shard, .. } => shard.split('/').next().map(str::to_owned),
        _ => None,
    };
    await_true("the second daemon carries a shard", || {
        request_at(&site.daemon, "/whole/x", "start", 2000);
        carried = site.others[0].timeline("kind=sent&request=start").iter().find_map(sent);
        carried.is_some()
    });
    (site, carried.expect("the second daemon carries a shard"))
}

fn of_service<'a>(site: &'a Site, service: &str) -> impl Iterator<Item = &'a SignedSearcher> {
    let prefix = format!("i-{service}");
    site.upstreams.values().filter(move |upstream| upstream.id().starts_with(&prefix))
}

fn set_delay(site: &Site, service: &str, millis: u64) {
    let delay = Duration::from_millis(millis);
    of_service(site, service).for_each(|upstream| upstream.set_mode(ReplyMode::Good, delay));
}

/// Keeps requests waiting at the second daemon, and sends requests to the first one until an answer
/// is as wanted; returns it with the id of its request.
fn overload(site: &Site, path: &str, wanted: impl Fn(&Answer, &str) -> bool) -> (Answer, String) {
    let (mut number, mut found, mut callers) = (0, None, Vec::new());
    await_true("a request has the wanted answer", || {
        number += 1;
        callers.extend((0..8).map(|at| begin(&site.others[0], "/long/x", &format!("c{number}-{at}"))));
        callers.drain(..callers.len().saturating_sub(16));
        let id = format!("p{number}");
        let answer = request_at(&site.daemon, path, &id, 2000);
        found = wanted(&answer, &id).then_some((answer, id));
        found.is_some()
    });
    found.expect("an answer was found")
}

/// Guards against a request that is refused after a part of it has run, and against a Retry-After
/// at which the caller is refused again.
#[test]
fn refused_then_served() {
    let (site, slow) = start();
    set_delay(&site, &slow, 100);
    let is_refused = |answer: &Answer, _: &str| String::from_utf8_lossy(&answer.body).contains("HF2020");
    let (answer, id) = overload(&site, "/whole/x", is_refused);
    assert_eq!(answer.status, 503);
    let wait: f64 = answer.header("retry-after").parse().expect("a Retry-After in seconds");
    assert!(wait > 0.0 && wait <= 2.0, "{wait}: at most 2 s are promised");
    set_delay(&site, &slow, 0);
    std::thread::sleep(Duration::from_secs_f64(wait) + SLACK);
    let again = request_at(&site.daemon, "/whole/x", "again", 2000);
    assert_eq!((again.status, again.header("missing-parts")), (200, "0"), "{:?}", again.body);
    assert_eq!(site.runs(&id), 0, "the refused request was sent to no upstream");
}

/// Guards against shards that are queried although their answer cannot be in time, and against a
/// wrong reason in the coverage.
#[test]
fn left_out() {
    let (site, slow) = start();
    set_delay(&site, &slow, 100);
    let events = |id: &str, kind: &str| site.daemon.timeline(&format!("request={id}&kind={kind}"));
    let (answer, id) = overload(&site, "/all/x", |_, id| {
        // The time line shows a request shortly after its answer.
        std::thread::sleep(Duration::from_millis(100));
        !events(id, "left-out").is_empty()
    });
    assert_eq!((answer.status, answer.header("missing-parts")), (200, "1"));
    let missing = events(&id, "shard-missing").into_iter().map(|record| record.event).collect::<Vec<_>>();
    let shard = format!("{slow}/all").into();
    assert_eq!(missing, [Event::ShardMissing { shard, why: Gap::Overloaded, ran: false }]);
    assert!(of_service(&site, &slow).all(|upstream| !upstream.runs().contains(&id)));
}
