//! Which requests count as the same work.

use std::sync::Arc;

use harefield::domain::query::Claims;
use harefield::domain::query::OpaqueQuery;
use harefield::domain::query::Query;
use harefield::domain::work::Work;

fn query() -> OpaqueQuery {
    OpaqueQuery {
        id: "first".into(),
        method: "GET".into(),
        target: "/all/x?page=1".into(),
        headers: vec![
            ("host".into(), "x.example".into()),
            ("attempt-id".into(), "first".into()),
            ("authorization".into(), "Bearer one".into()),
        ],
        body: "body".into(),
        claims: Claims::default(),
    }
}

fn work(change: impl FnOnce(&mut OpaqueQuery)) -> Work {
    let mut query = query();
    change(&mut query);
    Work::new("all", None, &Query::Opaque(Arc::new(query)))
}

#[test]
fn equal_across_attempts() {
    let other = work(|query| {
        query.id = "second".into();
        query.headers[1].1 = "second".into();
        query.headers[0].1 = "X.example".into();
        query.headers.push(("user-agent".into(), "another".into()));
    });
    assert_eq!(work(|_| {}), other);
}

#[test]
fn differs_by_request() {
    let first = work(|_| {});
    let others = [
        work(|query| query.method = "POST".into()),
        work(|query| query.target = "/all/y?page=1".into()),
        work(|query| query.headers[0].1 = "y.example".into()),
        work(|query| query.headers[2].1 = "Bearer two".into()),
        work(|query| query.body = "other".into()),
        // The parts are separated: none continues in the next.
        work(|query| {
            query.headers[2].1 = "Bearer on".into();
            query.body = "ebody".into();
        }),
    ];
    for other in others {
        assert_ne!(first.exact, other.exact);
        assert_ne!(first.path, other.path);
    }
}

#[test]
fn searches_share_path_id() {
    let (first, second) = (work(|_| {}), work(|query| query.target = "/all/x?page=2".into()));
    assert_ne!(first.exact, second.exact);
    assert_eq!(first.path, second.path);
    let bare = work(|query| query.target = "/all/x".into());
    assert_eq!(bare.ids().collect::<Vec<_>>(), [first.path], "both ids are equal");
}

#[test]
fn json_differs_by_lookup_and_text() {
    let work = |lookup: &str, json: &str| Work::new(lookup, None, &Query::Json(json.as_bytes().into()));
    assert_eq!(work("l", "{}"), work("l", "{}"));
    assert_ne!(work("l", "{}").exact, work("m", "{}").exact);
    assert_ne!(work("l", "{}").exact, work("l", "[]").exact);
}
