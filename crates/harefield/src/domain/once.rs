//! Once-only requests: tickets, and the ledger of the one daemon incarnation that may run them.
//!
//! A ticket names one incarnation of one daemon. Only that incarnation runs the request, whichever
//! daemon it is submitted to. Once the incarnation is gone nobody runs it, and the answer is "may
//! have run".

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use super::code::Code;
use super::ids::HostId;
use super::ids::Incarnation;
use super::outcome::Answer;
use super::outcome::Outcome;

/// How long a ticket is valid after it was issued.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(600);

/// How many outcomes the ledger keeps.
pub const MAX_OUTCOMES: usize = 4096;

/// How many issued tickets may be unused at a time.
const MAX_OPEN: usize = 65_536;

/// Identifies a request and the incarnation that may run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The daemon.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The number of the ticket within the incarnation.
    pub number: u64,
}

impl std::fmt::Display for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}~{:x}~{}", self.host, self.incarnation, self.number)
    }
}

/// The error for a text that is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a ticket")]
pub struct MalformedTicket;

impl FromStr for Ticket {
    type Err = MalformedTicket;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('~');
        let (Some(host), Some(incarnation), Some(number), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(MalformedTicket);
        };
        let _: std::net::SocketAddr = host.parse().map_err(|_error| MalformedTicket)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_error| MalformedTicket)?;
        let number = number.parse().map_err(|_error| MalformedTicket)?;
        Ok(Self { host: host.into(), incarnation, number })
    }
}

/// A digest of the request that a ticket is bound to by its first submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Binding(u64);

impl Binding {
    /// Creates the binding for a lookup and the bytes of its query.
    #[must_use]
    pub fn new(lookup: &str, query: &[u8]) -> Self {
        let mut bytes = lookup.as_bytes().to_vec();
        bytes.push(0);
        bytes.extend_from_slice(query);
        Self(xxh3_64(&bytes))
    }
}

/// What to do with a submitted request.
#[derive(Debug)]
pub enum SubmitAction {
    /// Run it, as this is its first submission.
    Run,
    /// Wait, as it is running; its outcome will be in the ledger.
    Wait,
    /// Return this outcome, as it has run.
    Replay(Box<Answer>),
    /// Refuse it, as it cannot be run and no outcome is known.
    Refuse(Outcome, Code),
}

#[derive(Debug)]
enum Entry {
    Open { issued: Instant },
    Running { binding: Binding },
    Done { binding: Binding, answer: Box<Answer> },
}

/// The tickets of one incarnation and their outcomes.
#[derive(Debug)]
pub struct Ledger {
    host: HostId,
    incarnation: Incarnation,
    next: u64,
    entries: BTreeMap<u64, Entry>,
    done: usize,
    open: usize,
    evicted: u64,
}

impl Ledger {
    /// Creates the ledger of one incarnation.
    #[must_use]
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self { host, incarnation, next: 1, entries: BTreeMap::new(), done: 0, open: 0, evicted: 0 }
    }

    /// Issues a ticket. `None` while too many are unused.
    pub fn issue(&mut self, now: Instant) -> Option<Ticket> {
        self.expire(now);
        if self.open >= MAX_OPEN {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.open += 1;
        self.entries.insert(number, Entry::Open { issued: now });
        Some(Ticket { host: Arc::clone(&self.host), incarnation: self.incarnation, number })
    }

    /// Returns whether a ticket names this incarnation.
    #[must_use]
    pub fn owns(&self, ticket: &Ticket) -> bool {
        ticket.host == self.host && ticket.incarnation == self.incarnation
    }

    /// Decides what to do with a request submitted under a ticket.
    pub fn submit(&mut self, ticket: &Ticket, binding: Binding, now: Instant) -> SubmitAction {
        if !self.owns(ticket) {
            return SubmitAction::Refuse(Outcome::MayHaveRun, Code::TicketGone);
        }
        if ticket.number >= self.next {
            return SubmitAction::Refuse(Outcome::NotRun, Code::MalformedTicket);
        }
        let fresh = match self.entries.get(&ticket.number) {
            None => return self.without_entry(ticket),
            Some(Entry::Running { binding: held } | Entry::Done { binding: held, .. })
                if *held != binding =>
            {
                return SubmitAction::Refuse(Outcome::NotRun, Code::TicketMismatch);
            }
            Some(Entry::Running { .. }) => return SubmitAction::Wait,
            Some(Entry::Done { answer, .. }) => return SubmitAction::Replay(answer.clone()),
            Some(Entry::Open { issued }) => now.saturating_duration_since(*issued) <= TICKET_LIFETIME,
        };
        self.open -= 1;
        if !fresh {
            self.entries.remove(&ticket.number);
            return SubmitAction::Refuse(Outcome::NotRun, Code::TicketExpired);
        }
        self.entries.insert(ticket.number, Entry::Running { binding });
        SubmitAction::Run
    }

    /// Records the outcome of a request. One that did not run may be submitted again.
    pub fn finish(&mut self, number: u64, answer: &Answer, now: Instant) {
        let Some(Entry::Running { binding }) = self.entries.get(&number) else {
            return;
        };
        if answer.outcome == Outcome::NotRun {
            self.open += 1;
            self.entries.insert(number, Entry::Open { issued: now });
            return;
        }
        let entry = Entry::Done { binding: *binding, answer: Box::new(answer.clone()) };
        self.entries.insert(number, entry);
        self.done += 1;
        self.evict_oldest();
    }

    /// Decides about a ticket without an entry. It was certainly never used only if it is newer
    /// than every forgotten one.
    fn without_entry(&self, ticket: &Ticket) -> SubmitAction {
        if ticket.number <= self.evicted {
            SubmitAction::Refuse(Outcome::MayHaveRun, Code::OutcomeForgotten)
        } else {
            SubmitAction::Refuse(Outcome::NotRun, Code::TicketExpired)
        }
    }

    fn evict_oldest(&mut self) {
        if self.done <= MAX_OUTCOMES {
            return;
        }
        let oldest = self.entries.iter().find(|(_, entry)| matches!(entry, Entry::Done { .. }));
        if let Some(number) = oldest.map(|(number, _)| *number) {
            self.entries.remove(&number);
            self.done -= 1;
            self.evicted = self.evicted.max(number);
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some(first) = self.entries.first_entry() {
            match first.get() {
                Entry::Open { issued } if now.saturating_duration_since(*issued) > TICKET_LIFETIME => {
                    first.remove();
                    self.open -= 1;
                }
                _ => return,
            }
        }
    }
}
