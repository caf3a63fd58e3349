//! The account that a request belongs to, as daemons send it to each other.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::AccountId;
use crate::domain::residency::Regions;
use crate::domain::resources::Urgency;

/// The account and the restrictions that a request runs under. Daemons send this to each other
/// instead of the key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requester {
    /// Whether client accounts are in force. If so, the credentials in the request stay at the
    /// daemon that received it.
    pub checked: bool,
    /// The account; absent where the lookup is public or no accounts are in force.
    pub account: Option<AccountId>,
    /// The account's urgency, which overrides the lookup's.
    pub urgency: Option<Urgency>,
    /// The regions to which the account restricts its requests; unrestricted if empty.
    pub regions: Regions,
}

impl Requester {
    /// Returns the requester of a public lookup that was called without a key.
    #[must_use]
    pub fn public() -> Self {
        Self { checked: true, ..Self::default() }
    }

    /// Returns whether no client accounts are in force.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.checked
    }

    /// Returns the owner of the share of a daemon that its requests use: the account, else the
    /// team.
    #[must_use]
    pub fn share_owner(&self, team: &str) -> Arc<str> {
        self.account.as_ref().map_or_else(|| team.into(), Arc::clone)
    }
}
