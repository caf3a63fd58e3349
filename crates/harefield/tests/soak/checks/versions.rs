//! Checks that a published change takes effect in time and isn't reverted.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::ACTIVATION_LIMIT;
use super::CATCH_UP_TIME;
use super::Checks;
use super::Violation;
use crate::client::Outcome;
use crate::ledger::Request;
use crate::ledger::Route;
use crate::ledger::Scope;

impl Checks<'_> {
    /// A configuration is active within seconds, and no process returns to an older one.
    pub(super) fn check_versions(&mut self) {
        let mut newest: HashMap<(usize, u64), (u64, Instant)> = HashMap::new();
        let mut requests: Vec<&Request> =
            self.observations.requests.iter().filter(|request| request.route == Route::Version).collect();
        requests.sort_by_key(|request| request.sent);
        for request in requests {
            let Some(version) = self.version_of(request) else { continue };
            let highest =
                newest.entry((request.daemon, request.incarnation)).or_insert((version, request.ended));
            if version < highest.0 && request.sent > highest.1 {
                let detail = format!("version {version} after {}", highest.0);
                self.report("never reverts", request, &detail);
            }
            if version > highest.0 {
                *highest = (version, request.ended);
            }
            self.check_activation(request, version);
        }
    }

    fn check_activation(&mut self, request: &Request, version: u64) {
        let due = self.observations.published.iter().filter(|p| p.at + ACTIVATION_LIMIT < request.sent);
        let Some(due) = due.max_by_key(|published| published.version) else { return };
        let own = [Scope::Store, Scope::StoreLink(request.daemon), Scope::Daemon(request.daemon)];
        let excused = |scope| own.contains(&scope);
        if version < due.version && !self.was_disturbed(due.at, request.sent, excused) {
            let detail = format!("version {version} after version {} had to be active", due.version);
            self.report("activation", request, &detail);
        }
    }

    fn version_of(&self, request: &Request) -> Option<u64> {
        let Outcome::Answered(answer) = &request.outcome else { return None };
        let (name, _) = answer.header("server-seal").split_once('.')?;
        self.upstreams.get(name)?.service.strip_prefix("version-")?.parse().ok()
    }

    /// Returns whether anything in the scopes selected by `of` was disturbed between a `change`
    /// in the store and `until`, within the time that a change may take to become active. After
    /// an outage of the store that time runs from its return: no daemon may wait any longer for
    /// answers that were lost.
    pub(super) fn was_disturbed(&self, change: Instant, until: Instant, of: impl Fn(Scope) -> bool) -> bool {
        let from = change.max(until.checked_sub(ACTIVATION_LIMIT).unwrap_or(change));
        let is_store = |scope| matches!(scope, Scope::Store | Scope::StoreLink(_));
        let store = |scope| is_store(scope) && of(scope);
        let other = |scope| !is_store(scope) && of(scope);
        self.observations.disturbed(from, until, Duration::ZERO, store)
            || self.observations.disturbed(from, until, CATCH_UP_TIME, other)
    }

    /// An upstream that is leaving gets no new work after a few seconds.
    pub(super) fn check_leaving(&mut self) {
        for leaving in &self.observations.leaving {
            let Some(upstream) = self.upstreams.get(&leaving.id) else { continue };
            for (at, id) in upstream.inner.arrivals() {
                // A daemon that was paused confirms its state before it sends, so it isn't excused.
                let excused = |scope| matches!(scope, Scope::Store | Scope::StoreLink(_));
                let late = at > leaving.at + ACTIVATION_LIMIT;
                if late && !self.was_disturbed(leaving.at, at, excused) {
                    let after = at.duration_since(leaving.at);
                    let detail = format!("{id} at {} after {after:?}", leaving.id);
                    self.violations.push(Violation { promise: "leaving", detail });
                }
            }
        }
    }
}
