//! Each caller gets the whole answer to its own request and no part of another one's.

use std::thread;

use serde_json::Value;
use serde_json::json;
use standin::Fault;

use crate::support::Cluster;
use crate::support::send_lookup;
use harefield::domain::code::Code;
use harefield::domain::outcome::Answer;

/// Asserts that every result belongs to the answer's request, shard and query.
fn assert_own(answer: &Answer, query: &Value) {
    for part in &answer.results {
        let reply: Value = serde_json::from_str(part.reply.get()).expect("the body is JSON");
        let request = reply["for"].as_str().expect("the reply has its request's id");
        assert_eq!(request.split('.').next(), Some(answer.request.as_str()));
        assert_eq!(reply["shard"].as_str(), Some(&*part.shard));
        assert_eq!(&reply["query"], query);
    }
    assert_eq!(answer.results.len(), answer.coverage.contributed.len());
}

/// Sends requests from many callers concurrently, each with its own query, and checks every
/// answer.
fn send_concurrently(cluster: &Cluster, callers: usize, each: usize) -> Vec<Answer> {
    let to = cluster.daemons[0].addresses.callers;
    let threads: Vec<_> = (0..callers)
        .map(|caller| {
            thread::spawn(move || {
                let mut answers = Vec::new();
                for number in 0..each {
                    let query = json!({ "caller": caller, "number": number });
                    let answer = send_lookup(to, "parcels", &json!({ "query": query, "id": "same" }))
                        .expect("an answer");
                    assert_own(&answer, &query);
                    assert_eq!(answer.id.as_deref(), Some("same"));
                    answers.push(answer);
                }
                answers
            })
        })
        .collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("the caller does not panic")).collect()
}

#[test]
fn same_ids() {
    let cluster = Cluster::start(1, "");
    let answers = send_concurrently(&cluster, 8, 10);
    let mut ids: Vec<&str> = answers.iter().map(|answer| answer.request.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), answers.len(), "request ids are unique");
}

#[test]
fn crossed_replies() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change("parcels-00-0", |b| b.fault = Fault::Cross);
    cluster.upstreams.change("parcels-01-1", |b| b.fault = Fault::Cross);
    for answer in send_concurrently(&cluster, 6, 10) {
        assert_eq!(answer.code, Code::Whole, "the other replica answers: {:?}", answer.coverage);
    }
}

#[test]
fn cut_bodies() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change("parcels-00-0", |b| b.fault = Fault::Truncate);
    for answer in send_concurrently(&cluster, 4, 10) {
        assert_eq!(answer.code, Code::Whole, "{:?}", answer.coverage);
    }
}

#[test]
fn late_replies() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change_all(|b| {
        b.straggle_percent = 20.0;
        b.straggle_ms = 60.0;
    });
    send_concurrently(&cluster, 6, 20);
}
