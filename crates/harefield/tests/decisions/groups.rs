//! Groups of far shards handed to a daemon beside their replicas.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use harefield::domain::event::Cause;
use harefield::domain::event::Event;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Brought;
use harefield::domain::fanout::Fanout;
use harefield::domain::fanout::GroupEnd;
use harefield::domain::fanout::Hand;
use harefield::domain::fanout::MOST_TRIALS;
use harefield::domain::fanout::Rules;
use harefield::domain::fanout::Send;
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
use harefield::domain::routing::RelayVerdict;
use harefield::domain::routing::Router;
use harefield::domain::topology::Distance;
use harefield::domain::topology::Topology;
use harefield::domain::view::LookupPlan;
use harefield::domain::view::ReplicaLimit;

use crate::support::at;
use crate::support::items;
use crate::support::replica;
use crate::support::row;
use crate::support::values;
use crate::support::view;

/// How many shards there are; the first two have a replica beside the daemon.
const SHARDS: usize = 6;

/// A fan-out of a daemon in zone `a`; zone `b` is in another region.
struct World {
    fanout: Fanout,
    router: Router,
    now: Instant,
    events: Vec<Event>,
    hands: Vec<Hand>,
    sends: Vec<Send>,
    revoked: usize,
}

fn places() -> Topology {
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
        Self::with(live, 2, Budgets::one(0.05))
    }

    fn with(live: bool, replicas: usize, budgets: Budgets) -> Self {
        Self::placed("b", live, replicas, budgets)
    }

    /// Starts with the shards but the first two, and the other daemon, in `zone`.
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
        let mut router = Router::new(Policy::Cost, budgets, 7, now).at(places());
        router.apply(&view, now);
        router.see_daemons([&daemon(zone, live)]);
        let rules = Rules {
            kind: "l".into(),
            repeatable: true,
            prefer: Preference::Coverage,
            start: now,
            deadline: at(now, 2000),
            hedge: None,
            fixed: None,
            objective: Some(at(now, 200)),
            cut: Some(at(now, 200)),
            least_share: 0.6,
            possible: None,
            grouped: true,
            again: false,
            attempts: 2,
            trials: MOST_TRIALS,
        };
        let fanout = Fanout::new(Arc::clone(&view.lookups["l"].plans[0]), rules, 0);
        let mut world = Self {
            fanout,
            router,
            now,
            events: Vec::new(),
            hands: Vec::new(),
            sends: Vec::new(),
            revoked: 0,
        };
        let actions = world.fanout.start_groups(now, &mut world.router, &mut world.events);
        world.act(actions);
        let actions = world.fanout.start(now, &mut world.router, &mut world.events);
        world.act(actions);
        world
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(send) => self.sends.push(send),
                Action::Hand(hand) => self.hands.push(hand),
                Action::Revoke(_) => self.revoked += 1,
                Action::Cancel(_) => {}
            }
        }
    }

    fn end_group(&mut self, end: &GroupEnd) {
        let hand = self.hands[0].clone();
        let actions = self.fanout.on_group_end(&hand, end, self.now, &mut self.router, &mut self.events);
        self.act(actions);
    }

    fn answer(&mut self, send: &Send, text: &str) {
        let end = AttemptEnd::Answered(part(text));
        let place = (send.shard, send.attempt);
        let actions = self.fanout.on_end(place, end, self.now, &mut self.router, &mut self.events);
        self.act(actions);
    }

    /// Answers the first shard, which shows that the request can be run.
    fn answer_first(&mut self) {
        let send = self.sends[0].clone();
        self.answer(&send, "direct");
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(100) {
            self.now += Duration::from_millis(millis.min(100));
            self.router.lease_mut().renew(self.now);
        }
        let actions = self.fanout.on_time(self.now, &mut self.router, &mut self.events);
        self.act(actions);
    }

    /// Ends the group with `parts` contributions, and `missing` for the other shards.
    fn bring(&mut self, parts: usize, missing: &Brought) {
        let shards = self.hands[0].shards.iter().enumerate();
        let all = shards.map(|(number, shard)| {
            let brought = if number < parts { Brought::Part(part("group")) } else { missing.clone() };
            (*shard, brought)
        });
        let end = GroupEnd::Brought(all.collect());
        self.end_group(&end);
    }

    /// Returns what was asked directly beyond the two shards beside the daemon.
    fn asked_later(&self) -> Vec<(usize, Cause)> {
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
    assert_eq!(world.hands.len(), 1);
    assert_eq!(world.hands[0].shards, [2, 3, 4, 5]);
    assert_eq!(world.hands[0].host, host());
    let direct: Vec<usize> = world.sends.iter().map(|send| send.shard).collect();
    assert_eq!(direct, [0, 1], "those beside the daemon are asked directly");
}

