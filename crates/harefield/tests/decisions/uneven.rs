//! A model of three regions that share the replicas of some shards, of which three in ten become
//! six times slower.
//!
//! The load: each shard has one replica with two slots in each region, and one daemon in each
//! region sends fourteen requests a second for it. Upstreams are first come, first served.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use crate::scheduled::first;
use crate::scheduled::scheduled_router;
use crate::scheduled::scheduled_view;
use crate::support::at;
use crate::support::replica;
use harefield::domain::ids::UpstreamId;
use harefield::domain::ratio;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::ChoiceRequest;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;

const REGIONS: usize = 3;

const SHARDS: usize = 10;

const SLOTS: usize = 2;

/// The work of a request, in milliseconds, and how much longer slow replicas take.
const WORK_MS: u64 = 28;
const SLOWER: u64 = 6;

/// The time of a message between regions.
const ONE_WAY_MS: u64 = 8;

const OBJECTIVE_MS: u64 = 300;

/// The time between two requests of a region for a shard.
const INTERVAL_MS: u64 = 70;

/// The slow replicas: two of shard 0, all of shard 1, and four of single shards, nine of thirty.
const SLOW: [(usize, usize); 9] = [(0, 0), (0, 1), (1, 0), (1, 1), (1, 2), (2, 0), (3, 1), (4, 2), (5, 0)];

/// A request for one shard.
#[derive(Clone)]
struct Request {
    region: usize,
    shard: usize,
    created: u64,
}

/// A request at a replica.
struct Flight {
    request: Request,
    target: usize,
    sent: u64,
    back: u64,
}

#[derive(Default)]
struct Site {
    /// When each slot of each replica is free.
    free: BTreeMap<(usize, usize), [u64; SLOTS]>,
    flying: Vec<Flight>,
    waiting: Vec<Request>,
    /// What was sent after the learning time, by shard and replica.
    sent: BTreeMap<(usize, usize), usize>,
    /// The requests that ended after their objective; shard 1 cannot serve all of its own.
    late: usize,
    /// The most requests that were in flight at one replica.
    most: usize,
    counted: usize,
}

impl Site {
    /// Sends what the routers allow at `now`; the rest keeps waiting, in order.
    fn send(&mut self, routers: &mut [Router], kind: &Arc<str>, start: Instant, now: u64, slow: bool) {
        for request in std::mem::take(&mut self.waiting) {
            let Request { region, shard, created } = request;
            let names: Vec<UpstreamId> = (0..REGIONS).map(|region| replica(shard, region)).collect();
            let router = &mut routers[region];
            let ahead = self.waiting.iter().filter(|r| (r.region, r.shard) == (region, shard)).count();
            let ahead = u32::try_from(ahead).expect("they are few");
            let request_to = ChoiceRequest { ahead, ..first(&names, kind) };
            let Ok(choice) = router.choose(&request_to, at(start, now)) else {
                self.waiting.push(request);
                continue;
            };
            router.begin(&choice.upstream, at(start, now));
            let target = names.iter().position(|name| *name == choice.upstream).expect("it is a replica");
            let way = if target == region { 0 } else { ONE_WAY_MS };
            let work = if slow && SLOW.contains(&(shard, target)) { WORK_MS * SLOWER } else { WORK_MS };
            let slots = self.free.entry((shard, target)).or_default();
            let first = slots.iter_mut().min().expect("there are slots");
            *first = (*first).max(now + way) + work;
            let back = *first + way;
            if slow {
                *self.sent.entry((shard, target)).or_default() += 1;
                self.counted += 1;
                self.late += usize::from(shard != 1 && back - created > OBJECTIVE_MS);
            }
            self.flying.push(Flight { request, target, sent: now, back });
            let at_target = self.flying.iter().filter(|f| f.request.shard == shard && f.target == target);
            self.most = self.most.max(at_target.count());
        }
    }

    /// Ends the requests whose replies are back.
    fn end_due(&mut self, routers: &mut [Router], start: Instant, now: u64) {
        for flight in std::mem::take(&mut self.flying) {
            if now < flight.back {
                self.flying.push(flight);
                continue;
            }
            let Request { region, shard, .. } = flight.request;
            let (name, outcome) = (replica(shard, flight.target), AttemptOutcome::Succeeded);
            routers[region].end(&name, at(start, flight.sent), outcome, &Report::default(), at(start, now));
            routers[region].set_idle(&name, 1);
        }
    }
}

/// Runs the site for three seconds as usual and five with slow replicas, of which the first half
/// second isn't counted.
fn play() -> Site {
    let view = scheduled_view(REGIONS, 2);
    let mut routers: Vec<Router> =
        (0..REGIONS).map(|region| scheduled_router(&view, REGIONS, region, LocalDaemon::default())).collect();
    let (start, kind): (_, Arc<str>) = (Instant::now(), "l".into());
    let mut site = Site::default();
    for now in 0..8000_u64 {
        if now == 3500 {
            (site.sent, site.late, site.counted) = (BTreeMap::new(), 0, 0);
        }
        for router in &mut routers {
            router.lease_mut().renew(at(start, now));
        }
        site.end_due(&mut routers, start, now);
        for (region, shard) in (0..REGIONS).flat_map(|region| (0..SHARDS).map(move |shard| (region, shard))) {
            // The requests of the regions and shards are not in step.
            let phase = u64::try_from(region * 37 + shard * 13).expect("it is small");
            if (now + phase) % INTERVAL_MS == 0 {
                site.waiting.push(Request { region, shard, created: now });
            }
        }
        site.send(&mut routers, &kind, start, now, now >= 3000);
    }
    site
}

#[test]
fn slow_replicas_avoided() {
    let site = play();
    let sent = |shard, region| site.sent.get(&(shard, region)).copied().unwrap_or(0);
    let all = |shard| (0..REGIONS).map(|region| sent(shard, region)).sum::<usize>();
    let (good, late) = (ratio(sent(0, 2), all(0)), ratio(site.late, site.counted));
    println!(
        "{good:.3} to the good replica of three, {late:.3} late, at most {} in flight, {:?}",
        site.most, site.sent
    );
    assert!(good > 0.9, "{good:.3} of the requests went to the only good replica");
    for region in 0..REGIONS {
        let share = ratio(sent(1, region), all(1));
        assert!(share > 0.2, "{share:.3} of the requests went to replica {region} of three slow ones");
    }
    assert!(site.most <= SLOTS + 2 * (REGIONS - 1), "{} requests were in flight at a replica", site.most);
    assert!(late < 0.01, "{late:.3} of the requests were late");
}
