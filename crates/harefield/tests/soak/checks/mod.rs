//! The promises, checked against what callers and upstreams saw.
//!
//! `accounts` is about whose requests run, `answers` about what callers were told, `runs` about where their requests ran,
//! `versions` about how soon a change is in force, `extra` about load beyond the
//! requests, `harm` about requests that end upstreams.

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

use crate::client::RequestOutcome;
use crate::cluster::Upstream;
use crate::ledger::Observations;
use crate::ledger::Request;

/// Within this time a configuration is in force and no work reaches an upstream that
/// is leaving.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(3);

/// How long after a disturbance a daemon may act on what it missed.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// A promise that was broken.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub promise: &'static str,
    pub detail: String,
}

/// Everything that the checks go by.
pub(crate) struct Checks<'a> {
    observations: &'a Observations,
    upstreams: &'a BTreeMap<String, Upstream>,
    /// Where each request ran, and when.
    runs: HashMap<String, Vec<(String, Instant)>>,
    violations: Vec<Violation>,
}

impl<'a> Checks<'a> {
    /// Gathers what the upstreams ran.
    pub fn new(observations: &'a Observations, upstreams: &'a BTreeMap<String, Upstream>) -> Self {
        let mut runs: HashMap<String, Vec<(String, Instant)>> = HashMap::new();
        for (name, upstream) in upstreams {
            for (at, id) in upstream.inner.arrivals() {
                runs.entry(id).or_default().push((name.clone(), at));
            }
        }
        Self { observations, upstreams, runs, violations: Vec::new() }
    }

    /// Checks everything; returns what was broken.
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

    /// Returns the service that an upstream is of; empty where there is no such one.
    fn service_of(&self, name: &str) -> &'a str {
        self.upstreams.get(name).map_or("", |upstream| upstream.service.as_str())
    }

    /// Once all is calm, requests are served.
    fn check_recovery(&mut self, calm: Instant) {
        let after: Vec<&Request> = self.observations.requests.iter().filter(|r| r.sent > calm).collect();
        let is_served = |request: &&&Request| matches!(&request.outcome, RequestOutcome::Answered(answer) if answer.status == 200);
        let served = after.iter().filter(is_served).count();
        if served * 10 < after.len() * 9 || after.is_empty() {
            let detail = format!("{served} of {} requests are served when all is calm", after.len());
            self.violations.push(Violation { promise: "recovery", detail });
        }
    }
}

/// Returns a count as a number that shares can be taken of.
fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
