//! Which account a key is of, in one configuration.

use std::collections::HashMap;
use std::sync::Arc;

use super::asker::Requester;
use crate::domain::ids::AccountId;
use crate::domain::key::Credential;
use crate::domain::key::KeyDigest;
use crate::domain::resources::Account;
use crate::domain::resources::ResourceSet;

/// An account with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Client {
    /// Its name.
    pub name: AccountId,
    /// The resource.
    pub account: Arc<Account>,
}

impl Client {
    /// Returns what other daemons are told of its requests.
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

/// Who sends a request.
#[derive(Clone, Debug)]
pub enum Identity {
    /// Anyone: no accounts are in force, or the lookup is public and no key was shown.
    Anyone(Requester),
    /// An account.
    Known(Arc<Client>),
    /// Nobody that may ask: there is no key, or nothing that is one.
    Missing,
    /// A key that no account has.
    Unknown(KeyDigest),
}

/// The accounts of one configuration, by their keys.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Whether lookups that are not public ask for a key.
    required: bool,
    clients: HashMap<KeyDigest, Arc<Client>>,
    names: HashMap<AccountId, Arc<Client>>,
}

impl Directory {
    /// Creates the directory of a set; `required` asks for keys also where it has no accounts.
    #[must_use]
    pub fn new(set: &ResourceSet, required: bool) -> Self {
        let mut directory = Self { required: required || set.has_accounts(), ..Self::default() };
        for (name, account) in &set.accounts {
            let client = Arc::new(Client { name: Arc::clone(name), account: Arc::clone(account) });
            for key in &account.keys {
                directory.clients.insert(*key, Arc::clone(&client));
            }
            directory.names.insert(Arc::clone(name), client);
        }
        directory
    }

    /// Returns whether it says the same as a set.
    #[must_use]
    pub fn matches(&self, set: &ResourceSet, required: bool) -> bool {
        let held = |(name, account): (&AccountId, &Arc<Account>)| {
            self.names.get(name).is_some_and(|client| Arc::ptr_eq(&client.account, account))
        };
        self.required == (required || set.has_accounts())
            && self.names.len() == set.accounts.len()
            && set.accounts.iter().all(held)
    }

    /// Returns whether lookups that are not public ask for a key.
    #[must_use]
    pub fn is_required(&self) -> bool {
        self.required
    }

    /// Returns an account by its name.
    #[must_use]
    pub fn client(&self, name: &str) -> Option<&Arc<Client>> {
        self.names.get(name)
    }

    /// Says who sends a request for a lookup that is `public` or not.
    #[must_use]
    pub fn identify(&self, credential: Credential, public: bool) -> Identity {
        if !self.required {
            return Identity::Anyone(Requester::default());
        }
        match credential {
            Credential::Key(key) => match self.clients.get(&key) {
                Some(client) => Identity::Known(Arc::clone(client)),
                None => Identity::Unknown(key),
            },
            Credential::Missing if public => Identity::Anyone(Requester::public()),
            Credential::Missing | Credential::Malformed => Identity::Missing,
        }
    }
}
