//! What all attempts of one request share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use super::find::ResolvedRequest;
use super::message::LookupRequest;
use super::stop::PassedOn;
use crate::domain::accounts::Requester;
use crate::domain::ids::RequestId;
use crate::domain::ids::WorkId;
use crate::domain::query::Query;
use crate::domain::residency::Regions;
use crate::domain::work::Work;

/// The data that all attempts of a request share.
#[derive(Clone)]
pub(super) struct Job {
    pub request: RequestId,
    pub lookup: Arc<str>,
    pub query: Query,
    pub deadline: Instant,
    pub once: bool,
    /// Identifies what is asked, and for whom.
    pub work: Work,
    /// Whether it is a whole request rather than a group of another daemon's shards.
    pub whole: bool,
    /// What the attempts have shown about the work.
    pub evidence: WorkEvidence,
    /// How many records are kept where replies are merged.
    pub merge: Option<usize>,
    /// The only regions in which the request may be served; every region where empty.
    pub regions: Regions,
    /// On whose behalf the request runs.
    pub requester: Requester,
    /// Whether the request may have reached an upstream or another daemon.
    pub passed_on: PassedOn,
}

impl Job {
    pub fn new(request: &LookupRequest, resolved: &ResolvedRequest, id: Option<&Arc<str>>) -> Self {
        let lookup = &resolved.plan.lookup;
        Self {
            request: id.map(Arc::clone).unwrap_or_default(),
            lookup: Arc::clone(&resolved.plan.name),
            work: resolved.work,
            query: request.query.clone(),
            deadline: resolved.deadline,
            once: !lookup.repeatable,
            merge: lookup.merge,
            regions: Arc::clone(&resolved.regions),
            requester: resolved.requester.clone(),
            whole: true,
            evidence: WorkEvidence::default(),
            passed_on: resolved.passed_on.clone(),
        }
    }
}

/// Marks a work as on trial in this worker until dropped.
#[derive(Debug)]
pub(super) struct TrialGuard {
    trials: Rc<RefCell<HashSet<WorkId>>>,
    work: WorkId,
}

impl TrialGuard {
    pub fn new(trials: &Rc<RefCell<HashSet<WorkId>>>, work: WorkId) -> Self {
        trials.borrow_mut().insert(work);
        Self { trials: Rc::clone(trials), work }
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.trials.borrow_mut().remove(&self.work);
    }
}

/// What the attempts of one fan-out show about its work.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkEvidence {
    /// The number of attempts and groups in flight.
    pending: Rc<Cell<u32>>,
    /// The number of attempts and groups that have begun.
    begun: Rc<Cell<u32>>,
    /// The number of lost replies whose upstreams are being checked.
    checks: Rc<Cell<u32>>,
    /// Whether an upstream has answered.
    pub answered: Rc<Cell<bool>>,
    /// Held by a trial until it is known what became of it, also after its caller has left.
    pub trial: Option<Rc<TrialGuard>>,
}

/// An attempt or group in flight.
#[derive(Debug)]
pub(super) struct PendingAttempt {
    pending: Rc<Cell<u32>>,
    begun: Rc<Cell<u32>>,
    /// How many had begun with this one, if no other was in flight then.
    alone_at: Option<u32>,
}

impl WorkEvidence {
    /// Counts an attempt or group as in flight until dropped.
    pub fn begin(&self) -> PendingAttempt {
        let others = self.pending.replace(self.pending.get() + 1);
        let number = self.begun.get() + 1;
        self.begun.set(number);
        PendingAttempt {
            pending: Rc::clone(&self.pending),
            begun: Rc::clone(&self.begun),
            alone_at: (others == 0).then_some(number),
        }
    }

    /// Counts a check whether an upstream has exited as in progress until dropped.
    pub fn begin_check(&self) -> PendingCheck {
        self.checks.set(self.checks.get() + 1);
        PendingCheck { checks: Rc::clone(&self.checks) }
    }

    /// Returns whether an upstream is being checked.
    pub fn is_checking(&self) -> bool {
        self.checks.get() > 0
    }
}

/// A check in progress.
#[derive(Debug)]
pub(super) struct PendingCheck {
    checks: Rc<Cell<u32>>,
}

impl Drop for PendingCheck {
    fn drop(&mut self) {
        self.checks.set(self.checks.get() - 1);
    }
}

impl PendingAttempt {
    /// Returns whether no other attempt or group of the fan-out was in flight when this one began,
    /// nor has begun since.
    pub fn is_alone(&self) -> bool {
        self.alone_at == Some(self.begun.get())
    }
}

impl Drop for PendingAttempt {
    fn drop(&mut self) {
        self.pending.set(self.pending.get() - 1);
    }
}
