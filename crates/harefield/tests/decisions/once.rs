//! Tickets of once-only requests and their ledger.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::cases;
use harefield::domain::code::Code;
use harefield::domain::once::Binding;
use harefield::domain::once::Ledger;
use harefield::domain::once::MAX_OUTCOMES;
use harefield::domain::once::SubmitAction;
use harefield::domain::once::TICKET_LIFETIME;
use harefield::domain::once::Ticket;
use harefield::domain::outcome::Answer;
use harefield::domain::outcome::Outcome;

const HOST: &str = "127.0.0.1:7200";

fn ledger(incarnation: u64) -> Ledger {
    Ledger::new(HOST.into(), incarnation)
}

fn binding() -> Binding {
    Binding::new("label", b"{}")
}

fn answered() -> Answer {
    Answer::empty("r", Outcome::Answered, Code::Whole)
}

/// What callers, daemons and time do to the ledger of one incarnation.
#[derive(Clone, Copy, Debug)]
enum Step {
    Issue,
    Submit(usize),
    FinishRan(usize),
    FinishNotRun(usize),
    FinishUnknown(usize),
    Restart,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Issue),
        6 => any::<usize>().prop_map(Step::Submit),
        2 => any::<usize>().prop_map(Step::FinishRan),
        1 => any::<usize>().prop_map(Step::FinishNotRun),
        1 => any::<usize>().prop_map(Step::FinishUnknown),
        1 => Just(Step::Restart),
        1 => (1_u64..700).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(cases(800))]

    /// However often a ticket is submitted, and whenever the daemon restarts, its request runs
    /// again only after it is known not to have run.
    #[test]
    fn runs_at_most_once(steps in prop::collection::vec(step(), 1..80)) {
        let mut now = Instant::now();
        let mut incarnation = 1;
        let mut ledger = ledger(incarnation);
        let mut tickets: Vec<Ticket> = Vec::new();
        let mut running: Vec<Ticket> = Vec::new();
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Issue => tickets.extend(ledger.issue(now)),
                Step::Submit(n) if !tickets.is_empty() => {
                    let ticket = tickets[n % tickets.len()].clone();
                    if let SubmitAction::Run = ledger.submit(&ticket, binding(), now) {
                        let count = runs.entry(ticket.to_string()).or_default();
                        *count += 1;
                        prop_assert_eq!(*count, 1, "{} runs a second time", ticket);
                        running.push(ticket);
                    }
                }
                Step::FinishRan(n) | Step::FinishUnknown(n) if !running.is_empty() => {
                    let ticket = running.swap_remove(n % running.len());
                    let unknown = matches!(step, Step::FinishUnknown(_));
                    let outcome = if unknown { Outcome::MayHaveRun } else { Outcome::Answered };
                    ledger.finish(ticket.number, &Answer::empty("r", outcome, Code::Whole), now);
                }
                Step::FinishNotRun(n) if !running.is_empty() => {
                    let ticket = running.swap_remove(n % running.len());
                    ledger.finish(ticket.number, &Answer::not_run("r", Code::TooLate, None), now);
                    runs.remove(&ticket.to_string());
                }
                Step::Restart => {
                    incarnation += 1;
                    ledger = Ledger::new(HOST.into(), incarnation);
                    running.clear();
                }
                Step::Wait(seconds) => now += Duration::from_secs(seconds),
                _ => {}
            }
        }
    }

    /// A ticket of another incarnation is never answered with "not run".
    #[test]
    fn gone_may_have_run(own in any::<u64>(), other in any::<u64>(), number in any::<u64>()) {
        prop_assume!(own != other);
        let ticket = Ticket { host: HOST.into(), incarnation: other, number };
        match ledger(own).submit(&ticket, binding(), Instant::now()) {
            SubmitAction::Refuse(outcome, code) => {
                prop_assert_eq!(outcome, Outcome::MayHaveRun);
                prop_assert_eq!(code, Code::TicketGone);
            }
            other => prop_assert!(false, "{:?}", other),
        }
    }

    /// Parsing the text of a ticket returns the ticket.
    #[test]
    fn text_round_trip(incarnation in any::<u64>(), number in any::<u64>()) {
        let ticket = Ticket { host: HOST.into(), incarnation, number };
        prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
    }

    /// No text causes a panic, and only valid texts are parsed as tickets.
    #[test]
    fn text_malformed(text in ".{0,40}") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
        }
    }
}

#[test]
fn replay_outcome() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    let ticket = ledger.issue(now).expect("a ticket");
    assert!(matches!(ledger.submit(&ticket, binding(), now), SubmitAction::Run));
    assert!(matches!(ledger.submit(&ticket, binding(), now), SubmitAction::Wait));
    ledger.finish(ticket.number, &answered(), now);
    assert!(matches!(ledger.submit(&ticket, binding(), now), SubmitAction::Replay(_)));
}

#[test]
fn different_body_refused() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    let ticket = ledger.issue(now).expect("a ticket");
    assert!(matches!(ledger.submit(&ticket, binding(), now), SubmitAction::Run));
    let other = Binding::new("label", b"{\"n\":2}");
    let refused = ledger.submit(&ticket, other, now);
    assert!(matches!(refused, SubmitAction::Refuse(Outcome::NotRun, Code::TicketMismatch)));
}

#[test]
fn expired_ticket_refused() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    let ticket = ledger.issue(now).expect("a ticket");
    let late = now + TICKET_LIFETIME + Duration::from_secs(1);
    let refused = ledger.submit(&ticket, binding(), late);
    assert!(matches!(refused, SubmitAction::Refuse(Outcome::NotRun, Code::TicketExpired)));
}

#[test]
fn evicted_outcome_may_have_run() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    let first = ledger.issue(now).expect("a ticket");
    for _ in 0..=MAX_OUTCOMES {
        let ticket = ledger.issue(now).expect("a ticket");
        assert!(matches!(ledger.submit(&ticket, binding(), now), SubmitAction::Run));
        ledger.finish(ticket.number, &answered(), now);
    }
    assert!(matches!(ledger.submit(&first, binding(), now), SubmitAction::Run));
    let second = Ticket { number: 2, ..first };
    let refused = ledger.submit(&second, binding(), now);
    assert!(matches!(refused, SubmitAction::Refuse(Outcome::MayHaveRun, Code::OutcomeForgotten)));
}

#[test]
fn unissued_number_refused() {
    let ticket = Ticket { host: HOST.into(), incarnation: 1, number: 5 };
    let refused = ledger(1).submit(&ticket, binding(), Instant::now());
    assert!(matches!(refused, SubmitAction::Refuse(Outcome::NotRun, Code::MalformedTicket)));
}
