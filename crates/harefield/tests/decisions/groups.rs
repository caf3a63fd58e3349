//! Groups of distant shards that are delegated to a daemon near their replicas.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::at;
use crate::support::items;
use crate::support::replica;
use crate::support::row;
use crate::support::values;
use crate::support::view;
use harefield::domain::event::Cause;
use harefield::domain::event::Event;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Fanout;
use harefield::domain::fanout::GroupOutcome;
use harefield::domain::fanout::GroupRequest;
use harefield::domain::fanout::MAX_TRIALS;
use harefield::domain::fanout::SendAttempt;
use harefield::domain::fanout::ShardResult;
use harefield::domain::ids::HostId;
use harefield::domain::ids::ShardId;
use harefield::domain::membership::MemberRow;
use harefield::domain::membership::PeerState;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::Outcome;
use harefield::domain::reply::OpaqueReply;
use harefield::domain::reply::Reply;
use harefield::domain::resources::Preference;
use harefield::domain::resources::ResourceSet;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::FleetSlack;
use harefield::domain::routing::Policy;
use harefield::domain::routing::RelayOutcome;
use harefield::domain::routing::Router;
use harefield::domain::topology::Distance;
use harefield::domain::topology::Topology;
use harefield::domain::view::LookupPlan;
use harefield::domain::view::ReplicaLimit;

/// How many shards there are; the first two have replicas in the daemon's own zone.
const SHARDS: usize = 6;

/// A fan-out of a daemon in zone `a`; zone `b` is in another region.
struct World {
    fanout: Fanout,
    router: Router,
    now: Instant,
    events: Vec<Event>,
    groups: Vec<GroupRequest>,
    sends: Vec<SendAttempt>,
    revoked: usize,
}

fn topology() -> Topology {
    let regions = [("a", "r1"), ("b", "r2"), ("c", "r1")].map(|(zone, region)| (zone.into(), region.into()));
    Topology { zone: "a".into(), regions: BTreeMap::from(regions) }
}

fn host() -> HostId {
    "10.0.0.2:7200".into()
}

fn daemon(zone: &str, live: bool) -> MemberRow {
    let state = if live { PeerState::Live } else { PeerState::Suspect };
    MemberRow { host: host(), state, ..row(0, zone) }
}

impl World {
    fn start(live: bool) -> Self {
        Self::with(live, 2, Budgets::single(0.05))
    }

    fn with(live: bool, replicas: usize, budgets: Budgets) -> Self {
        Self::placed("b", live, replicas, budgets)
    }

