//! Results of the groups that carriers of a scheduled index return, and of groups that are overdue.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::scheduled::SHARDS;
use crate::scheduled::router_with;
use crate::scheduled::rules;
use crate::scheduled::scheduled_view;
use crate::support::at;
use crate::support::cases;
use crate::support::row;
use harefield::domain::event::Event;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Fanout;
use harefield::domain::fanout::GroupOutcome;
use harefield::domain::fanout::GroupRequest;
use harefield::domain::fanout::SendAttempt;
use harefield::domain::fanout::ShardResult;
use harefield::domain::ids::AttemptId;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::MissingShard;
use harefield::domain::reply::OpaqueReply;
use harefield::domain::reply::Reply;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::RelayOutcome;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;

/// The reasons for which a shard isn't queried again where the answer is possible without it.
const SPARED: [Gap; 3] = [Gap::Late, Gap::NotAsked, Gap::Overloaded];

/// Reasons that say nothing about the remaining time.
const OTHER: [Gap; 4] = [Gap::ReplyLost, Gap::Unreachable, Gap::Failed, Gap::UpstreamEnded];

/// How many shards an answer may lack.
const MAY_LACK: usize = 4;

/// When groups are overdue: 10 ms and the round trip after the objective of 1,000 ms.
const OVERDUE_MS: u64 = 1014;

/// When overdue groups are lost: 150 ms later.
const LOST_MS: u64 = OVERDUE_MS + 150;

/// A fan-out whose shards are partly delegated to other daemons of its region.
struct World {
    fanout: Fanout,
    router: Router,
    start: Instant,
    now: Instant,
    events: Vec<Event>,
    groups: Vec<GroupRequest>,
    sends: Vec<SendAttempt>,
    revoked: Vec<AttemptId>,
}

impl World {
    /// Starts a fan-out that needs all shards but `may_lack`; `enabled` tells whether scheduling
    /// is on. The shards that the daemon queries itself are answered at once.
    fn new(enabled: bool, may_lack: usize) -> Self {
        let start = Instant::now();
        let view = scheduled_view(3, 2);
        let mut router = router_with(&view, 3, 0, LocalDaemon::default(), enabled);
        router.update_daemons(&[row(0, "z0"), row(1, "z0")]);
        let needed = f64::from(u32::try_from(SHARDS - may_lack).expect("it is small"));
        let min_share = needed / f64::from(u32::try_from(SHARDS).expect("it is small"));
        let rules = AnswerRules { grouped: true, min_share, ..rules(start) };
        let fanout = Fanout::new(Arc::clone(&view.lookups["l"].plans[0]), rules, 0);
        let (groups, sends, revoked, events) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut world = Self { fanout, router, start, now: start, events, groups, sends, revoked };
        let actions = world.fanout.start_groups(start, &mut world.router, &mut world.events);
        world.apply(actions);
        let actions = world.fanout.start(start, &mut world.router, &mut world.events);
        world.apply(actions);
        assert!(!world.groups.is_empty(), "some shards are delegated");
        for send in std::mem::take(&mut world.sends) {
            world.end(&send, AttemptEnd::Answered(part()));
        }
        world
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(send) => self.sends.push(send),
                Action::Delegate(group) => self.groups.push(group),
                Action::Revoke(attempt) => self.revoked.push(attempt),
                Action::Cancel(_) => {}
            }
        }
    }

    fn end(&mut self, send: &SendAttempt, end: AttemptEnd) {
        let outcome = AttemptOutcome::Succeeded;
        self.router.end(&send.upstream, send.start, outcome, &Report::default(), self.now);
        let attempt = (send.shard, send.attempt);
        let actions = self.fanout.on_attempt_end(attempt, end, self.now, &mut self.router, &mut self.events);
        self.apply(actions);
    }

    fn end_group(&mut self, group: &GroupRequest, end: &GroupOutcome) {
        let actions = self.fanout.on_group_end(group, end, self.now, &mut self.router, &mut self.events);
        self.apply(actions);
    }

    /// Lets time pass until `millis` after the start, in steps of 10 ms at most.
    fn advance_to(&mut self, millis: u64) {
        let end = at(self.start, millis);
        while self.now < end && !self.fanout.is_done() {
            self.now = end.min(self.now + Duration::from_millis(10));
            self.router.lease_mut().renew(self.now);
            let actions = self.fanout.on_timer(self.now, &mut self.router, &mut self.events);
            self.apply(actions);
        }
    }

    /// Records that the daemon of a group answers another group now.
    fn answer_another(&mut self, group: &GroupRequest) {
        let (relays, rtt) = (self.router.relays_mut(), Duration::from_millis(4));
        relays.begin(&group.host, self.now);
        relays.end(&group.host, &"l".into(), self.now, RelayOutcome::Answered(rtt), self.now);
    }

    /// Ends all groups: the first shards of the first one as `missing`, all others answered.
    /// Returns the missing shards.
    fn return_groups(&mut self, missing: &[ShardResult]) -> Vec<usize> {
        let mut lacking = Vec::new();
        let groups = self.groups.clone();
        for group in groups.iter().rev() {
            let mut results = Vec::new();
            for (number, shard) in group.shards.iter().enumerate().rev() {
                let absent = missing.get(number).filter(|_| group.attempt == groups[0].attempt);
                lacking.extend(absent.map(|_| *shard));
                results.push((*shard, absent.cloned().unwrap_or_else(|| ShardResult::Part(part()))));
            }
            self.end_group(group, &GroupOutcome::Results(results));
        }
        lacking.sort_unstable();
        lacking
    }

    /// Returns the shards that were sent to an upstream after the groups.
    fn queried(&self) -> Vec<usize> {
        let shards: BTreeSet<usize> = self.sends.iter().map(|send| send.shard).collect();
        shards.into_iter().collect()
    }

    /// Returns the missing shards by their position, once the deadline has passed.
    fn missing(mut self) -> BTreeMap<usize, MissingShard> {
        self.advance_to(3000);
        assert!(self.fanout.is_done());
        let plan = Arc::clone(self.fanout.plan());
        let position = |missing: &MissingShard| plan.shards.iter().position(|s| s.shard == missing.shard);
        let missing = self.fanout.finish().coverage.missing;
        missing.into_iter().map(|missing| (position(&missing).expect("it is in the plan"), missing)).collect()
    }
}