#[test]
fn region_shards_grouped() {
    let world = World::placed("c", true, 2, Budgets::one(0.05));
    assert_eq!(world.hands.len(), 1, "bytes between availability zones of a region cost too");
    assert_eq!(world.hands[0].shards, [2, 3, 4, 5]);
}

#[test]
fn nobody_to_hand_to() {
    let world = World::start(false);
    assert!(world.hands.is_empty());
    assert_eq!(world.sends.len(), SHARDS);
}

#[test]
fn whole_group_contributes() {
    let mut world = World::start(true);
    for send in world.sends.clone() {
        world.answer(&send, "direct");
    }
    let missing = Brought::Missing { why: Gap::Late, ran: true, sent: 2 };
    world.bring(4, &missing);
    assert!(world.fanout.is_done());
    let finished = world.fanout.finish();
    assert_eq!((finished.outcome, finished.parts.len()), (Outcome::Answered, SHARDS));
}

#[test]
fn unsent_asked_afresh() {
    let mut world = World::start(true);
    world.end_group(&GroupEnd::NotSent);
    assert_eq!(world.asked_later(), [2, 3, 4, 5].map(|shard| (shard, Cause::First)));
}

#[test]
fn spent_not_asked_again() {
    let mut world = World::start(true);
    let missing = Brought::Missing { why: Gap::Late, ran: true, sent: 2 };
    world.bring(3, &missing);
    assert_eq!(world.sends.len(), 2, "the daemon used both attempts of the shard");
}

#[test]
fn one_attempt_left() {
    let mut world = World::start(true);
    let missing = Brought::Missing { why: Gap::ReplyLost, ran: true, sent: 1 };
    world.bring(3, &missing);
    assert_eq!(world.asked_later(), [(5, Cause::Retry)]);
}

#[test]
fn refused_there_is_a_retry() {
    // An upstream that refused was asked all the same: asking again is extra load.
    let mut world = World::start(true);
    let missing = Brought::Missing { why: Gap::Overloaded, ran: false, sent: 1 };
    world.bring(3, &missing);
    assert_eq!(world.asked_later(), [(5, Cause::Retry)]);
}

#[test]
fn groups_earn_nothing_here() {
    // The daemon that asks the upstreams first earns for them, and it alone.
    let retries = |live: bool| {
        let fleet = FleetSlack { share: 1.0, slack: 10.5 };
        let mut world = World::with(live, 2, Budgets::by_service(fleet, 1));
        let far: ShardId = "s/002".into();
        (0..100).take_while(|_| world.router.budget(&far).spend_retry()).count()
    };
    let (handed, direct) = (retries(true), retries(false));
    assert!(handed < direct, "{handed} {direct}");
}

#[test]
fn overdue_revoked_first() {
    // The shards of a group are asked directly only once it was taken back, so
    // that no more upstreams run the request than the lookup allows.
    let mut world = World::start(true);
    world.pass(150);
    assert_eq!((world.revoked, world.sends.len()), (0, 2), "its answer is not yet due");
    world.answer_first();
    world.pass(100);
    assert_eq!((world.revoked, world.sends.len()), (1, 2));
    world.pass(5);
    assert_eq!(world.sends.len(), SHARDS);
    world.bring(4, &Brought::Part(part("group")));
    for send in world.sends.clone() {
        world.answer(&send, "direct");
    }
    let finished = world.fanout.finish();
    assert!(
        finished.parts.iter().all(|part| signature(&part.reply) == "direct"),
        "what was revoked is not taken"
    );
}

/// A budget that is used up for all far shards.
fn spent() -> Budgets {
    let mut budgets = Budgets::by_service(FleetSlack { share: 0.0, slack: 1.0 }, 1);
    while budgets.of(&"s/002".into()).spend_retry() {}
    budgets
}

#[test]
fn unpaid_group_kept() {
    // Its shards could not be asked again: what it brings late is all there is.
    let mut world = World::with(true, 2, spent());
    for send in world.sends.clone() {
        world.answer(&send, "direct");
    }
    world.pass(150);
    world.pass(100);
    assert_eq!(world.revoked, 0, "its shards cannot be paid for");
    world.bring(4, &Brought::Part(part("group")));
    let finished = world.fanout.finish();
    assert_eq!((finished.outcome, finished.parts.len()), (Outcome::Answered, SHARDS));
}

