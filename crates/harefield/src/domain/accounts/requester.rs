//! Whose request it is, as daemons tell each other.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::AccountId;
use crate::domain::residency::Regions;
use crate::domain::resources::Urgency;

/// Whose request it is. Between daemons this goes, and never the key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requester {
    /// Whether client accounts are in force: what the request says of who sends it then
    /// stays at the daemon that it came to.
    pub checked: bool,
    /// The account; none where the lookup is public or no accounts are in force.
    pub account: Option<AccountId>,
    /// The account's urgency, which goes before the lookup's.
    pub urgency: Option<Urgency>,
    /// The regions that the account binds its requests to; everywhere where empty.
    pub regions: Regions,
}

impl Requester {
    /// Returns the asker of a public lookup without a key.
    #[must_use]
    pub fn public() -> Self {
        Self { checked: true, ..Self::default() }
    }

    /// Returns whether no accounts are in force.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.checked
    }

    /// Returns whose share of a daemon its requests use: the account's, else the team's.
    #[must_use]
    pub fn share_owner(&self, team: &str) -> Arc<str> {
        self.account.as_ref().map_or_else(|| team.into(), Arc::clone)
    }
}
