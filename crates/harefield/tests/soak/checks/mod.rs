//! Checks the promises to callers and upstreams against what both observed.
//!
//! `accounts` checks the accounts and keys of requests, `answers` the contents of answers,
//! `runs` where and how often requests ran, `versions` how soon a change takes effect,
//! `extra_load` the load from retries and hedges, and `fatal` the requests that crash upstreams.

mod accounts;
mod answers;
mod extra_load;
mod fatal;
mod runs;
mod versions;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::client::Outcome;
use crate::cluster::Upstream;
use crate::ledger::Observations;
use crate::ledger::Request;

/// The time within which a configuration must be active, and after which no work may reach an
/// upstream that is leaving.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(3);

/// How long after a disturbance a daemon may take to catch up on what it missed.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// A broken promise, and where it was broken.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub promise: &'static str,
    pub detail: String,
}

/// The input of the checks and the violations found so far.
pub(crate) struct Checks<'a> {
    observations: &'a Observations,
    upstreams: &'a BTreeMap<String, Upstream>,
    /// The upstreams that each request ran at, and when, by the request's id.
    runs: HashMap<String, Vec<(String, Instant)>>,
    violations: Vec<Violation>,
}

impl<'a> Checks<'a> {
    /// Collects the requests that the upstreams ran.
    pub fn new(observations: &'a Observations, upstreams: &'a BTreeMap<String, Upstream>) -> Self {
        let mut runs: HashMap<String, Vec<(String, Instant)>> = HashMap::new();
        for (name, upstream) in upstreams {
            for (at, id) in upstream.inner.arrivals() {
                runs.entry(id).or_default().push((name.clone(), at));
            }
        }
        Self { observations, upstreams, runs, violations: Vec::new() }
    }

    /// Runs all checks and returns the violations.
    pub fn run(mut self, calm: Instant) -> Vec<Violation> {
        for request in &self.observations.requests {
            self.check_answer(request);
            self.check_runs(request);
            self.check_completion(request);
            self.check_withheld(request);
        }
        self.check_versions();
        self.check_accounts();
        self.check_keys();
        self.check_leaving();
        self.check_load();
        self.check_fatal();
        self.check_foreign();
        self.check_recovery(calm);
        self.violations
    }

    fn report(&mut self, promise: &'static str, request: &Request, detail: &str) {
        let detail = format!("{} {:?} at daemon {}: {detail}", request.id, request.route, request.daemon);
        self.violations.push(Violation { promise, detail });
    }

    /// Returns the service of an upstream, or an empty string if there is no such upstream.
    fn service_of(&self, name: &str) -> &'a str {
        self.upstreams.get(name).map_or("", |upstream| upstream.service.as_str())
    }

    /// At least nine tenths of the requests are served once no faults are injected.
    fn check_recovery(&mut self, calm: Instant) {
        let after: Vec<&Request> = self.observations.requests.iter().filter(|r| r.sent > calm).collect();
        let is_served = |request: &&&Request| matches!(&request.outcome, Outcome::Answered(answer) if answer.status == 200);
        let served = after.iter().filter(is_served).count();
        if served * 10 < after.len() * 9 || after.is_empty() {
            let detail = format!("{served} of {} requests were served after the faults ended", after.len());
            self.violations.push(Violation { promise: "recovery", detail });
        }
    }
}

/// Converts a count for the computation of shares.
fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
