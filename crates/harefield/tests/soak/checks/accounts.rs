//! Checks that requests run for the client account of their API key, and that revoked keys
//! are refused.

use std::time::Duration;

use super::ACTIVATION_LIMIT;
use super::Checks;
use super::Violation;
use crate::client::Outcome;
use crate::configuration::ROTATING_PREFIX;
use crate::configuration::STEADY;
use crate::ledger::KeyUse;
use crate::ledger::Scope;

impl Checks<'_> {
    /// Upstreams receive the client account of each request, and never its API key.
    pub(super) fn check_accounts(&mut self) {
        for (name, upstream) in self.upstreams {
            for head in upstream.inner.headers() {
                let id = head.get("attempt-id").and_then(|ids| ids.first()).map_or("", |id| id);
                let sent_names = head.get("tenant").map_or(&[][..], |names| names);
                let expected = if id.starts_with('k') { ROTATING_PREFIX } else { STEADY };
                let is_right = matches!(sent_names, [account] if account.starts_with(expected));
                if !is_right || head.contains_key("authorization") {
                    let detail = format!("{id} ran at {name} for {sent_names:?}");
                    self.violations.push(Violation { promise: "accounts", detail });
                }
            }
        }
    }

    /// A revoked key is refused within seconds; an active key is accepted, however new it is.
    pub(super) fn check_keys(&mut self) {
        for key_use in &self.observations.keys {
            let Outcome::Answered(answer) = &key_use.outcome else { continue };
            if answer.status == 200 && self.is_revoked(key_use) {
                self.report_key("revoked key", key_use, answer.status);
            }
            if answer.status == 401 && self.is_active(key_use) {
                self.report_key("active key", key_use, answer.status);
            }
        }
    }

    fn is_revoked(&self, key_use: &KeyUse) -> bool {
        let without =
            self.observations.published.iter().filter(|published| published.version >= key_use.version + 2);
        let Some(revoked) = without.map(|published| published.at).min() else { return false };
        let excused = [Scope::Store, Scope::StoreLink(key_use.daemon), Scope::Daemon(key_use.daemon)];
        revoked + ACTIVATION_LIMIT < key_use.sent
            && !self.was_disturbed(revoked, key_use.sent, |scope| excused.contains(&scope))
    }

    /// Returns whether a key was active throughout the request, and the store was not disturbed
    /// since the key was added: a store restored from an older copy may lack it.
    fn is_active(&self, key_use: &KeyUse) -> bool {
        let published = |version| self.observations.published.iter().find(move |p| p.version == version);
        let Some(added) = published(key_use.version).filter(|published| published.at < key_use.sent) else {
            return false;
        };
        let removed = published(key_use.version + 2)
            .is_some_and(|published| published.at < key_use.ended + ACTIVATION_LIMIT);
        let store = |scope| scope == Scope::Store;
        !removed && !self.observations.disturbed(added.at, key_use.ended, Duration::ZERO, store)
    }

    fn report_key(&mut self, promise: &'static str, key_use: &KeyUse, status: u16) {
        let detail =
            format!("{status} for the key of version {} at daemon {}", key_use.version, key_use.daemon);
        self.violations.push(Violation { promise, detail });
    }
}
