//! Callers get the answers that their own requests made.

use std::collections::BTreeSet;

use super::Checks;
use super::float;
use crate::client::Answer;
use crate::client::RequestOutcome;
use crate::cluster::MIN_SHARE;
use crate::cluster::RESULT_LIMIT;
use crate::cluster::Upstream;
use crate::ledger::Published;
use crate::ledger::Request;
use crate::ledger::Route;

/// Bytes of a record, as the stand-ins make them of one.
const RECORD_BYTES: usize = 16;

impl Checks<'_> {
    /// Each caller gets the whole answer to its own request, truly described.
    pub(super) fn check_answer(&mut self, request: &Request) {
        let RequestOutcome::Answered(answer) = &request.outcome else {
            if matches!(request.outcome, RequestOutcome::Malformed) {
                self.report("own answer", request, "what came is no answer");
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
        self.upstreams.get(name).ok_or_else(|| format!("a signature of nobody: {signature}"))
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
            return Err("the body is not what its parts make".to_owned());
        }
        let missing = answer.header("missing-parts").parse().unwrap_or(0);
        self.check_coverage(&services, missing)
    }

    /// Some version has just these shards and as many missing, and they are enough.
    fn check_coverage(&self, services: &BTreeSet<String>, missing: usize) -> Result<(), String> {
        let fits = |version: &&Published| {
            services.iter().all(|service| version.shards.contains(service))
                && version.shards.len() == services.len() + missing
        };
        let version = self.observations.published.iter().find(fits);
        let version = version.ok_or("no version has these shards and as many missing")?;
        if float(services.len()) < MIN_SHARE * float(version.shards.len()) {
            return Err("too few shards".to_owned());
        }
        Ok(())
    }
}

/// Returns the body that upstreams with some records make.
fn body_of(records: &[u8]) -> Vec<u8> {
    records.iter().flat_map(|byte| [*byte; RECORD_BYTES]).collect()
}
