//! The result codes, which must match their table in the documentation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use harefield::domain::code::Code;

const TABLE: &str = include_str!("../../../../docs/ERRORS.md");

#[test]
fn table_matches() {
    let rows: BTreeMap<&str, (&str, &str)> = TABLE
        .lines()
        .filter(|line| line.starts_with("| HF"))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            (cells[1], (cells[2], cells[3]))
        })
        .collect();
    let expected: BTreeMap<String, (String, &str)> =
        Code::ALL.iter().map(|code| (code.to_string(), (code.status().to_string(), code.text()))).collect();
    assert_eq!(rows.len(), expected.len());
    for (name, (status, text)) in &expected {
        assert_eq!(rows.get(name.as_str()), Some(&(status.as_str(), *text)), "{name}");
    }
}

#[test]
fn numbers_distinct() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
}

#[test]
fn text_parses() {
    for code in Code::ALL {
        assert_eq!(code.to_string().parse::<Code>().ok(), Some(*code));
    }
    assert_eq!("HF9999".parse::<Code>().ok(), None);
}

#[test]
fn gaps_named() {
    use harefield::domain::outcome::Gap;
    let all = [
        Gap::NoReplica,
        Gap::Leaving,
        Gap::SnapshotMissing,
        Gap::SnapshotWrong,
        Gap::ShardMoved,
        Gap::Overloaded,
        Gap::Unreachable,
        Gap::ReplyLost,
        Gap::ReplyCrossed,
        Gap::Failed,
        Gap::Late,
        Gap::NotAsked,
        Gap::Unconfirmed,
        Gap::UpstreamEnded,
        Gap::Withheld,
    ];
    for gap in all {
        assert_eq!(serde_json::to_value(gap).ok(), Some(gap.name().into()), "metrics and answers agree");
    }
}
