//! A published change is in force in time, and stays.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::AFTER;
use super::Broken;
use super::Checks;
use super::IN_FORCE;
use crate::client::Ending;
use crate::ledger::Kind;
use crate::ledger::Request;
use crate::ledger::Route;

impl Checks<'_> {
    /// A configuration is in force within seconds, and no process goes back.
    pub(super) fn versions(&mut self) {
        let mut newest: HashMap<(usize, u64), (u64, Instant)> = HashMap::new();
        let mut asked: Vec<&Request> =
            self.pages.requests.iter().filter(|request| request.route == Route::Version).collect();
        asked.sort_by_key(|request| request.sent);
        for request in asked {
            let Some(version) = self.version_of(request) else { continue };
            let held = newest.entry((request.daemon, request.life)).or_insert((version, request.ended));
            if version < held.0 && request.sent > held.1 {
                let what = format!("version {version} after {}", held.0);
                self.note("never reverts", request, &what);
            }
            if version > held.0 {
                *held = (version, request.ended);
            }
            self.in_force(request, version);
        }
    }

    fn in_force(&mut self, request: &Request, version: u64) {
        let due = self.pages.published.iter().filter(|p| p.at + IN_FORCE < request.sent);
        let Some(due) = due.max_by_key(|published| published.version) else { return };
        let own = [Kind::Store, Kind::StoreLink(request.daemon), Kind::Daemon(request.daemon)];
        let excused = |kind| own.contains(&kind);
        if version < due.version && !self.was_disturbed(due.at, request.sent, excused) {
            let what = format!("version {version} where {} is due", due.version);
            self.note("in force", request, &what);
        }
    }

    fn version_of(&self, request: &Request) -> Option<u64> {
        let Ending::Answered(answer) = &request.ending else { return None };
        let (name, _) = answer.header("server-seal").split_once('.')?;
        self.upstreams.get(name)?.service.strip_prefix("version-")?.parse().ok()
    }

    /// Says whether anything of the kinds chosen was disturbed between a word of the
    /// store and a moment, within the time that its word takes to be in force. That time
    /// runs from the return of a store that was away: nobody waits for lost answers.
    pub(super) fn was_disturbed(&self, word: Instant, until: Instant, of: impl Fn(Kind) -> bool) -> bool {
        let from = word.max(until.checked_sub(IN_FORCE).unwrap_or(word));
        let is_store = |kind| matches!(kind, Kind::Store | Kind::StoreLink(_));
        let store = |kind| is_store(kind) && of(kind);
        let other = |kind| !is_store(kind) && of(kind);
        self.pages.disturbed(from, until, Duration::ZERO, store)
            || self.pages.disturbed(from, until, AFTER, other)
    }

    /// An upstream that is leaving gets no new work after seconds.
    pub(super) fn leaving(&mut self) {
        for leaving in &self.pages.leaving {
            let Some(upstream) = self.upstreams.get(&leaving.id) else { continue };
            for (at, id) in upstream.inner.arrivals() {
                // A daemon that was paused asks before it sends, so none is excused.
                let excused = |kind| matches!(kind, Kind::Store | Kind::StoreLink(_));
                let late = at > leaving.at + IN_FORCE;
                if late && !self.was_disturbed(leaving.at, at, excused) {
                    let after = at.duration_since(leaving.at);
                    let what = format!("{id} at {} after {after:?}", leaving.id);
                    self.broken.push(Broken { promise: "leaving", what });
                }
            }
        }
    }
}
