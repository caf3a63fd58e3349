//! Checks that requests run only where and as often as allowed, and are completed in time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::CATCH_UP_TIME;
use super::Checks;
use super::Violation;
use crate::client::Outcome;
use crate::cluster::FOREIGN_PREFIX;
use crate::cluster::MAX_ATTEMPTS;
use crate::ledger::Request;
use crate::ledger::Route;
use crate::ledger::Scope;

/// A connection that ends later than this after a request was sent had taken the request.
const LOSS_SLACK: Duration = Duration::from_millis(200);

impl Checks<'_> {
    /// A request reported as not run ran nowhere, and no request runs more often than allowed.
    pub(super) fn check_runs(&mut self, request: &Request) {
        let runs = self.runs.get(&request.id).cloned().unwrap_or_default();
        if let Outcome::Answered(answer) = &request.outcome
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

    /// No request is sent for an invalid entry of another writer.
    pub(super) fn check_foreign(&mut self) {
        let misdirected = self.upstreams.values().flat_map(|upstream| upstream.inner.misdirected());
        let count = misdirected.filter(|name| name.starts_with(FOREIGN_PREFIX)).count();
        if count > 0 {
            let detail = format!("{count} requests sent for entries of other writers");
            self.violations.push(Violation { promise: "foreign entries", detail });
        }
    }

    /// No daemon disconnects a caller whose request it sent to an upstream, or holds a request
    /// past its time limit.
    pub(super) fn check_completion(&mut self, request: &Request) {
        let own = |scope| scope == Scope::Daemon(request.daemon);
        if self.observations.disturbed(request.sent, request.ended, Duration::ZERO, own) {
            return;
        }
        match request.outcome {
            Outcome::Disconnected if self.runs.contains_key(&request.id) => {
                self.report("graceful shutdown", request, "disconnected after it was sent to an upstream");
            }
            Outcome::Disconnected if request.ended.duration_since(request.sent) > LOSS_SLACK => {
                self.report("graceful shutdown", request, "disconnected while it waited");
            }
            Outcome::TimedOut => self.report("answered in time", request, "no answer"),
            _ => {}
        }
    }
}
