//! Checks that a request that crashes the upstreams that run it is identified and no longer
//! sent, and that no other request is withheld.

use std::time::Duration;
use std::time::Instant;

use super::Checks;
use super::Violation;
use crate::callers::LEFT_FATAL;
use crate::client::Outcome;
use crate::ledger::FatalRequest;
use crate::ledger::Request;
use crate::ledger::Scope;

/// The time after the third crash within which every connected daemon must know of it. A daemon
/// that was disturbed counts as connected again after the same time.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

/// How many times a fatal request may be sent after that.
const MAX_LATE: usize = 3;

/// The result code in the answer to a withheld request.
const WITHHELD: &[u8] = b"HF2014";

impl Checks<'_> {
    /// Harmless requests are not withheld because of fatal requests that run at the same time.
    pub(super) fn check_withheld(&mut self, request: &Request) {
        if let Outcome::Answered(answer) = &request.outcome
            && answer.body.windows(WITHHELD.len()).any(|bytes| bytes == WITHHELD)
        {
            self.report("harmless request", request, "withheld");
        }
    }

    /// A request that crashed three upstreams is sent only a few more times.
    pub(super) fn check_fatal(&mut self) {
        for path in ["/all/fatal", "/one/fatal", LEFT_FATAL] {
            let mut runs: Vec<(Instant, &FatalRequest)> = Vec::new();
            for fatal in self.observations.fatal.iter().filter(|fatal| fatal.path == path) {
                let of_it = self.runs.get(&fatal.id).into_iter().flatten();
                runs.extend(of_it.map(|(_, at)| (*at, fatal)));
            }
            runs.sort_by_key(|(at, _)| *at);
            let Some((third, _)) = runs.get(2).copied() else { continue };
            let late = |(at, fatal): &&(Instant, &FatalRequest)| {
                *at > third + PROPAGATION_LIMIT && !self.may_lack_report(fatal, third, *at)
            };
            let count = runs.iter().filter(late).count();
            if count > MAX_LATE {
                let detail = format!(
                    "{path}: sent {count} times after every daemon had to know, {} in all",
                    runs.len()
                );
                self.violations.push(Violation { promise: "fatal request", detail });
            }
        }
    }

    /// Returns whether the daemon that received a request may lack the report of the crashes: it
    /// or the connections among daemons were disturbed, or all daemons have restarted since.
    fn may_lack_report(&self, fatal: &FatalRequest, third: Instant, at: Instant) -> bool {
        let own = |scope| matches!(scope, Scope::Peers) || scope == Scope::Daemon(fatal.daemon);
        let stopped = |scope| scope == Scope::Stop(fatal.daemon);
        let disturbed =
            self.observations.disturbed(at, at, PROPAGATION_LIMIT, |scope| own(scope) || stopped(scope));
        let daemons = self.observations.fatal.iter().map(|other| other.daemon).max().unwrap_or(0);
        let ended = |daemon| {
            let its = |scope| scope == Scope::Daemon(daemon) || scope == Scope::Stop(daemon);
            self.observations.disturbed(third, at, Duration::ZERO, its)
        };
        disturbed || (0..=daemons).all(ended)
    }
}
