//! Authenticates requests: finds the account of a request's key, or refuses the request.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::find::ResolvedRequest;
use super::message::LookupRequest;
use super::message::Origin;
use super::message::ToControl;
use super::permits::LimitPermit;
use super::run::refuse;
use super::run::reject_caller;
use super::run::retry_wait;
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
use crate::domain::time::wait_millis;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// How long a caller is told to wait when this daemon cannot verify a key.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why a caller is refused, and after which time that may have changed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub code: Code,
    pub wait: Option<Duration>,
}

/// This daemon cannot tell now whether a key is valid; another one may.
const UNCONFIRMED: Refusal = Refusal { code: Code::KeyUnconfirmed, wait: Some(RETRY_AFTER) };

/// On whose behalf a request runs.
#[derive(Debug)]
pub(super) enum Authorization {
    /// No account limit is applied here: the request needs no key, or another daemon has checked
    /// it.
    Unlimited(Requester),
    /// An account, whose limit applies.
    Account(Arc<Client>),
}

/// Counts a request that waits for newer configuration until dropped, since its caller may
/// disconnect meanwhile.
struct RefreshGuard<'a> {
    keys: &'a RefCell<UnknownKeys>,
}

impl Drop for RefreshGuard<'_> {
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
    /// Returns on whose behalf a request runs. One from another daemon keeps the requester it came
    /// with, since that daemon has checked it.
    pub(super) async fn identify(
        &self,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
    ) -> Result<Authorization, Refusal> {
        if request.origin != Origin::Caller {
            return Ok(Authorization::Unlimited(request.requester.clone()));
        }
        match self.identity(request, resolved) {
            Identity::Unknown(key) => self.identify_refreshed(request, resolved, key).await,
            identity => self.authorize(identity),
        }
    }

    fn identity(&self, request: &LookupRequest, resolved: &ResolvedRequest) -> Identity {
        self.view.borrow().directory.identify(request.credential, resolved.plan.lookup.public)
    }

    fn authorize(&self, identity: Identity) -> Result<Authorization, Refusal> {
        match identity {
            Identity::Anyone(requester) => Ok(Authorization::Unlimited(requester)),
            Identity::Known(client) if self.accepts_keys() => Ok(Authorization::Account(client)),
            Identity::Known(_) => Err(UNCONFIRMED),
            Identity::Missing => Err(Refusal::for_good(Code::KeyRequired)),
            Identity::Unknown(_) => Err(Refusal::for_good(Code::KeyUnknown)),
        }
    }

    /// Fetches any newer configuration for a key that is not known here, and looks the key up
    /// again. The key is refused as unknown only when this daemon is certain to hold everything
    /// confirmed.
    async fn identify_refreshed(
        &self,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        key: KeyDigest,
    ) -> Result<Authorization, Refusal> {
        match self.unknown_keys.borrow_mut().begin(&key) {
            UnknownKeyAction::Refuse => return Err(Refusal::for_good(Code::KeyUnknown)),
            UnknownKeyAction::Busy => return Err(UNCONFIRMED),
            UnknownKeyAction::Query => {}
        }
        let _refreshing = RefreshGuard { keys: &self.unknown_keys };
        let (sender, refreshed) = async_channel::bounded(1);
        let sent = self.control.try_send(ToControl::Refresh(sender)).is_ok();
        let current = sent && refreshed.recv().await.unwrap_or(false);
        let identity = self.identity(request, resolved);
        let unknown = matches!(identity, Identity::Unknown(_));
        if unknown && !current {
            return Err(UNCONFIRMED);
        }
        if unknown {
            self.unknown_keys.borrow_mut().remember(key);
        }
        self.authorize(identity)
    }

    /// Returns whether the configuration held here was proven recently enough for keys to be
    /// accepted.
    fn accepts_keys(&self) -> bool {
        let Some(max_age) = self.settings.max_proof_age else { return true };
        let now = self.ports.clock.now();
        self.proven.get().is_some_and(|proven| now.saturating_duration_since(proven) <= max_age)
    }

    /// Answers a request that was authorized.
    pub(super) async fn answer_authorized(
        self: &Rc<Self>,
        authorization: Authorization,
        request: &LookupRequest,
        resolved: ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Answer {
        let requester = match &authorization {
            Authorization::Unlimited(requester) if *requester == request.requester => {
                return self.answer_resolved(request, &resolved, trace).await;
            }
            Authorization::Unlimited(requester) => requester.clone(),
            Authorization::Account(client) => client.requester(),
        };
        let query = request.query.without_claims();
        let request = LookupRequest { query, requester: requester.clone(), ..request.clone() };
        let resolved = match resolved.with_requester(&requester, &request) {
            Ok(resolved) => resolved,
            Err(code) => return refuse(trace, code, retry_wait(code)),
        };
        match authorization {
            Authorization::Account(client) => self.answer_limited(&client, &request, &resolved, trace).await,
            Authorization::Unlimited(_) => self.answer_resolved(&request, &resolved, trace).await,
        }
    }

    /// Answers a request of an account, within its limit.
    async fn answer_limited(
        self: &Rc<Self>,
        client: &Client,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Answer {
        let permit = match self.acquire_permit(client, resolved).await {
            Ok(permit) => permit,
            Err(refusal) => {
                let account = Arc::clone(&client.name);
                let retry_after = refusal.wait.map_or(0, wait_millis);
                trace.emit(Event::LimitRefused { account, code: refusal.code, retry_after });
                return reject_caller(trace, &refusal);
            }
        };
        let answer = self.answer_resolved(request, resolved, trace).await;
        if answer.outcome == Outcome::NotRun {
            self.release_permit(client, permit);
        }
        answer
    }

    fn release_permit(&self, client: &Client, permit: LimitPermit) {
        if let (LimitPermit::Until(until), Some(reserve)) =
            (permit, self.reserves.borrow_mut().get_mut(&client.name))
        {
            reserve.release(until);
        }
    }
}