fn part() -> Reply {
    Reply::Opaque(Arc::new(OpaqueReply::default()))
}

fn missing(why: Gap, ran: bool, sent: u32) -> ShardResult {
    ShardResult::Missing { why, ran, sent }
}

/// Guards against revoking the group of a carrier whose queues are only long: its replies would be
/// discarded, and all of its shards queried again.
#[test]
fn live_carrier_kept() {
    let mut world = World::new(true, 0);
    let group = world.groups[0].clone();
    world.advance_to(OVERDUE_MS - 4);
    world.answer_another(&group);
    world.advance_to(LOST_MS - 20);
    world.answer_another(&group);
    world.advance_to(LOST_MS + 130);
    assert!(!world.revoked.contains(&group.attempt), "its daemon answered another group 150 ms ago");
    world.advance_to(LOST_MS + 141);
    assert!(world.revoked.contains(&group.attempt), "its daemon has been silent for longer");
}

/// Guards against waiting for a carrier that doesn't answer at all until the deadline.
#[test]
fn silent_carrier_revoked() {
    let mut world = World::new(true, 0);
    world.advance_to(LOST_MS + 10);
    let groups: BTreeSet<AttemptId> = world.groups.iter().map(|group| group.attempt).collect();
    assert_eq!(world.revoked.iter().copied().collect::<BTreeSet<_>>(), groups);
}

/// Guards against a change for indexes that aren't scheduled: their overdue groups are revoked
/// whether or not their daemon answers others.
#[test]
fn unscheduled_revoked() {
    let mut world = World::new(false, 0);
    let group = world.groups[0].clone();
    world.advance_to(OVERDUE_MS - 4);
    world.answer_another(&group);
    world.advance_to(LOST_MS - 20);
    world.answer_another(&group);
    world.advance_to(LOST_MS + 10);
    assert!(world.revoked.contains(&group.attempt));
}

/// Guards against requests for late shards that compete with those still in time.
#[test]
fn late_spared() {
    for why in SPARED {
        let mut world = World::new(true, MAY_LACK);
        world.return_groups(&[missing(why, false, 1), missing(why, true, 1), missing(why, false, 0)]);
        assert!(world.queried().is_empty(), "{why:?}");
        assert!(world.fanout.is_done(), "{why:?}");
    }
}

/// Guards against giving up a shard that the answer needs.
#[test]
fn needed_queried() {
    for why in SPARED {
        let mut world = World::new(true, 1);
        let lacking = world.return_groups(&[missing(why, false, 0), missing(why, false, 0)]);
        assert_eq!(world.queried(), lacking[..1], "{why:?}: the answer may lack one of them");
        let mut world = World::new(true, 0);
        let lacking = world.return_groups(&[missing(why, true, 1)]);
        assert_eq!(world.queried(), lacking, "{why:?}: the answer needs all shards");
    }
}

