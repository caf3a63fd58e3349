//! The time line and other reports of the command line tool.

use std::process::Command;
use std::thread;
use std::time::Duration;

use standin::Fault;

use crate::support::Cluster;

/// Runs the program and returns its exit code and output.
fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_harefield")).args(arguments).output().expect("the program runs");
    let text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    (output.status.code(), text)
}

#[test]
fn explain_partial() {
    let cluster = Cluster::start(3, "[routing]\ncell-size = 1\n");
    cluster.change_service("parcels-01", |b| b.fault = Fault::RefuseBegun);
    let answer = cluster.query(1);
    thread::sleep(Duration::from_millis(200));
    let from = cluster.daemons[0].addresses.operators.to_string();
    let (code, text) = run(&["explain", &answer.request, "--from", &from]);
    assert_eq!(code, Some(0));
    for word in ["admitted", "snapshot-chosen", "attempt-failed", "shard-missing", "parcels-01/0", "answered"]
    {
        assert!(text.contains(word), "{word} in {text}");
    }
}

#[test]
fn report_file() {
    let cluster = Cluster::start(2, "");
    let answer = cluster.query(0);
    thread::sleep(Duration::from_millis(200));
    let from = cluster.daemons[1].addresses.operators.to_string();
    let out = std::env::temp_dir().join(format!("harefield-report-{}.html", std::process::id()));
    let path = out.to_str().expect("the path is UTF-8");
    assert_eq!(run(&["report", &answer.request, "--from", &from, "--out", path]).0, Some(0));
    let page = std::fs::read_to_string(&out).expect("the report was written");
    drop(std::fs::remove_file(&out));
    for word in ["<svg", "parcels-00/0", "reply-taken", "answered"] {
        assert!(page.contains(word), "{word}");
    }
}

#[test]
fn merged_in_order() {
    let cluster = Cluster::start(3, "");
    for daemon in 0..3 {
        cluster.query(daemon);
    }
    thread::sleep(Duration::from_millis(200));
    let from = cluster.daemons[2].addresses.operators.to_string();
    let (code, text) = run(&["timeline", "--from", &from, "--json"]);
    assert_eq!(code, Some(0));
    let records: Vec<harefield::domain::event::Record> =
        text.lines().map(|line| serde_json::from_str(line).expect("each line is a record")).collect();
    assert!(records.is_sorted_by_key(|record| record.stamp));
    let mut hosts: Vec<_> = records.iter().map(|record| record.host.to_string()).collect();
    hosts.sort();
    hosts.dedup();
    assert_eq!(hosts.len(), 3, "one daemon's address gives the events of all");
}

#[test]
fn silent_named() {
    let mut cluster = Cluster::start(2, "");
    let gone = cluster.daemons[1].addresses.operators.to_string();
    let from = cluster.daemons[0].addresses.operators.to_string();
    cluster.await_all("all daemons know each other", |status| status.peers.len() == 2);
    cluster.daemons[1].signal("KILL");
    cluster.daemons[1].wait();
    let (code, text) = run(&["timeline", "--from", &from, "--kind", "started"]);
    assert_eq!(code, Some(0));
    assert!(text.contains(&format!("did not answer: {gone}")), "{text}");
}

#[test]
fn status_names_older() {
    let cluster = Cluster::start(2, "");
    let from = cluster.daemons[0].addresses.operators.to_string();
    let (code, text) = run(&["status", "--from", &from]);
    assert_eq!(code, Some(0));
    assert_eq!(text.matches("revision 1").count(), 2, "{text}");
    assert!(!text.contains("behind"), "{text}");
}

#[test]
fn usage_errors() {
    for arguments in [&["bogus"][..], &["serve"], &["query", "--nope"], &["timeline"], &["explain"]] {
        assert_eq!(run(arguments).0, Some(2), "{arguments:?}");
    }
    for command in ["serve", "check", "query", "timeline", "explain", "report", "status"] {
        let (code, text) = run(&[command, "--help"]);
        assert_eq!(code, Some(0));
        assert!(text.starts_with("Usage: harefield"), "{text}");
    }
    assert!(run(&["--version"]).1.starts_with("harefield "));
    assert_eq!(run(&["query", "--to", "127.0.0.1:1", "x"]).0, Some(5));
}