    /// Starts with the other daemon, and all shards but the first two, in `zone`.
    fn placed(zone: &str, live: bool, replicas: usize, budgets: Budgets) -> Self {
        let now = Instant::now();
        let mut values = values(SHARDS, replicas, &[7]);
        for (key, value) in &mut values {
            let far = key.starts_with("upstreams/u")
                && !key.starts_with("upstreams/u0-")
                && !key.starts_with("upstreams/u1-");
            if far {
                value["zone"] = zone.into();
            }
        }
        let set = Arc::new(ResourceSet::parse(&items(values)).expect("the values are valid"));
        let view = view(&set);
        let mut router = Router::new(Policy::Cost, budgets, 7, now).with_topology(topology());
        router.apply(&view, now);
        router.update_daemons([&daemon(zone, live)]);
        let rules = AnswerRules {
            kind: "l".into(),
            rank: 0,
            repeatable: true,
            prefer: Preference::Coverage,
            start: now,
            deadline: at(now, 2000),
            hedge_factor: None,
            fixed_delay: None,
            objective: Some(at(now, 200)),
            cutoff: Some(at(now, 200)),
            min_share: 0.6,
            min_possible: None,
            grouped: true,
            repeated: false,
            attempts: 2,
            left_out: Vec::new(),
            trials: MAX_TRIALS,
        };
        let fanout = Fanout::new(Arc::clone(&view.lookups["l"].plans[0]), rules, 0);
        let mut world = Self {
            fanout,
            router,
            now,
            events: Vec::new(),
            groups: Vec::new(),
            sends: Vec::new(),
            revoked: 0,
        };
        let actions = world.fanout.start_groups(now, &mut world.router, &mut world.events);
        world.apply_actions(actions);
        let actions = world.fanout.start(now, &mut world.router, &mut world.events);
        world.apply_actions(actions);
        world
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(send) => self.sends.push(send),
                Action::Delegate(group) => self.groups.push(group),
                Action::Revoke(_) => self.revoked += 1,
                Action::Cancel(_) => {}
            }
        }
    }

    fn end_group(&mut self, end: &GroupOutcome) {
        let group = self.groups[0].clone();
        let actions = self.fanout.on_group_end(&group, end, self.now, &mut self.router, &mut self.events);
        self.apply_actions(actions);
    }

    fn answer(&mut self, send: &SendAttempt, text: &str) {
        let end = AttemptEnd::Answered(part(text));
        let attempt = (send.shard, send.attempt);
        let actions = self.fanout.on_attempt_end(attempt, end, self.now, &mut self.router, &mut self.events);
        self.apply_actions(actions);
    }

    /// Answers the first shard, which shows that the request does not crash upstreams.
    fn answer_first(&mut self) {
        let send = self.sends[0].clone();
        self.answer(&send, "direct");
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(100) {
            self.now += Duration::from_millis(millis.min(100));
            self.router.lease_mut().renew(self.now);
        }
        let actions = self.fanout.on_timer(self.now, &mut self.router, &mut self.events);
        self.apply_actions(actions);
    }

    /// Ends the group with `parts` contributions, and `missing` for the other shards.
    fn return_results(&mut self, parts: usize, missing: &ShardResult) {
        let shards = self.groups[0].shards.iter().enumerate();
        let all = shards.map(|(number, shard)| {
            let result = if number < parts { ShardResult::Part(part("group")) } else { missing.clone() };
            (*shard, result)
        });
        let end = GroupOutcome::Results(all.collect());
        self.end_group(&end);
    }

    /// Returns the direct attempts apart from those on the first two shards.
    fn later_attempts(&self) -> Vec<(usize, Cause)> {
        self.sends[2..].iter().map(|send| (send.shard, send.cause)).collect()
    }
}

fn part(text: &str) -> Reply {
    let reply = OpaqueReply { status: 200, signature: Some(text.into()), ..OpaqueReply::default() };
    Reply::Opaque(Arc::new(reply))
}

fn signature(reply: &Reply) -> &str {
    reply.opaque().and_then(|reply| reply.signature.as_deref()).unwrap_or("")
}

#[test]
fn far_shards_grouped() {
    let world = World::start(true);
    assert_eq!(world.groups.len(), 1);
    assert_eq!(world.groups[0].shards, [2, 3, 4, 5]);
    assert_eq!(world.groups[0].host, host());
    let direct: Vec<usize> = world.sends.iter().map(|send| send.shard).collect();
    assert_eq!(direct, [0, 1], "shards in the same zone are queried directly");
}

#[test]
fn region_shards_grouped() {
    let world = World::placed("c", true, 2, Budgets::single(0.05));
    assert_eq!(world.groups.len(), 1, "traffic between zones of a region has a cost too");
    assert_eq!(world.groups[0].shards, [2, 3, 4, 5]);
}

#[test]
fn no_live_daemon() {
    let world = World::start(false);
    assert!(world.groups.is_empty());
    assert_eq!(world.sends.len(), SHARDS);
}

#[test]
fn whole_group_contributes() {
    let mut world = World::start(true);
    for send in world.sends.clone() {
        world.answer(&send, "direct");
    }
    let missing = ShardResult::Missing { why: Gap::Late, ran: true, sent: 2 };
    world.return_results(4, &missing);
    assert!(world.fanout.is_done());
    let finished = world.fanout.finish();
    assert_eq!((finished.outcome, finished.parts.len()), (Outcome::Answered, SHARDS));
}

#[test]
fn unsent_is_first() {
    let mut world = World::start(true);
    world.end_group(&GroupOutcome::NotSent);
    assert_eq!(world.later_attempts(), [2, 3, 4, 5].map(|shard| (shard, Cause::First)));
}

