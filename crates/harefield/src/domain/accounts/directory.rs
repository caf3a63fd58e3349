//! The mapping from API keys to client accounts in one configuration.

use std::collections::HashMap;
use std::sync::Arc;

use super::requester::Requester;
use crate::domain::ids::AccountId;
use crate::domain::key::Credential;
use crate::domain::key::KeyDigest;
use crate::domain::resources::Account;
use crate::domain::resources::ResourceSet;

/// A client account with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Client {
    /// The name of the account.
    pub name: AccountId,
    /// The account as published.
    pub account: Arc<Account>,
}

impl Client {
    /// Returns what is sent to other daemons with its requests.
    #[must_use]
    pub fn requester(&self) -> Requester {
        Requester {
            checked: true,
            account: Some(Arc::clone(&self.name)),
            urgency: self.account.urgency,
            regions: Arc::clone(&self.account.regions),
        }
    }
}

/// The result of identifying the sender of a request.
#[derive(Clone, Debug)]
pub enum Identity {
    /// Anyone: no accounts are in force, or the lookup is public and no key was sent.
    Anyone(Requester),
    /// A known account.
    Known(Arc<Client>),
    /// A key is required, and none was sent or it is malformed.
    Missing,
    /// A well-formed key that no account lists.
    Unknown(KeyDigest),
}

/// The accounts of one configuration, by key and by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Whether lookups that are not public require a key.
    required: bool,
    by_key: HashMap<KeyDigest, Arc<Client>>,
    by_name: HashMap<AccountId, Arc<Client>>,
}

impl Directory {
    /// Creates the directory of a resource set; `required` makes keys mandatory even where the set
    /// has no accounts.
    #[must_use]
    pub fn new(set: &ResourceSet, required: bool) -> Self {
        let mut directory = Self { required: required || set.has_accounts(), ..Self::default() };
        for (name, account) in set.accounts.iter() {
            let client = Arc::new(Client { name: Arc::clone(name), account: Arc::clone(account) });
            for key in &account.keys {
                directory.by_key.insert(*key, Arc::clone(&client));
            }
            directory.by_name.insert(Arc::clone(name), client);
        }
        directory
    }

    /// Returns whether it was built from the same accounts, by pointer, and the same requirement.
    #[must_use]
    pub fn matches(&self, set: &ResourceSet, required: bool) -> bool {
        let held = |(name, account): (&AccountId, &Arc<Account>)| {
            self.by_name.get(name).is_some_and(|client| Arc::ptr_eq(&client.account, account))
        };
        self.required == (required || set.has_accounts())
            && self.by_name.len() == set.accounts.len()
            && set.accounts.iter().all(held)
    }

    /// Returns whether lookups that are not public require a key.
    #[must_use]
    pub fn is_required(&self) -> bool {
        self.required
    }

    /// Returns the account of a name.
    #[must_use]
    pub fn client(&self, name: &str) -> Option<&Arc<Client>> {
        self.by_name.get(name)
    }

    /// Identifies the sender of a request by its credential. `public` tells whether the lookup may
    /// be used without a key.
    #[must_use]
    pub fn identify(&self, credential: Credential, public: bool) -> Identity {
        if !self.required {
            return Identity::Anyone(Requester::default());
        }
        match credential {
            Credential::Key(key) => match self.by_key.get(&key) {
                Some(client) => Identity::Known(Arc::clone(client)),
                None => Identity::Unknown(key),
            },
            Credential::Missing if public => Identity::Anyone(Requester::public()),
            Credential::Missing | Credential::Malformed => Identity::Missing,
        }
    }
}