#[test]
fn lost_group_given_up() {
    // A caller that waits on a daemon that is gone is told in time to come back.
    let mut world = World::with(true, 2, spent());
    world.pass(250);
    assert_eq!(world.revoked, 0);
    world.pass(200);
    assert_eq!(world.revoked, 1);
    world.pass(5);
    assert!(world.fanout.is_done(), "what is left cannot make an answer");
}

#[test]
fn slow_message_awaited() {
    // A connection that had to be opened first takes one way there and back more.
    let mut world = World::start(true);
    world.pass(200);
    world.pass(20);
    assert_eq!(world.revoked, 0);
}

#[test]
fn same_replicas_after_revoke() {
    // With three replicas and two attempts, the daemon that the group went to may have asked
    // one of its own choice: this one asks the one that it kept.
    let mut world = World::with(true, 3, Budgets::one(0.05));
    let (kept, free) = (world.hands[0].fallbacks.clone(), world.hands[0].free);
    assert_eq!((kept.len(), free), (4, 1));
    world.answer_first();
    world.pass(250);
    world.pass(5);
    let again: Vec<Send> = world.sends[2..].to_vec();
    assert_eq!(again.len(), 4);
    for send in again {
        let (_, replica) = kept.iter().find(|(shard, _)| *shard == send.shard).expect("one was kept");
        assert_eq!(*replica, send.upstream);
    }
}

#[test]
fn part_of_group_brought() {
    let mut world = World::start(true);
    let missing = Brought::Missing { why: Gap::ReplyLost, ran: true, sent: 2 };
    world.bring(3, &missing);
    let finished = world.fanout.finish();
    let from_group = finished.parts.iter().filter(|part| signature(&part.reply) == "group").count();
    assert_eq!(from_group, 3);
}

/// Returns the plan of a lookup that allows two attempts, over shards of `replicas`
/// replicas.
fn plan(replicas: usize) -> Arc<LookupPlan> {
    let mut values = values(SHARDS, replicas, &[7]);
    values.get_mut("lookups/l").expect("it is there")["attempts"] = 2.into();
    let set = Arc::new(ResourceSet::parse(&items(values)).expect("the values are valid"));
    Arc::clone(&view(&set).lookups["l"])
}

#[test]
fn unnamed_replicas_declined() {
    // The sender knows two of three replicas and names none: it may ask both itself.
    let names: [ShardId; 2] = ["s/000".into(), "s/001".into()];
    assert!(plan(3).group(&names, []).is_none());
    assert!(plan(2).group(&names, []).is_some());
    let only = [(0, vec![replica(0, 0), replica(0, 1)]), (1, vec![replica(1, 2)])];
    let limits = only.clone().map(|(at, named)| (at, ReplicaLimit { named, free: 0 }));
    let group = plan(3).group(&names, limits.clone()).expect("it says which");
    assert_eq!(group.shards[0].replicas, only[0].1);
    assert_eq!(group.shards[1].replicas, only[1].1);
    let [first, _] = limits;
    assert!(plan(3).group(&names, [first]).is_none(), "one of two is not said");
}

#[test]
fn too_free_declined() {
    // Two attempts are allowed: one that the sender keeps, and one of free choice.
    let names: [ShardId; 1] = ["s/000".into()];
    let limit = |free| [(0, ReplicaLimit { named: vec![replica(0, 2)], free })];
    let group = plan(3).group(&names, limit(1)).expect("they stay within two");
    assert_eq!(group.shards[0].replicas.len(), 3, "it chooses among all");
    assert!(plan(3).group(&names, limit(2)).is_none(), "together they could ask three");
}

#[test]
fn silent_daemon_left_alone() {
    let mut world = World::start(true);
    let (kind, start) = ("l".into(), world.now);
    world.pass(300);
    assert!(world.router.pick_relay("i", "b", &kind, world.now).is_none(), "it has not answered for long");
    world.router.relays_mut().end(&host(), &kind, start, RelayVerdict::Silent, world.now);
    assert!(world.router.pick_relay("i", "b", &kind, world.now).is_none(), "it is left alone for a while");
    let later = at(world.now, 1000);
    assert_eq!(world.router.pick_relay("i", "b", &kind, later), Some(host()));
}

#[test]
fn distances_by_region() {
    let places = places();
    assert_eq!(places.distance("a"), Distance::Near);
    assert_eq!(places.distance("c"), Distance::Region);
    assert_eq!(places.distance("b"), Distance::Far);
    assert_eq!(places.distance("unknown"), Distance::Far);
    assert_eq!(Topology::default().distance("b"), Distance::Near, "without regions all is near");
}
