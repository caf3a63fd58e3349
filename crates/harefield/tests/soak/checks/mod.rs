//! The promises, checked against what callers and upstreams saw.
//!
//! `accounts` is about whose requests run, `answers` about what callers were told, `runs` about where their requests ran,
//! `versions` about how soon a change is in force, `extra` about load beyond the
//! requests, `harm` about requests that end upstreams.

mod accounts;
mod answers;
mod extra;
mod harm;
mod runs;
mod versions;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::client::Ending;
use crate::ledger::Pages;
use crate::ledger::Request;
use crate::world::Upstream;

/// Within this time a configuration is in force and no work reaches an upstream that
/// is leaving.
const IN_FORCE: Duration = Duration::from_secs(3);

/// How long after a disturbance a daemon may act on what it missed.
const AFTER: Duration = Duration::from_secs(2);

/// A promise that was broken.
#[derive(Clone, Debug)]
pub(crate) struct Broken {
    pub promise: &'static str,
    pub what: String,
}

/// Everything that the checks go by.
pub(crate) struct Checks<'a> {
    pages: &'a Pages,
    upstreams: &'a BTreeMap<String, Upstream>,
    /// Where each request ran, and when.
    runs: HashMap<String, Vec<(String, Instant)>>,
    broken: Vec<Broken>,
}

impl<'a> Checks<'a> {
    /// Gathers what the upstreams ran.
    pub fn new(pages: &'a Pages, upstreams: &'a BTreeMap<String, Upstream>) -> Self {
        let mut runs: HashMap<String, Vec<(String, Instant)>> = HashMap::new();
        for (name, upstream) in upstreams {
            for (at, id) in upstream.inner.arrivals() {
                runs.entry(id).or_default().push((name.clone(), at));
            }
        }
        Self { pages, upstreams, runs, broken: Vec::new() }
    }

    /// Checks everything; returns what was broken.
    pub fn all(mut self, calm: Instant) -> Vec<Broken> {
        for request in &self.pages.requests {
            self.answer(request);
            self.runs_of(request);
            self.cut(request);
            self.not_withheld(request);
        }
        self.versions();
        self.named();
        self.keys();
        self.leaving();
        self.extra_load();
        self.harm();
        self.foreign();
        self.recovery(calm);
        self.broken
    }

    fn note(&mut self, promise: &'static str, request: &Request, what: &str) {
        let what = format!("{} {:?} at daemon {}: {what}", request.id, request.route, request.daemon);
        self.broken.push(Broken { promise, what });
    }

    /// Returns the service that an upstream is of; empty where there is no such one.
    fn service_of(&self, name: &str) -> &'a str {
        self.upstreams.get(name).map_or("", |upstream| upstream.service.as_str())
    }

    /// Once all is calm, requests are served.
    fn recovery(&mut self, calm: Instant) {
        let after: Vec<&Request> = self.pages.requests.iter().filter(|r| r.sent > calm).collect();
        let good =
            |request: &&&Request| matches!(&request.ending, Ending::Answered(answer) if answer.status == 200);
        let served = after.iter().filter(good).count();
        if served * 10 < after.len() * 9 || after.is_empty() {
            let what = format!("{served} of {} requests are served when all is calm", after.len());
            self.broken.push(Broken { promise: "recovery", what });
        }
    }
}

/// Returns a count as a number that shares can be taken of.
fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
