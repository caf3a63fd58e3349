//! What all attempts of one request share.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use super::find::Found;
use super::message::LookupRequest;
use crate::domain::accounts::Requester;
use crate::domain::ids::RequestId;
use crate::domain::query::Query;
use crate::domain::residency::Regions;
use crate::domain::work::Work;

/// What all attempts of a request share.
#[derive(Clone)]
pub(super) struct Job {
    pub request: RequestId,
    pub kind: Arc<str>,
    pub query: Query,
    pub deadline: Instant,
    pub once: bool,
    /// What is asked, and for whom.
    pub work: Work,
    /// Whether it is the whole request, and no group of another daemon's.
    pub whole: bool,
    /// What the attempts have shown of the work.
    pub shown: Shown,
    /// How many records are kept where replies are merged.
    pub merge: Option<usize>,
    /// The only regions in which it may be served; everywhere where empty.
    pub regions: Regions,
    /// Whose request it is.
    pub asker: Requester,
}

impl Job {
    /// Creates what all attempts of a request share.
    pub fn new(request: &LookupRequest, found: &Found, id: Option<&Arc<str>>) -> Self {
        let lookup = &found.plan.lookup;
        Self {
            request: id.map(Arc::clone).unwrap_or_default(),
            kind: Arc::clone(&found.plan.name),
            work: found.work,
            query: request.query.clone(),
            deadline: found.deadline,
            once: !lookup.repeatable,
            merge: lookup.merge,
            regions: Arc::clone(&found.regions),
            asker: found.asker.clone(),
            whole: true,
            shown: Shown::default(),
        }
    }
}

/// What the attempts of one fan-out show of its work.
#[derive(Clone, Debug, Default)]
pub(super) struct Shown {
    /// How many attempts and groups are out.
    out: Rc<Cell<u32>>,
    /// Whether an upstream has answered.
    pub answered: Rc<Cell<bool>>,
}

/// An attempt or group that is out.
#[derive(Debug)]
pub(super) struct Out {
    out: Rc<Cell<u32>>,
    began_alone: bool,
}

impl Shown {
    /// Counts an attempt or group as out until dropped.
    pub fn begin(&self) -> Out {
        let others = self.out.get();
        self.out.set(others + 1);
        Out { out: Rc::clone(&self.out), began_alone: others == 0 }
    }
}

impl Out {
    /// Says whether nothing else of the fan-out was out when it began, nor is now.
    pub fn is_alone(&self) -> bool {
        self.began_alone && self.out.get() == 1
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        self.out.set(self.out.get() - 1);
    }
}
