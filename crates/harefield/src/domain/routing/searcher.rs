//! What one worker knows of one upstream.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::report::Bar;
use super::report::Load;
use super::report::Report;
use super::report::Until;
use super::report::Verdict;
use super::window::Window;
use crate::domain::ids::Version;
use crate::domain::outcome::Gap;
use crate::domain::resources::Upstream;
use crate::domain::word::Word;

/// The first pause after a failure; it doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(100);

/// An upstream that loses this many replies in a row is left alone for a while;
/// the users' upstreams lose one in twenty at times.
const LOST_IN_ROW: u32 = 3;

/// The longest pause after failures.
const LONGEST_BACKOFF: Duration = Duration::from_secs(4);

/// The longest that a refusal's word on when to come back is kept.
const LONGEST_SHED: Duration = Duration::from_secs(30);

/// How far one reply moves the observed time, up and down: by a factor, however
/// slow the reply was, so that a single straggler says little. The two come to
/// rest where 27 of 100 replies are faster; a replica that does well again is
/// believed sooner than one that does badly.
const STEP_UP: f64 = 1.1;
const STEP_DOWN: f64 = 1.3;

/// A reply that was given up is taken to have needed at most this many times
/// the time that it was given.
const ABANDONED_MOST: f64 = 2.0;

/// At least this part of a reply's time is taken to be the upstream's own.
const LEAST_OWN_PART: f64 = 0.1;

/// How fast the best observed time is forgotten: by this factor with each reply.
const BEST_DRIFT: f64 = 1.01;

/// A report of a queue is believed when a reply took at least this part of the
/// time that such a queue would cost.
const BELIEF: f64 = 0.5;

/// How far a believed queue shrinks the window.
const QUEUE_SHRINK: f64 = 0.9;

/// A replica that takes this many times as long as another is passed over.
const PASSED_OVER: f64 = 2.5;

/// The least time between probes of a replica that is passed over.
const PROBE_EVERY: Duration = Duration::from_millis(500);

/// A request that is out for this many times its usual time shows a pause: of
/// the users' requests one in some hundred takes as long by itself.
const SILENT_FACTOR: f64 = 3.0;

/// The least time that shows a pause, in seconds; the users' searchers pause for
/// 150 to 250 ms.
const SILENT_LEAST: f64 = 0.06;

/// How long a load report counts.
const REPORT_LIFE: Duration = Duration::from_millis(200);

/// One upstream, as one worker sees it.
#[derive(Clone, Debug)]
pub struct Searcher {
    spec: Arc<Upstream>,
    share: u32,
    window: Window,
    starts: Vec<Instant>,
    observed: Option<f64>,
    best: Option<f64>,
    load: Option<(Load, Instant)>,
    heard: Option<Instant>,
    probation: bool,
    way: f64,
    word: Word,
    listed: bool,
    shed: Option<Instant>,
    failures: u32,
    retry: Option<Instant>,
    idle: usize,
}

impl Searcher {
    /// Creates the state of an upstream that nothing is known of yet.
    #[must_use]
    pub fn new(spec: Arc<Upstream>, sharers: u32, share: u32) -> Self {
        let window = Window::new(spec.slots, sharers, share);
        Self {
            spec,
            share,
            window,
            starts: Vec::new(),
            observed: None,
            best: None,
            load: None,
            heard: None,
            probation: false,
            way: 0.0,
            word: Word::default(),
            listed: false,
            shed: None,
            failures: 0,
            retry: None,
            idle: 0,
        }
    }

    /// Takes a new specification or share of the connections; a new address
    /// starts afresh.
    pub fn update(&mut self, spec: &Arc<Upstream>, share: u32) {
        if spec.address != self.spec.address {
            *self = Self::new(Arc::clone(spec), 1, share);
            return;
        }
        self.spec = Arc::clone(spec);
        self.share = share;
        self.window.resize(self.share);
    }

    /// Returns the specification.
    #[must_use]
    pub fn spec(&self) -> &Upstream {
        &self.spec
    }

    /// Returns how many connections this member may have open.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Returns the upstream's own word.
    #[must_use]
    pub fn word(&self) -> &Word {
        &self.word
    }

