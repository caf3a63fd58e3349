//! Requests run where and as often as they may, and come to an end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::AFTER;
use super::Broken;
use super::Checks;
use crate::client::Ending;
use crate::ledger::Kind;
use crate::ledger::Request;
use crate::ledger::Route;
use crate::world::ATTEMPTS;
use crate::world::FOREIGN;

impl Checks<'_> {
    /// What is said not to have run ran nowhere; nothing runs more often than it may.
    pub(super) fn runs_of(&mut self, request: &Request) {
        let runs = self.runs.get(&request.id).cloned().unwrap_or_default();
        if let Ending::Answered(answer) = &request.ending
            && [503, 429, 408, 421].contains(&answer.status)
            && !runs.is_empty()
        {
            self.note("not run", request, &format!("{} after {} runs", answer.status, runs.len()));
        }
        if request.route == Route::Once && runs.len() > 1 {
            self.note("once only", request, &format!("{} runs", runs.len()));
        }
        let lost = |kind| matches!(kind, Kind::Daemon(_) | Kind::Peers | Kind::Stop(_));
        if self.pages.disturbed(request.sent, request.ended, AFTER, lost) {
            return;
        }
        let mut by_service: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (name, _) in &runs {
            by_service.entry(self.service_of(name)).or_default().insert(name);
        }
        if by_service.values().any(|names| names.len() > ATTEMPTS) {
            self.note("attempts", request, &format!("{by_service:?}"));
        }
    }

    /// Nobody is sent to for an entry that is no upstream's.
    pub(super) fn foreign(&mut self) {
        let asked = self.upstreams.values().flat_map(|upstream| upstream.inner.misdirected());
        let count = asked.filter(|name| name.starts_with(FOREIGN)).count();
        if count > 0 {
            let what = format!("{count} requests for entries of other writers");
            self.broken.push(Broken { promise: "foreign entries", what });
        }
    }

    /// No daemon cuts a request that it passed on, nor holds one past its time.
    pub(super) fn cut(&mut self, request: &Request) {
        let own = |kind| kind == Kind::Daemon(request.daemon);
        if self.pages.disturbed(request.sent, request.ended, Duration::ZERO, own) {
            return;
        }
        match request.ending {
            Ending::Cut if self.runs.contains_key(&request.id) => {
                self.note("planned stop", request, "cut after it was passed on");
            }
            Ending::Silent => self.note("answered in time", request, "no answer"),
            _ => {}
        }
    }
}
