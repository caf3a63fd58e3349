//! Overload on shards with queues, with and without admission by their delays.
//!
//! The load pattern: a sale opens, and requests arrive at two and a half times the rate that the
//! shards serve; three of 40 shards are also three times slower than the others. Each shard serves
//! one request at a time in order of arrival, and reports its queue with each reply. An answer
//! needs nine in ten shards within 100 ms.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::at;
use crate::support::router;
use crate::support::set;
use crate::support::view;
use harefield::domain::admission::Room;
use harefield::domain::admission::RoomDecision;
use harefield::domain::admission::RoomRequest;
use harefield::domain::event::Event;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Fanout;
use harefield::domain::ids::AttemptId;
use harefield::domain::outcome::Outcome;
use harefield::domain::reply::OpaqueReply;
use harefield::domain::reply::Reply;
use harefield::domain::resources::Preference;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;
use harefield::domain::view::Plan;

const SHARDS: usize = 40;

/// The first of the shards are slow.
const SLOW_SHARDS: usize = 3;

const WORK_MS: u64 = 10;

const SLOW_WORK_MS: u64 = 30;

const LIMIT_MS: u64 = 100;

/// A request arrives this often.
const EVERY_MS: u64 = 4;

const DURATION_MS: u64 = 3000;

/// The shards' queues hold requests by number, with the time at which their work ends.
struct Fleet {
    plan: Arc<Plan>,
    router: Router,
    events: Vec<Event>,
    queues: Vec<VecDeque<(usize, AttemptId, u64)>>,
    running: Vec<Option<(Fanout, u64)>>,
    room: Room,
    start: Instant,
    in_time: usize,
    admitted: usize,
}

fn work(shard: usize) -> u64 {
    if shard < SLOW_SHARDS { SLOW_WORK_MS } else { WORK_MS }
}

impl Fleet {
    fn new() -> Self {
        let start = Instant::now();
        let view = view(&set(SHARDS, 1, &[7]));
        Self {
            plan: Arc::clone(&view.lookups["l"].plans[0]),
            router: router(&view, start),
            events: Vec::new(),
            queues: vec![VecDeque::new(); SHARDS],
            running: Vec::new(),
            room: Room::default(),
            start,
            in_time: 0,
            admitted: 0,
        }
    }

    fn rules(&self, now: u64, left_out: Vec<usize>) -> AnswerRules {
        AnswerRules {
            kind: "l".into(),
            rank: 0,
            repeatable: true,
            prefer: Preference::Coverage,
            start: at(self.start, now),
            deadline: at(self.start, now + 4 * LIMIT_MS),
            hedge_factor: None,
            fixed_delay: None,
            objective: Some(at(self.start, now + LIMIT_MS)),
            cutoff: Some(at(self.start, now + LIMIT_MS)),
            min_share: 0.9,
            min_possible: None,
            grouped: false,
            repeated: false,
            attempts: 1,
            left_out,
            trials: 0,
        }
    }

    fn arrive(&mut self, admission: bool, now: u64) {
        let request = RoomRequest {
            shards: &self.plan.shards,
            rank: 0,
            left: Duration::from_millis(LIMIT_MS),
            work: Duration::from_millis(WORK_MS),
            min_shards: self.rules(now, Vec::new()).min_shards(SHARDS),
        };
        let usual = Duration::from_millis(WORK_MS);
        let time = at(self.start, now);
        let left_out = match self.room.decide(&request, |_| Duration::ZERO, |_| usual, time) {
            _ if !admission => Vec::new(),
            RoomDecision::Admit { leave_out } => leave_out,
            RoomDecision::Refuse { .. } => return,
        };
        self.admitted += 1;
        let mut fanout = Fanout::new(Arc::clone(&self.plan), self.rules(now, left_out), 0);
        let mut actions = fanout.start_groups(time, &mut self.router, &mut self.events);
        actions.extend(fanout.start(time, &mut self.router, &mut self.events));
        let number = self.running.len();
        for action in actions {
            let Action::Send(send) = action else { panic!("{action:?}") };
            // The queues of the model stand for those at the daemons that carry the shards, so that
            // the router must not limit what is in flight.
            let (outcome, report) = (AttemptOutcome::Succeeded, Report::default());
            self.router.end(&send.upstream, send.start, outcome, &report, time);
            let queue = &mut self.queues[send.shard];
            let begins = queue.back().map_or(now, |(.., ends)| *ends);
            queue.push_back((number, send.attempt, begins + work(send.shard)));
        }
        self.running.push(Some((fanout, now)));
    }

    fn serve(&mut self, now: u64) {
        let time = at(self.start, now);
        for shard in 0..SHARDS {
            while self.queues[shard].front().is_some_and(|(.., ends)| *ends <= now) {
                let (number, attempt, _) = self.queues[shard].pop_front().expect("it is there");
                let delay = self.queues[shard].back().map_or(0, |(.., ends)| ends - now);
                self.room.record(&self.plan.shards[shard].shard, 0, Duration::from_millis(delay), time);
                let Some((fanout, _)) = &mut self.running[number] else { continue };
                let reply = AttemptEnd::Answered(Reply::Opaque(Arc::new(OpaqueReply::default())));
                let (router, events) = (&mut self.router, &mut self.events);
                let _ = fanout.on_attempt_end((shard, attempt), reply, time, router, events);
            }
        }
        for slot in &mut self.running {
            let Some((fanout, _)) = slot else { continue };
            let _ = fanout.on_timer(time, &mut self.router, &mut self.events);
            if let Some((fanout, arrived)) = slot.take_if(|(fanout, _)| fanout.is_done()) {
                let answered = fanout.finish().outcome == Outcome::Answered;
                self.in_time += usize::from(answered && now <= arrived + LIMIT_MS);
            }
        }
        self.events.clear();
    }
}

/// Returns how many requests were admitted, and how many answered in time.
fn replay(admission: bool) -> (usize, usize) {
    let mut fleet = Fleet::new();
    for now in 0..DURATION_MS {
        fleet.router.lease_mut().renew(at(fleet.start, now));
        fleet.serve(now);
        if now.is_multiple_of(EVERY_MS) && now < DURATION_MS - 5 * LIMIT_MS {
            fleet.arrive(admission, now);
        }
    }
    (fleet.admitted, fleet.in_time)
}

#[test]
fn overload_in_time() {
    let capacity = usize::try_from((DURATION_MS - 5 * LIMIT_MS) / WORK_MS).expect("it is small");
    let (admitted, in_time) = replay(true);
    assert!(in_time * 100 >= capacity * 85, "{in_time} in time of {admitted}, the shards serve {capacity}");
    assert!(in_time * 100 >= admitted * 95, "an admitted request is finished: {in_time} of {admitted}");
    let (_, without) = replay(false);
    assert!(without * 2 < in_time, "{without} in time without admission, {in_time} with it");
}
