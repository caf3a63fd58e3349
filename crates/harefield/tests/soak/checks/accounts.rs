//! Requests run for the account of their key, and not for one that was taken away.

use std::time::Duration;

use super::Broken;
use super::Checks;
use super::IN_FORCE;
use crate::client::Ending;
use crate::configuration::STEADY;
use crate::configuration::TURN;
use crate::ledger::KeyUse;
use crate::ledger::Kind;

impl Checks<'_> {
    /// Upstreams are told whose request it is, and are shown no key.
    pub(super) fn named(&mut self) {
        for (name, upstream) in self.upstreams {
            for head in upstream.inner.headers() {
                let id = head.get("attempt-id").and_then(|ids| ids.first()).map_or("", |id| id);
                let told = head.get("tenant").map_or(&[][..], |names| names);
                let expected = if id.starts_with('k') { TURN } else { STEADY };
                let right = matches!(told, [account] if account.starts_with(expected));
                if !right || head.contains_key("authorization") {
                    let what = format!("{id} ran at {name} for {told:?}");
                    self.broken.push(Broken { promise: "accounts", what });
                }
            }
        }
    }

    /// A key that was taken away opens nothing after seconds; one that is in force is known,
    /// however new it is.
    pub(super) fn keys(&mut self) {
        for shown in &self.pages.keys {
            let Ending::Answered(answer) = &shown.ending else { continue };
            if answer.status == 200 && self.is_gone(shown) {
                self.note_key("key taken away", shown, answer.status);
            }
            if answer.status == 401 && self.is_in_force(shown) {
                self.note_key("key in force", shown, answer.status);
            }
        }
    }

    fn is_gone(&self, shown: &KeyUse) -> bool {
        let without = self.pages.published.iter().filter(|published| published.version >= shown.version + 2);
        let Some(gone) = without.map(|published| published.at).min() else { return false };
        let own = [Kind::Store, Kind::StoreLink(shown.daemon), Kind::Daemon(shown.daemon)];
        gone + IN_FORCE < shown.sent && !self.was_disturbed(gone, shown.sent, |kind| own.contains(&kind))
    }

    /// Says whether a key was in force all the time, and the store came back from no copy that
    /// may lack it.
    fn is_in_force(&self, shown: &KeyUse) -> bool {
        let published = |version| self.pages.published.iter().find(move |p| p.version == version);
        let Some(came) = published(shown.version).filter(|published| published.at < shown.sent) else {
            return false;
        };
        let went =
            published(shown.version + 2).is_some_and(|published| published.at < shown.ended + IN_FORCE);
        let store = |kind| kind == Kind::Store;
        !went && !self.pages.disturbed(came.at, shown.ended, Duration::ZERO, store)
    }

    fn note_key(&mut self, promise: &'static str, shown: &KeyUse, status: u16) {
        let what = format!("{status} for the key of {} at daemon {}", shown.version, shown.daemon);
        self.broken.push(Broken { promise, what });
    }
}
