//! Tables of what was lost, by moment and by kind of request.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use super::request::Cause;
use super::request::Kind;
use super::request::RequestLoss;
use super::tally::Tally;

/// What is printed for a moment without losses, in requests' worths, at the most.
const LEAST_SHOWN: f64 = 0.05;

/// One moment of a run, by its number from the start.
pub type IntervalIndex = i64;

/// Tables what requests lost in each stretch of `width` seconds, one line for each
/// stretch, kind and the causes that took the most.
#[must_use]
pub fn by_interval(stories: &[RequestLoss], width: f64) -> String {
    let mut tallies: BTreeMap<(IntervalIndex, Kind), Tally> = BTreeMap::new();
    for story in stories {
        #[expect(clippy::cast_possible_truncation, reason = "a run lasts minutes")]
        let moment = (story.at / width).floor() as IntervalIndex;
        tallies.entry((moment, story.kind)).or_default().add(story);
    }
    let mut text =
        String::from("| from second | kind | attempts | lost | by cause |\n|---|---|---|---|---|\n");
    for ((moment, kind), tally) in &tallies {
        if tally.total() < LEAST_SHOWN {
            continue;
        }
        #[expect(clippy::cast_precision_loss, reason = "a run lasts minutes")]
        let from = *moment as f64 * width;
        row(&mut text, &format!("{from:.1}"), *kind, tally);
    }
    text
}

/// Tables what requests lost over the whole run, one line a kind.
#[must_use]
pub fn by_kind(stories: &[RequestLoss]) -> String {
    let mut tallies: BTreeMap<Kind, Tally> = BTreeMap::new();
    for story in stories {
        tallies.entry(story.kind).or_default().add(story);
    }
    let mut text =
        String::from("| from second | kind | attempts | lost | by cause |\n|---|---|---|---|---|\n");
    for (kind, tally) in &tallies {
        row(&mut text, "all", *kind, tally);
    }
    text
}

fn row(text: &mut String, moment: &str, kind: Kind, tally: &Tally) {
    let mut causes: Vec<_> = tally.lost.iter().filter(|(_, lost)| **lost >= LEAST_SHOWN).collect();
    causes.sort_by(|a, b| b.1.total_cmp(a.1));
    let causes: Vec<String> =
        causes.into_iter().map(|(cause, lost)| format!("{} {lost:.1}", cause_name(cause))).collect();
    let kind = match kind {
        Kind::Objective(millis) => format!("{millis} ms"),
        Kind::Unknown => "unknown".to_owned(),
    };
    let (requests, total) = (tally.requests, tally.total());
    // Writing to a text cannot fail.
    let _ = writeln!(text, "| {moment} | {kind} | {requests} | {total:.1} | {} |", causes.join(", "));
}

fn cause_name(cause: &Cause) -> String {
    match cause {
        Cause::Late => "late".to_owned(),
        Cause::LeftOut(why) => format!("left out ({why})"),
        Cause::Failed(code) => format!("failed {code}"),
        Cause::Refused(code) => format!("refused {code}"),
        Cause::Gone => "caller gone".to_owned(),
    }
}