#[test]
fn no_attempt_left() {
    let mut world = World::start(true);
    let missing = ShardResult::Missing { why: Gap::Late, ran: true, sent: 2 };
    world.return_results(3, &missing);
    assert_eq!(world.sends.len(), 2, "the daemon used both attempts of the shard");
}

#[test]
fn one_attempt_left() {
    let mut world = World::start(true);
    let missing = ShardResult::Missing { why: Gap::ReplyLost, ran: true, sent: 1 };
    world.return_results(3, &missing);
    assert_eq!(world.later_attempts(), [(5, Cause::Retry)]);
}

#[test]
fn refusal_is_attempt() {
    // The upstream that refused has used an attempt: trying again is extra load.
    let mut world = World::start(true);
    let missing = ShardResult::Missing { why: Gap::Overloaded, ran: false, sent: 1 };
    world.return_results(3, &missing);
    assert_eq!(world.later_attempts(), [(5, Cause::Retry)]);
}

#[test]
fn groups_earn_nothing() {
    // The daemon that makes the first attempts adds to the budgets for them; this one must not.
    let retries = |live: bool| {
        let fleet = FleetSlack { share: 1.0, slack: 10.5 };
        let mut world = World::with(live, 2, Budgets::per_service(fleet, 1));
        let far: ShardId = "s/002".into();
        (0..100).take_while(|_| world.router.budget(&far).spend_retry()).count()
    };
    let (delegated, direct) = (retries(true), retries(false));
    assert!(delegated < direct, "{delegated} {direct}");
}

#[test]
fn overdue_revoked_first() {
    // The shards of a group are queried directly only after it was revoked, so that no more
    // upstreams run the request than the lookup allows.
    let mut world = World::start(true);
    world.advance(150);
    assert_eq!((world.revoked, world.sends.len()), (0, 2), "the group is not overdue yet");
    world.answer_first();
    world.advance(100);
    assert_eq!((world.revoked, world.sends.len()), (1, 2));
    world.advance(5);
    assert_eq!(world.sends.len(), SHARDS);
    world.return_results(4, &ShardResult::Part(part("group")));
    for send in world.sends.clone() {
        world.answer(&send, "direct");
    }
    let finished = world.fanout.finish();
    assert!(
        finished.parts.iter().all(|part| signature(&part.reply) == "direct"),
        "replies to a revoked group are ignored"
    );
}

/// A budget that is exhausted for all distant shards.
fn exhausted() -> Budgets {
    let mut budgets = Budgets::per_service(FleetSlack { share: 0.0, slack: 1.0 }, 1);
    while budgets.for_shard(&"s/002".into()).spend_retry() {}
    budgets
}

#[test]
fn unpaid_group_kept() {
    // Its shards could not be queried again, so its late results are the only ones there are.
    let mut world = World::with(true, 2, exhausted());
    for send in world.sends.clone() {
        world.answer(&send, "direct");
    }
    world.advance(150);
    world.advance(100);
    assert_eq!(world.revoked, 0, "the budget does not pay for its shards");
    world.return_results(4, &ShardResult::Part(part("group")));
    let finished = world.fanout.finish();
    assert_eq!((finished.outcome, finished.parts.len()), (Outcome::Answered, SHARDS));
}

#[test]
fn lost_group_revoked() {
    // The caller of a request that waits for a dead daemon has to get its answer in time to retry.
    let mut world = World::with(true, 2, exhausted());
    world.advance(250);
    assert_eq!(world.revoked, 0);
    world.advance(200);
    assert_eq!(world.revoked, 1);
    world.advance(5);
    assert!(world.fanout.is_done(), "the remaining shards are too few for an answer");
}

#[test]
fn slow_connect_awaited() {
    // A connection that had to be opened first takes one more round trip.
    let mut world = World::start(true);
    world.advance(200);
    world.advance(20);
    assert_eq!(world.revoked, 0);
}

