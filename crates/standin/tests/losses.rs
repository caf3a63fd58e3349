//! Tests of the losses that are computed from the daemons' log lines.

use serde_json::Value;
use serde_json::json;
use standin::losses;
use standin::losses::Cause;
use standin::losses::Kind;
use standin::losses::RequestLoss;

fn line(at: f64, request: &str, host: &str, event: &Value) -> String {
    let record = json!({ "event": { "host": host, "request": request, "event": event } });
    format!("  {at:.4} machine-1 {record}\n")
}

fn admitted(due: u64) -> Value {
    json!({ "kind": "admitted", "lookup": "rush", "objective": 100, "due": due, "waited": 5 })
}

fn answered(outcome: &str, code: &str, contributed: u64, missing: u64, micros: u64) -> Value {
    json!({
        "kind": "answered", "lookup": "rush", "outcome": outcome, "code": code,
        "contributed": contributed, "missing": missing, "micros": micros,
    })
}

fn losses_of(output: &str) -> Vec<RequestLoss> {
    losses::request_losses(&losses::read(output.as_bytes()).expect("the text can be read"))
}

#[test]
fn full_answer_loses_nothing() {
    let output = line(1.0, "a", "h", &admitted(86_000))
        + &line(1.0, "a", "h", &answered("answered", "HF0000", 4, 0, 50_000));
    let found = losses_of(&output);
    assert_eq!(found, [RequestLoss { at: 1.0, kind: Kind::Objective(100), lost: Vec::new() }]);
}

#[test]
fn causes_distinguished() {
    let missing = |why: &str| json!({ "kind": "shard-missing", "shard": "s/0", "why": why, "ran": true });
    let output = line(1.0, "late", "h", &admitted(86_000))
        + &line(1.0, "late", "h", &answered("answered", "HF0000", 4, 0, 200_000))
        + &line(1.1, "part", "h", &admitted(86_000))
        + &line(1.1, "part", "h", &missing("late"))
        + &line(1.1, "part", "h", &missing("overloaded"))
        + &line(1.1, "part", "h", &answered("answered", "HF0001", 2, 2, 80_000))
        + &line(1.2, "failed", "h", &answered("may-have-run", "HF3006", 1, 3, 80_000))
        + &line(1.3, "refused", "h", &answered("not-run", "HF2002", 0, 0, 10))
        + &line(1.4, "gone", "h", &json!({ "kind": "caller-gone", "lookup": "rush" }));
    let mut found = losses_of(&output);
    found.sort_by(|a, b| a.at.total_cmp(&b.at));
    let lost: Vec<_> = found.into_iter().map(|story| story.lost).collect();
    let left_out = |why: &str| (Cause::LeftOut(why.to_owned()), 0.375);
    assert_eq!(lost[0], [(Cause::Late, 1.0)]);
    assert_eq!(
        lost[1],
        [left_out("late"), left_out("overloaded")],
        "two shards of four lose 0.75, in two equal parts"
    );
    assert_eq!(lost[2], [(Cause::Failed("HF3006".to_owned()), 1.0)]);
    assert_eq!(lost[3], [(Cause::Refused("HF2002".to_owned()), 1.0)]);
    assert_eq!(lost[4], [(Cause::Gone, 1.0)]);
}

#[test]
fn forwarded_counts_once() {
    let output = line(1.0, "a", "member", &json!({ "kind": "forward-taken", "from": "entry" }))
        + &line(1.0, "a", "member", &admitted(86_000))
        + &line(1.0, "a", "member", &answered("answered", "HF0000", 4, 0, 80_000))
        + &line(1.1, "a", "entry", &answered("answered", "HF0000", 4, 0, 120_000));
    let found = losses_of(&output);
    assert_eq!(found.len(), 1, "one request, however many daemons processed it");
    assert_eq!(found[0].lost, [(Cause::Late, 1.0)], "the time at its entry daemon counts");
}

#[test]
fn other_lines_skipped() {
    let output = String::from("built in 0.1 s\nclass asked\n  1.0 machine-1 {\"message\":\"ready\"}\n");
    assert!(losses_of(&output).is_empty());
    let tables = losses::by_kind(&[]);
    assert_eq!(tables.lines().count(), 2, "a table without rows has its two header lines");
}

#[test]
fn intervals_in_order() {
    let refused = answered("not-run", "HF2002", 0, 0, 10);
    let output = line(5.0, "b", "h", &refused) + &line(-1.0, "a", "h", &refused);
    let table = losses::by_interval(&losses_of(&output), 2.0);
    let rows: Vec<&str> = table.lines().skip(2).collect();
    assert!(rows[0].starts_with("| -2.0 |"), "{table}");
    assert!(rows[1].starts_with("| 4.0 |"), "{table}");
}