    /// Returns how many requests are under way.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.starts.len()
    }

    /// Returns the adaptive limit.
    #[must_use]
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Takes whether the platform lists the host as leaving.
    pub fn list(&mut self, leaving: bool) {
        self.listed = leaving;
    }

    /// Takes the upstream's word, heard directly or through a peer.
    pub fn hear(&mut self, word: &Word) -> bool {
        self.word.join(word)
    }

    /// Takes how many idle connections are open.
    pub fn set_idle(&mut self, idle: usize) {
        self.idle = idle;
    }

    /// Returns whether the upstream takes no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed || self.word.draining
    }

    /// Says whether a request may be sent for `version`, or why not.
    ///
    /// # Errors
    ///
    /// Returns the reason, and until when it holds.
    pub fn admits(&self, version: Version, now: Instant) -> Result<(), Bar> {
        self.may_serve(version).map_err(|gap| Bar { gap, until: Until::Never })?;
        if let Some(at) = self.retry.filter(|at| now < *at) {
            return Err(Bar { gap: Gap::Unreachable, until: Until::At(at) });
        }
        if let Some(at) = self.shed.filter(|at| now < *at) {
            return Err(Bar { gap: Gap::Overloaded, until: Until::At(at) });
        }
        if !self.window.has_room(self.under_way()) {
            return Err(Bar { gap: Gap::Overloaded, until: Until::Soon });
        }
        Ok(())
    }

    /// Returns whether it is left alone for a while after failures.
    #[must_use]
    pub fn is_backed_off(&self, now: Instant) -> bool {
        self.retry.is_some_and(|at| now < at)
    }

    /// Says whether the upstream could serve `version` at all, load aside.
    ///
    /// # Errors
    ///
    /// Returns the reason as the gap it would leave.
    pub fn may_serve(&self, version: Version) -> Result<(), Gap> {
        if self.is_leaving() {
            return Err(Gap::Leaving);
        }
        if !self.word.may_hold(version) {
            return Err(Gap::SnapshotMissing);
        }
        Ok(())
    }

    /// Returns whether the upstream takes new work, load and versions aside.
    #[must_use]
    pub fn may_serve_any(&self) -> bool {
        !self.is_leaving()
    }

    /// Notes that a request leaves at `now`.
    pub fn begin(&mut self, now: Instant) {
        self.starts.push(now);
    }

    /// Takes how long a request and its reply travel, in seconds: it is taken
    /// off their time, so that what is observed is the upstream's own time.
    pub fn set_way(&mut self, way: f64) {
        self.way = way;
    }

    /// Notes how the request that left at `start` ended.
    pub fn end(&mut self, start: Instant, verdict: Verdict, report: &Report, now: Instant) {
        let under_way = self.under_way();
        if let Some(at) = self.starts.iter().position(|s| *s == start) {
            self.starts.swap_remove(at);
        }
        let whole = now.saturating_duration_since(start).as_secs_f64();
        let took = (whole - self.way).max(whole * LEAST_OWN_PART);
        self.heard = Some(now);
        self.load = report.load.filter(|load| self.believes(*load, took)).map(|load| (load, now));
        match verdict {
            Verdict::Good => self.good(took, under_way),
            Verdict::Full(wait) => self.full(wait, now),
            Verdict::Declined => {}
            Verdict::Abandoned => self.abandoned(took),
            Verdict::Lost => self.lost(now),
            Verdict::Broken => self.broken(now),
        }
    }

    /// Says whether a report of a queue fits the time that the reply took.
    fn believes(&self, load: Load, took: f64) -> bool {
        let queue = f64::from(load.queued) / f64::from(self.spec.slots.max(1));
        self.best.is_none_or(|best| took >= best * (1.0 + queue) * BELIEF)
    }

    fn good(&mut self, took: f64, under_way: usize) {
        self.failures = 0;
        self.retry = None;
        self.shed = None;
        self.probation = false;
        self.observe(took);
        self.best = Some(self.best.map_or(took, |best| (best * BEST_DRIFT).min(took)));
        let queued = self.load.map_or(0, |(load, _)| load.queued);
        if queued <= self.spec.slots {
            self.window.grow(under_way);
        } else {
            self.window.scale(QUEUE_SHRINK);
        }
    }

    /// Moves the observed time towards a reply's time.
    fn observe(&mut self, took: f64) {
        self.observed = Some(match self.observed {
            None => took,
            Some(old) if took > old => (old * STEP_UP).min(took),
            Some(old) => (old / STEP_DOWN).max(took),
        });
    }

    /// The time so far is the least that the reply would have taken: it moves
    /// the observed time up, past itself, but never down.
    fn abandoned(&mut self, took: f64) {
        let most = took * ABANDONED_MOST;
        self.observed = Some(match self.observed {
            None => took,
            Some(old) if old < most => (old * STEP_UP).min(most),
            Some(old) => old,
        });
    }

    fn full(&mut self, wait: Option<Duration>, now: Instant) {
        self.window.shrink();
        let Some(wait) = wait else { return };
        let doubled = wait.saturating_mul(1 << self.failures.min(4));
        self.shed = Some(now + wait.max(doubled.min(LONGEST_BACKOFF)).min(LONGEST_SHED));
        self.failures = self.failures.saturating_add(1);
        self.probation = true;
    }

    /// A reply that was lost says little by itself; several in a row do.
    fn lost(&mut self, now: Instant) {
        if self.failures + 1 >= LOST_IN_ROW {
            self.broken(now);
        } else {
            self.failures += 1;
        }
    }

    fn broken(&mut self, now: Instant) {
        let doubled = BACKOFF.saturating_mul(1 << self.failures.min(10));
        self.retry = Some(now + doubled.min(LONGEST_BACKOFF));
        self.probation = true;
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns the expected time of one more request, in seconds; `typical`
    /// stands in for what was not observed or is long past.
    #[must_use]
    pub fn expected(&self, typical: f64, now: Instant) -> f64 {
        let base = self.observed_time(typical).max(self.oldest_age(now) - self.way);
        let ahead = f64::from(u32::try_from(self.under_way()).unwrap_or(u32::MAX));
        let wait = base * ahead / f64::from(self.spec.slots.max(1));
        base * self.reported_factor(now) + wait + self.connect_time() + self.way
    }

    /// Returns the observed time of a request, in seconds; `typical` where
    /// nothing was observed yet.
    #[must_use]
    pub fn observed_time(&self, typical: f64) -> f64 {
        self.observed.unwrap_or(typical)
    }

    /// Returns whether it failed or shed last, and has not answered since.
    #[must_use]
    pub fn on_probation(&self) -> bool {
        self.probation
    }

    /// Returns whether it is passed over beside another replica: it failed last,
    /// or takes much longer by itself and longer with the way. A request takes
    /// `typical` seconds where nothing was observed yet.
    #[must_use]
    pub fn passed_over(&self, other: &Self, typical: f64) -> bool {
        self.probation || self.is_slower(other, typical)
    }

    /// Returns whether it takes much longer than another replica by itself, and
    /// longer with the way.
    #[must_use]
    pub fn is_slower(&self, other: &Self, typical: f64) -> bool {
        let quick = other.observed_time(typical);
        let slower = |own: f64| own > quick * PASSED_OVER && own + self.way > quick + other.way;
        self.observed.is_some_and(slower)
    }

    /// Returns whether nothing was heard of it for a while, so that a probe may
    /// look how it does now.
    #[must_use]
    pub fn probe_due(&self, now: Instant) -> bool {
        let quiet = self.heard.is_some_and(|at| now.saturating_duration_since(at) >= PROBE_EVERY);
        quiet && self.starts.is_empty()
    }

    /// Returns whether it has not answered for so long that it must be paused
    /// or gone: beyond any usual time of a request, which takes `typical`
    /// seconds.
    #[must_use]
    pub fn is_silent(&self, typical: f64, now: Instant) -> bool {
        let usual = self.observed_time(typical).max(typical);
        self.oldest_age(now) - self.way > (usual * SILENT_FACTOR).max(SILENT_LEAST)
    }

    fn oldest_age(&self, now: Instant) -> f64 {
        let oldest = self.starts.iter().min();
        oldest.map_or(0.0, |start| now.saturating_duration_since(*start).as_secs_f64())
    }

    /// A report can at most double what own requests showed: it may lag or lie.
    fn reported_factor(&self, now: Instant) -> f64 {
        match self.load {
            Some((load, at)) if now.saturating_duration_since(at) <= REPORT_LIFE => {
                let per_slot = f64::from(load.queued) / f64::from(self.spec.slots.max(1));
                1.0 + per_slot.min(1.0)
            }
            _ => 1.0,
        }
    }

    fn connect_time(&self) -> f64 {
        if self.idle > 0 { 0.0 } else { f64::from(self.spec.connect_ms) / 1000.0 }
    }
}
