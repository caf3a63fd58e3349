//! Checks that callers get the answers to their own requests.

use std::collections::BTreeSet;

use super::Checks;
use super::float;
use crate::client::Answer;
use crate::client::Outcome;
use crate::cluster::MIN_SHARE;
use crate::cluster::RESULT_LIMIT;
use crate::cluster::Upstream;
use crate::ledger::Published;
use crate::ledger::Request;
use crate::ledger::Route;

/// The size of a record in bytes; a simulated upstream repeats one byte this many times.
const RECORD_BYTES: usize = 16;

impl Checks<'_> {
    /// Each caller gets the whole answer to its own request, with correct headers.
    pub(super) fn check_answer(&mut self, request: &Request) {
        let Outcome::Answered(answer) = &request.outcome else {
            if matches!(request.outcome, Outcome::Malformed) {
                self.report("own answer", request, "the response is malformed");
            }
            return;
        };
        if (400..500).contains(&answer.status) && ![408, 421, 429].contains(&answer.status) {
            self.report("configuration", request, &format!("denied with {}", answer.status));
        }
        if answer.status != 200 {
            return;
        }
        let fault = match request.route {
            Route::All => self.check_merged(request, answer),
            Route::One | Route::Once | Route::Version => self.check_single(request, answer),
        };
        if let Err(fault) = fault {
            self.report("own answer", request, &fault);
        }
    }

    fn upstream_of(&self, request: &Request, signature: &str) -> Result<&Upstream, String> {
        let (name, id) = signature.split_once('.').ok_or_else(|| format!("no signature: {signature}"))?;
        if id != request.id {
            return Err(format!("a signature of another request: {signature}"));
        }
        self.upstreams.get(name).ok_or_else(|| format!("a signature of an unknown upstream: {signature}"))
    }

    fn check_single(&self, request: &Request, answer: &Answer) -> Result<(), String> {
        let upstream = self.upstream_of(request, answer.header("server-seal"))?;
        if answer.body != body_of(&upstream.records) {
            return Err("the body is not the upstream's".to_owned());
        }
        Ok(())
    }

    fn check_merged(&self, request: &Request, answer: &Answer) -> Result<(), String> {
        let mut services = BTreeSet::new();
        let mut records = Vec::new();
        for signature in answer.header("part-seals").split(", ") {
            let upstream = self.upstream_of(request, signature)?;
            if !services.insert(upstream.service.clone()) {
                return Err(format!("two parts of {}", upstream.service));
            }
            records.extend(upstream.records.iter().copied());
        }
        records.sort_unstable_by(|a, b| b.cmp(a));
        records.truncate(RESULT_LIMIT);
        if answer.body != body_of(&records) {
            return Err("the body does not match its parts".to_owned());
        }
        let missing = answer.header("missing-parts").parse().unwrap_or(0);
        self.check_coverage(&services, missing)
    }

    /// Some version has exactly these shards plus the number of missing ones, and the shards
    /// reach the minimum share.
    fn check_coverage(&self, services: &BTreeSet<String>, missing: usize) -> Result<(), String> {
        let fits = |version: &&Published| {
            services.iter().all(|service| version.shards.contains(service))
                && version.shards.len() == services.len() + missing
        };
        let version = self.observations.published.iter().find(fits);
        let version = version.ok_or("no version has these shards and this many missing ones")?;
        if float(services.len()) < MIN_SHARE * float(version.shards.len()) {
            return Err("too few shards".to_owned());
        }
        Ok(())
    }
}

/// Returns the body of an answer with these records.
fn body_of(records: &[u8]) -> Vec<u8> {
    records.iter().flat_map(|byte| [*byte; RECORD_BYTES]).collect()
}
