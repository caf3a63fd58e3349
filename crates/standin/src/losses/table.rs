//! Tables of losses, by interval and by kind of request.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use super::request::Cause;
use super::request::Kind;
use super::request::RequestLoss;
use super::tally::Tally;

/// Losses below this are not printed; 1 is the full value of one request.
const MIN_SHOWN: f64 = 0.05;

/// The number of an interval of the run; negative before the run's time 0.
pub type IntervalIndex = i64;

/// Formats the losses in each interval of `width` seconds, with one row for each interval and
/// kind, without rows whose losses are negligible. The causes with the largest losses come
/// first.
#[must_use]
pub fn by_interval(losses: &[RequestLoss], width: f64) -> String {
    let mut tallies: BTreeMap<(IntervalIndex, Kind), Tally> = BTreeMap::new();
    for loss in losses {
        #[expect(clippy::cast_possible_truncation, reason = "a run lasts minutes")]
        let interval = (loss.at / width).floor() as IntervalIndex;
        tallies.entry((interval, loss.kind)).or_default().add(loss);
    }
    let mut text =
        String::from("| from second | kind | attempts | lost | by cause |\n|---|---|---|---|---|\n");
    for ((interval, kind), tally) in &tallies {
        if tally.total() < MIN_SHOWN {
            continue;
        }
        #[expect(clippy::cast_precision_loss, reason = "a run lasts minutes")]
        let from = *interval as f64 * width;
        write_row(&mut text, &format!("{from:.1}"), *kind, tally);
    }
    text
}

/// Formats the losses over the whole run, with one row for each kind.
#[must_use]
pub fn by_kind(losses: &[RequestLoss]) -> String {
    let mut tallies: BTreeMap<Kind, Tally> = BTreeMap::new();
    for loss in losses {
        tallies.entry(loss.kind).or_default().add(loss);
    }
    let mut text =
        String::from("| from second | kind | attempts | lost | by cause |\n|---|---|---|---|---|\n");
    for (kind, tally) in &tallies {
        write_row(&mut text, "all", *kind, tally);
    }
    text
}

fn write_row(text: &mut String, interval: &str, kind: Kind, tally: &Tally) {
    let mut causes: Vec<_> = tally.lost.iter().filter(|(_, lost)| **lost >= MIN_SHOWN).collect();
    causes.sort_by(|a, b| b.1.total_cmp(a.1));
    let causes: Vec<String> =
        causes.into_iter().map(|(cause, lost)| format!("{} {lost:.1}", cause_name(cause))).collect();
    let kind = match kind {
        Kind::Objective(millis) => format!("{millis} ms"),
        Kind::Unknown => "unknown".to_owned(),
    };
    let (requests, total) = (tally.requests, tally.total());
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "| {interval} | {kind} | {requests} | {total:.1} | {} |", causes.join(", "));
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
