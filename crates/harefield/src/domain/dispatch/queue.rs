//! The queue of one shard: which of its waiters is served next.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::domain::ids::FanoutId;

/// How long after it began to wait a waiter without a due time counts as due. Without a bound, each
/// later waiter with a due time would precede it.
const DEFAULT_DUE: Duration = Duration::from_secs(1);

/// Identifies a waiter: a fan-out and one of its shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// The fan-out.
    pub fanout: FanoutId,
    /// The shard's position in the plan of the fan-out.
    pub shard: usize,
}

/// A request that is to be sent to a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Its name.
    pub ticket: Ticket,
    /// The rank of its lookup; 0 is the most urgent.
    pub rank: u32,
    /// The cutoff time of its answer.
    pub due: Option<Instant>,
    /// The expected work.
    pub cost: Duration,
}

/// The position of a waiter within its class: when it is due, or when it began to wait where that
/// was later, then the order of arrival. A waiter is therefore overtaken only by those that arrive
/// before it is due.
type Position = (Instant, u64);

#[derive(Debug)]
struct Entry {
    waiter: Waiter,
    /// Whether it may be overtaken until capacity becomes free, because it had its turn and the
    /// replicas that it may use have no free capacity.
    passed: bool,
}

/// The waiters of one rank. The last class also has those of higher ranks and those past their due
/// time.
#[derive(Debug)]
struct Class {
    weight: f64,
    /// The virtual time at which its next waiter starts.
    tag: f64,
    waiters: BTreeMap<Position, Entry>,
    work: Duration,
}

/// The waiters of one shard, by class.
///
/// Start-time fair queuing (Goyal, Vin, Cheng): a class starts its next waiter at the virtual time
/// `tag`, which advances by the expected work divided by the class's weight; the class with the
/// least tag is served first, and the more urgent one of two with equal tags. A class without
/// waiters earns no credit: its tag is at least that of the waiter served last.
#[derive(Debug)]
pub(super) struct Queue {
    classes: Vec<Class>,
    positions: HashMap<Ticket, (usize, Position)>,
    virtual_time: f64,
    arrivals: u64,
    /// The waiter that was notified and hasn't tried since.
    pub notified: Option<Ticket>,
}

impl Queue {
    pub fn new(shares: &[u32]) -> Self {
        let class = |share: &u32| Class {
            weight: f64::from((*share).max(1)),
            tag: 0.0,
            waiters: BTreeMap::new(),
            work: Duration::ZERO,
        };
        Self {
            classes: shares.iter().map(class).collect(),
            positions: HashMap::new(),
            virtual_time: 0.0,
            arrivals: 0,
            notified: None,
        }
    }

    pub fn len(&self) -> usize {
        self.positions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    pub fn contains(&self, ticket: Ticket) -> bool {
        self.positions.contains_key(&ticket)
    }

    /// Returns how many waiters each class has.
    pub fn waiting(&self) -> impl Iterator<Item = usize> {
        self.classes.iter().map(|class| class.waiters.len())
    }

    fn last(&self) -> usize {
        self.classes.len() - 1
    }

    fn class_of(&self, waiter: &Waiter, now: Instant) -> usize {
        let late = waiter.due.is_some_and(|due| due <= now);
        if late { self.last() } else { self.class_of_rank(waiter.rank) }
    }

    fn class_of_rank(&self, rank: u32) -> usize {
        usize::try_from(rank).unwrap_or(usize::MAX).min(self.last())
    }

    /// Returns the virtual time at which a class starts its next waiter.
    fn start(&self, class: usize) -> f64 {
        self.classes[class].tag.max(self.virtual_time)
    }

    /// Moves the waiters that are past their due time to the last class.
    pub fn demote(&mut self, now: Instant) {
        for class in 0..self.last() {
            while let Some(first) = self.classes[class].waiters.first_entry().filter(|e| e.key().0 <= now) {
                let (position, entry) = first.remove_entry();
                self.classes[class].work -= entry.waiter.cost;
                self.insert(self.last(), position, entry);
            }
        }
    }

    fn insert(&mut self, class: usize, position: Position, entry: Entry) {
        self.positions.insert(entry.waiter.ticket, (class, position));
        let start = self.start(class);
        let class = &mut self.classes[class];
        class.tag = start;
        class.work += entry.waiter.cost;
        class.waiters.insert(position, entry);
    }

    /// Returns the class and the position of a waiter: those that it has, or would be given now.
    fn place_of(&self, waiter: &Waiter, now: Instant) -> (usize, Position) {
        let held = self.positions.get(&waiter.ticket).copied();
        held.unwrap_or_else(|| {
            let due = waiter.due.unwrap_or(now + DEFAULT_DUE).max(now);
            (self.class_of(waiter, now), (due, self.arrivals))
        })
    }

    /// Adds a waiter that isn't in the queue.
    pub fn add(&mut self, waiter: Waiter, now: Instant) {
        let (class, position) = self.place_of(&waiter, now);
        self.arrivals += 1;
        self.insert(class, position, Entry { waiter, passed: false });
    }

    /// Removes a waiter; returns whether it was in the queue.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some((class, position)) = self.positions.remove(&ticket) else { return false };
        let class = &mut self.classes[class];
        if let Some(entry) = class.waiters.remove(&position) {
            class.work -= entry.waiter.cost;
        }
        true
    }

