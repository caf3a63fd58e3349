//! Whose request it is: the account of its key, or a refusal.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::find::Found;
use super::message::LookupRequest;
use super::message::Origin;
use super::message::ToControl;
use super::permits::Permit;
use super::run::refuse;
use super::run::turn_away;
use super::run::wait_for;
use super::worker::Worker;
use crate::domain::accounts::Client;
use crate::domain::accounts::Identity;
use crate::domain::accounts::Requester;
use crate::domain::accounts::UnknownKeyAction;
use crate::domain::accounts::UnknownKeys;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::key::KeyDigest;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Outcome;
use crate::domain::time::millis;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// When to come back where this daemon cannot make sure of a key.
const COME_BACK: Duration = Duration::from_millis(200);

/// Why a caller may not ask, and after which time that may have changed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub code: Code,
    pub wait: Option<Duration>,
}

/// Nobody can say now whether a key opens anything; another daemon may.
const UNCONFIRMED: Refusal = Refusal { code: Code::KeyUnconfirmed, wait: Some(COME_BACK) };

/// Whose request it is.
#[derive(Debug)]
pub(super) enum Whose {
    /// Anyone's, or of one that another daemon named.
    Anyone(Requester),
    /// An account's.
    Account(Arc<Client>),
}

/// A request that asks for what is newer, until dropped: its caller may go away meanwhile.
struct Ask<'a> {
    keys: &'a RefCell<UnknownKeys>,
}

impl Drop for Ask<'_> {
    fn drop(&mut self) {
        self.keys.borrow_mut().end();
    }
}

impl Refusal {
    const fn for_good(code: Code) -> Self {
        Self { code, wait: None }
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Returns whose request it is; one from another daemon goes on as it came, since that
    /// one has looked.
    pub(super) async fn identify(&self, request: &LookupRequest, found: &Found) -> Result<Whose, Refusal> {
        if request.origin != Origin::Caller {
            return Ok(Whose::Anyone(request.asker.clone()));
        }
        match self.identity(request, found) {
            Identity::Unknown(key) => self.identify_newer(request, found, key).await,
            identity => self.admit(identity),
        }
    }

    fn identity(&self, request: &LookupRequest, found: &Found) -> Identity {
        self.view.borrow().directory.identify(request.credential, found.plan.lookup.public)
    }

    fn admit(&self, identity: Identity) -> Result<Whose, Refusal> {
        match identity {
            Identity::Anyone(asker) => Ok(Whose::Anyone(asker)),
            Identity::Known(client) if self.vouches_for_keys() => Ok(Whose::Account(client)),
            Identity::Known(_) => Err(UNCONFIRMED),
            Identity::Missing => Err(Refusal::for_good(Code::KeyRequired)),
            Identity::Unknown(_) => Err(Refusal::for_good(Code::KeyUnknown)),
        }
    }

    /// Makes sure that a key which is not known is not newer than what is held, and looks
    /// again; the key is said to be unknown only where that is sure.
    async fn identify_newer(
        &self,
        request: &LookupRequest,
        found: &Found,
        key: KeyDigest,
    ) -> Result<Whose, Refusal> {
        match self.unknown_keys.borrow_mut().begin(&key) {
            UnknownKeyAction::Refuse => return Err(Refusal::for_good(Code::KeyUnknown)),
            UnknownKeyAction::Busy => return Err(UNCONFIRMED),
            UnknownKeyAction::Query => {}
        }
        let _asking = Ask { keys: &self.unknown_keys };
        let (sender, refreshed) = async_channel::bounded(1);
        let asked = self.control.try_send(ToControl::Refresh(sender)).is_ok();
        let sure = asked && refreshed.recv().await.unwrap_or(false);
        let identity = self.identity(request, found);
        let unknown = matches!(identity, Identity::Unknown(_));
        if unknown && !sure {
            return Err(UNCONFIRMED);
        }
        if unknown {
            self.unknown_keys.borrow_mut().remember(key);
        }
        self.admit(identity)
    }

    /// Says whether what is held is new enough for keys to open anything.
    fn vouches_for_keys(&self) -> bool {
        let Some(most) = self.settings.strict else { return true };
        let now = self.ports.clock.now();
        self.proven.get().is_some_and(|proven| now.saturating_duration_since(proven) <= most)
    }

    /// Answers a request whose caller may ask.
    pub(super) async fn answer_for(
        self: &Rc<Self>,
        whose: Whose,
        request: &LookupRequest,
        found: Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        let asker = match &whose {
            Whose::Anyone(asker) if *asker == request.asker => {
                return self.answer_found(request, &found, trace).await;
            }
            Whose::Anyone(asker) => asker.clone(),
            Whose::Account(client) => client.requester(),
        };
        let query = request.query.without_claims();
        let request = LookupRequest { query, asker: asker.clone(), ..request.clone() };
        let found = match found.asked_by(&asker, &request) {
            Ok(found) => found,
            Err(code) => return refuse(trace, code, wait_for(code)),
        };
        match whose {
            Whose::Account(client) => self.answer_within(&client, &request, &found, trace).await,
            Whose::Anyone(_) => self.answer_found(&request, &found, trace).await,
        }
    }

    /// Answers a request of an account, within its limit.
    async fn answer_within(
        self: &Rc<Self>,
        client: &Client,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        let permit = match self.permit_for(client, found).await {
            Ok(permit) => permit,
            Err(refusal) => {
                let account = Arc::clone(&client.name);
                let retry_after = millis(refusal.wait.unwrap_or_default());
                trace.emit(Event::LimitRefused { account, code: refusal.code, retry_after });
                return turn_away(trace, &refusal);
            }
        };
        let answer = self.answer_found(request, found, trace).await;
        if answer.outcome == Outcome::NotRun {
            self.give_back(client, permit);
        }
        answer
    }

    fn give_back(&self, client: &Client, permit: Permit) {
        if let (Permit::Until(until), Some(reserve)) =
            (permit, self.reserves.borrow_mut().get_mut(&client.name))
        {
            reserve.release(until);
        }
    }
}