#[test]
fn fallback_after_revoke() {
    // With three replicas and two attempts, the daemon that received the group may have queried one
    // replica of its choice: this daemon queries only the fallback that it kept.
    let mut world = World::with(true, 3, Budgets::single(0.05));
    let (kept, free) = (world.groups[0].fallbacks.clone(), world.groups[0].free);
    assert_eq!((kept.len(), free), (4, 1));
    world.answer_first();
    world.advance(250);
    world.advance(5);
    let again: Vec<SendAttempt> = world.sends[2..].to_vec();
    assert_eq!(again.len(), 4);
    for send in again {
        let (_, replica) =
            kept.iter().find(|(shard, _)| *shard == send.shard).expect("the shard has a fallback");
        assert_eq!(*replica, send.upstream);
    }
}

#[test]
fn partial_group_counts() {
    let mut world = World::start(true);
    let missing = ShardResult::Missing { why: Gap::ReplyLost, ran: true, sent: 2 };
    world.return_results(3, &missing);
    let finished = world.fanout.finish();
    let from_group = finished.parts.iter().filter(|part| signature(&part.reply) == "group").count();
    assert_eq!(from_group, 3);
}

/// Returns the plan of a lookup that allows two attempts, over shards of `replicas` replicas.
fn plan(replicas: usize) -> Arc<LookupPlan> {
    let mut values = values(SHARDS, replicas, &[7]);
    values.get_mut("lookups/l").expect("the lookup exists")["attempts"] = 2.into();
    let set = Arc::new(ResourceSet::parse(&items(values)).expect("the values are valid"));
    Arc::clone(&view(&set).lookups["l"])
}

#[test]
fn unnamed_replicas_declined() {
    // The sender knows two of three replicas and names none: it may query both itself.
    let names: [ShardId; 2] = ["s/000".into(), "s/001".into()];
    assert!(plan(3).group_plan(&names, []).is_none());
    assert!(plan(2).group_plan(&names, []).is_some());
    let only = [(0, vec![replica(0, 0), replica(0, 1)]), (1, vec![replica(1, 2)])];
    let limits = only.clone().map(|(at, named)| (at, ReplicaLimit { named, free: 0 }));
    let group = plan(3).group_plan(&names, limits.clone()).expect("all replicas are named");
    assert_eq!(group.shards[0].replicas, only[0].1);
    assert_eq!(group.shards[1].replicas, only[1].1);
    let [first, _] = limits;
    assert!(plan(3).group_plan(&names, [first]).is_none(), "one of two shards has no limit");
}

#[test]
fn excess_choice_declined() {
    // Two attempts are allowed: one on the replica that the sender keeps, and one on any other.
    let names: [ShardId; 1] = ["s/000".into()];
    let limit = |free| [(0, ReplicaLimit { named: vec![replica(0, 2)], free })];
    let group = plan(3).group_plan(&names, limit(1)).expect("both stay within two attempts");
    assert_eq!(group.shards[0].replicas.len(), 3, "it may choose any replica");
    assert!(plan(3).group_plan(&names, limit(2)).is_none(), "together they could query three replicas");
}

#[test]
fn silent_daemon_avoided() {
    let mut world = World::start(true);
    let (kind, start) = ("l".into(), world.now);
    world.advance(300);
    assert!(
        world.router.pick_relay("i", "b", &kind, world.now).is_none(),
        "its group is unanswered for too long"
    );
    world.router.relays_mut().end(&host(), &kind, start, RelayOutcome::Silent, world.now);
    assert!(world.router.pick_relay("i", "b", &kind, world.now).is_none(), "it is avoided for a while");
    let later = at(world.now, 1000);
    assert_eq!(world.router.pick_relay("i", "b", &kind, later), Some(host()));
}

#[test]
fn distances_by_region() {
    let topology = topology();
    assert_eq!(topology.distance("a"), Distance::Near);
    assert_eq!(topology.distance("c"), Distance::Region);
    assert_eq!(topology.distance("b"), Distance::Far);
    assert_eq!(topology.distance("unknown"), Distance::Far);
    assert_eq!(Topology::default().distance("b"), Distance::Near, "without regions every zone is near");
}