    /// Charges the work of a waiter that is served to its class.
    pub fn charge(&mut self, waiter: &Waiter, now: Instant) {
        let (class, _) = self.place_of(waiter, now);
        let waiting = (0..self.classes.len()).filter(|at| !self.classes[*at].waiters.is_empty());
        let least = waiting.map(|at| self.start(at)).fold(self.start(class), f64::min);
        self.virtual_time = self.virtual_time.max(least);
        let start = self.start(class);
        let class = &mut self.classes[class];
        class.tag = start + waiter.cost.as_secs_f64() / class.weight;
    }

    /// Lets others overtake a waiter until [`Queue::reset_passed`].
    pub fn pass(&mut self, ticket: Ticket) {
        let Some((class, position)) = self.positions.get(&ticket) else { return };
        if let Some(entry) = self.classes[*class].waiters.get_mut(position) {
            entry.passed = true;
        }
    }

    /// Makes the first waiter of each class count again, after capacity became free. The others
    /// count again once they are first, so that one notification causes few attempts.
    pub fn reset_passed(&mut self) {
        for class in &mut self.classes {
            if let Some(mut first) = class.waiters.first_entry() {
                first.get_mut().passed = false;
            }
        }
    }

    /// Returns the first waiter of a class that may not be overtaken.
    fn first_of(&self, class: usize) -> Option<(&Position, &Entry)> {
        self.classes[class].waiters.iter().find(|(_, entry)| !entry.passed)
    }

    /// Returns the first waiter, where all past their due time have been demoted.
    pub fn first(&self) -> Option<Ticket> {
        let firsts = (0..self.classes.len()).filter_map(|at| Some((at, self.first_of(at)?.1)));
        let least = firsts.min_by(|(a, _), (b, _)| self.start(*a).total_cmp(&self.start(*b)))?;
        Some(least.1.waiter.ticket)
    }

    /// Returns whether no other waiter precedes one, which may be in the queue or not; where all
    /// past their due time have been demoted.
    pub fn goes_first(&self, waiter: &Waiter, now: Instant) -> bool {
        let (own, position) = self.place_of(waiter, now);
        (0..self.classes.len()).all(|class| {
            let Some((first, _)) = self.first_of(class) else { return true };
            if class == own {
                return position <= *first;
            }
            let (theirs, ours) = (self.start(class), self.start(own));
            if class < own { ours < theirs } else { ours <= theirs }
        })
    }

    /// Returns the work that is served before a new waiter of a rank that is due last, as if each
    /// class were served continuously.
    pub fn work_before(&self, rank: u32) -> Duration {
        let own = self.class_of_rank(rank);
        let work = |class: &Class| class.work.as_secs_f64();
        let until = self.start(own) + work(&self.classes[own]) / self.classes[own].weight;
        let mut before = self.classes[own].work;
        for (at, class) in self.classes.iter().enumerate().filter(|(at, _)| *at != own) {
            let served = (until - self.start(at)).max(0.0) * class.weight;
            before += Duration::from_secs_f64(served.min(work(class)));
        }
        before
    }
}