/// Guards against giving up shards that failed while there is time to query another replica.
#[test]
fn failed_queried() {
    for why in OTHER {
        let mut world = World::new(true, MAY_LACK);
        let lacking = world.return_groups(&[missing(why, true, 1)]);
        assert_eq!(world.queried(), lacking, "{why:?}");
    }
}

/// Guards against a change for indexes that aren't scheduled: late shards are queried again.
#[test]
fn unscheduled_queried() {
    for why in SPARED {
        let mut world = World::new(false, MAY_LACK);
        let lacking = world.return_groups(&[missing(why, true, 1)]);
        assert_eq!(world.queried(), lacking, "{why:?}");
    }
}

/// Guards against a result of a revoked group that is counted a second time.
#[test]
fn revoked_result_ignored() {
    let mut world = World::new(true, MAY_LACK);
    let group = world.groups[0].clone();
    world.advance_to(LOST_MS + 10);
    assert!(world.revoked.contains(&group.attempt));
    let spared = group.shards.iter().map(|shard| (*shard, missing(Gap::Late, false, 0))).collect();
    world.end_group(&group, &GroupOutcome::Results(spared));
    let lacking = world.missing();
    assert!(group.shards.iter().all(|shard| lacking[shard].ran), "the daemon may have run it");
}

/// Returns a result as a carrier gives it: a shard may have run if it was sent to an upstream
/// that didn't refuse it.
fn result(reasons: &'static [Gap]) -> impl Strategy<Value = ShardResult> {
    let why = proptest::sample::select(reasons);
    (why, 0_u32..3, any::<bool>()).prop_map(|(why, sent, ran)| missing(why, ran && sent > 0, sent))
}

/// All reasons with which a carrier may return a shard in these tests.
const ALL: [Gap; 7] = [
    Gap::Late,
    Gap::NotAsked,
    Gap::Overloaded,
    Gap::ReplyLost,
    Gap::Unreachable,
    Gap::Failed,
    Gap::UpstreamEnded,
];

proptest! {
    #![proptest_config(cases(200))]

    /// Guards against coverage that states another reason than the carrier, or hides a request
    /// that may have run.
    #[test]
    fn spared_exact(results in proptest::collection::vec(result(&SPARED), 1..=MAY_LACK)) {
        let mut world = World::new(true, MAY_LACK);
        world.return_groups(&results);
        let shards = world.groups[0].shards.clone();
        prop_assert_eq!(world.queried(), Vec::<usize>::new());
        let lacking = world.missing();
        prop_assert_eq!(lacking.len(), results.len());
        for (shard, result) in shards.iter().zip(&results) {
            let ShardResult::Missing { why, ran, .. } = result else { unreachable!("none has a part") };
            prop_assert_eq!((lacking[shard].why, lacking[shard].ran), (*why, *ran));
        }
    }

    /// Guards against a shard that is reported as not run although an upstream got the request and
    /// didn't reply: from the carrier, from a group without an answer, or directly.
    #[test]
    fn unanswered_may_run(
        results in proptest::collection::vec(result(&ALL), 1..30),
        may_lack in 0_usize..10,
        silent in any::<bool>(),
        enabled in any::<bool>(),
        ends in proptest::collection::vec(0_u8..4, 40),
    ) {
        let mut world = World::new(enabled, may_lack);
        let mut unanswered = BTreeSet::new();
        for (shard, result) in world.groups[0].shards.iter().zip(&results) {
            if matches!(result, ShardResult::Missing { ran: true, .. }) {
                unanswered.insert(*shard);
            }
        }
        if silent && world.groups.len() > 1 {
            let group = world.groups.remove(1);
            unanswered.extend(&group.shards);
            world.end_group(&group, &GroupOutcome::Silent);
        }
        world.return_groups(&results);
        for end in ends {
            let Some(send) = world.sends.pop() else { break };
            match end {
                0 => world.end(&send, AttemptEnd::Answered(part())),
                1 => world.end(&send, AttemptEnd::NotSent { why: Gap::Unreachable }),
                2 => world.end(&send, AttemptEnd::Refused { why: Gap::Overloaded, begun: false }),
                _ => {
                    unanswered.insert(send.shard);
                    world.end(&send, AttemptEnd::Lost { why: Gap::ReplyLost });
                }
            }
        }
        world.advance_to(3000);
        unanswered.extend(world.queried());
        for (shard, missing) in world.missing() {
            prop_assert!(missing.ran || !unanswered.contains(&shard), "{missing:?} got no reply");
        }
    }
}
