//! A request that ends the upstreams that run it is found and withheld; no other one is.

use std::time::Duration;
use std::time::Instant;

use super::Checks;
use super::Violation;
use crate::client::RequestOutcome;
use crate::ledger::FatalRequest;
use crate::ledger::Request;
use crate::ledger::Scope;

/// Within this time after the third end every daemon in touch knows of it; one that was
/// disturbed counts as in touch after as long.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

/// How many times it may be sent after that.
const MAX_LATE: usize = 3;

/// What requests that are withheld are answered.
const WITHHELD: &[u8] = b"HF2014";

impl Checks<'_> {
    /// Requests that others answer are not withheld for what ends upstreams beside them.
    pub(super) fn check_withheld(&mut self, request: &Request) {
        if let RequestOutcome::Answered(answer) = &request.outcome
            && answer.body.windows(WITHHELD.len()).any(|bytes| bytes == WITHHELD)
        {
            self.report("innocent", request, "withheld");
        }
    }

    /// Once three upstreams ended under a request, it is sent to few more.
    pub(super) fn check_fatal(&mut self) {
        for path in ["/all/fatal", "/one/fatal"] {
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
                let detail =
                    format!("{path}: sent {count} times after all had to know, {} in all", runs.len());
                self.violations.push(Violation { promise: "harm", detail });
            }
        }
    }

    /// Says whether the daemon that took a request may not know what was found: it was
    /// disturbed, or what daemons say to each other, or all have started again since.
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
