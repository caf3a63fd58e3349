//! Requests run where and as often as they may, and come to an end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::CATCH_UP_TIME;
use super::Checks;
use super::Violation;
use crate::client::RequestOutcome;
use crate::cluster::FOREIGN_PREFIX;
use crate::cluster::MAX_ATTEMPTS;
use crate::ledger::Request;
use crate::ledger::Route;
use crate::ledger::Scope;

impl Checks<'_> {
    /// What is said not to have run ran nowhere; nothing runs more often than it may.
    pub(super) fn check_runs(&mut self, request: &Request) {
        let runs = self.runs.get(&request.id).cloned().unwrap_or_default();
        if let RequestOutcome::Answered(answer) = &request.outcome
            && [503, 429, 408, 421].contains(&answer.status)
            && !runs.is_empty()
        {
            self.report("not run", request, &format!("{} after {} runs", answer.status, runs.len()));
        }
        if request.route == Route::Once && runs.len() > 1 {
            self.report("once only", request, &format!("{} runs", runs.len()));
        }
        let excused = |scope| matches!(scope, Scope::Daemon(_) | Scope::Peers | Scope::Stop(_));
        if self.observations.disturbed(request.sent, request.ended, CATCH_UP_TIME, excused) {
            return;
        }
        let mut by_service: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (name, _) in &runs {
            by_service.entry(self.service_of(name)).or_default().insert(name);
        }
        if by_service.values().any(|names| names.len() > MAX_ATTEMPTS) {
            self.report("attempts", request, &format!("{by_service:?}"));
        }
    }

    /// Nobody is sent to for an entry that is no upstream's.
    pub(super) fn check_foreign(&mut self) {
        let misdirected = self.upstreams.values().flat_map(|upstream| upstream.inner.mistaken());
        let count = misdirected.filter(|name| name.starts_with(FOREIGN_PREFIX)).count();
        if count > 0 {
            let detail = format!("{count} requests for entries of other writers");
            self.violations.push(Violation { promise: "foreign entries", detail });
        }
    }

    /// No daemon cuts a request that it passed on, nor holds one past its time.
    pub(super) fn check_completion(&mut self, request: &Request) {
        let own = |scope| scope == Scope::Daemon(request.daemon);
        if self.observations.disturbed(request.sent, request.ended, Duration::ZERO, own) {
            return;
        }
        match request.outcome {
            RequestOutcome::Disconnected if self.runs.contains_key(&request.id) => {
                self.report("planned stop", request, "cut after it was passed on");
            }
            RequestOutcome::TimedOut => self.report("answered in time", request, "no answer"),
            _ => {}
        }
    }
}
