//! What operators see of the wait queues of a daemon's workers.

use harefield::telemetry::MAX_QUEUES_NAMED;
use harefield::telemetry::QueueStatus;
use harefield::telemetry::RankQueue;
use harefield::telemetry::ShardQueue;

fn queue(shard: usize, delay_ms: f64, replica: &str) -> ShardQueue {
    let in_flight = vec![(replica.into(), 2)];
    ShardQueue { shard: format!("s{shard}/all").into(), delay_ms, waiting: vec![1, 4], in_flight }
}

fn status(ranks: [(usize, f64); 2], longest: Vec<ShardQueue>) -> QueueStatus {
    let ranks = ranks.map(|(waiting, delay_ms)| RankQueue { waiting, delay_ms }).to_vec();
    QueueStatus { ranks, longest }
}

/// Guards against waiters of one worker that hide those of another, and against delays that are
/// added up although each worker has slots of its own.
#[test]
fn workers_merged() {
    let mut all = QueueStatus::default();
    all.add(&status([(1, 10.0), (4, 90.0)], vec![queue(0, 90.0, "a")]));
    all.add(&status([(2, 30.0), (4, 20.0)], vec![queue(1, 95.0, "c"), queue(0, 20.0, "a")]));
    all.add(&status([(0, 0.0), (4, 20.0)], vec![queue(0, 20.0, "b")]));
    let ranks: Vec<_> = all.ranks.iter().map(|rank| (rank.waiting, rank.delay_ms)).collect();
    assert_eq!(ranks, [(3, 30.0), (12, 90.0)]);
    let mut merged = queue(0, 90.0, "a");
    merged.waiting = vec![3, 12];
    merged.in_flight = vec![("a".into(), 4), ("b".into(), 2)];
    assert_eq!(all.longest, [queue(1, 95.0, "c"), merged]);
}

/// Guards against a status that grows with the shards and workers.
#[test]
fn bounded() {
    let mut all = QueueStatus::default();
    for shard in 0..100_u32 {
        let at = usize::try_from(shard).unwrap_or(0);
        all.add(&status([(0, 0.0), (4, 90.0)], vec![queue(at, f64::from(shard), "a")]));
    }
    let delays: Vec<f64> = all.longest.iter().map(|queue| queue.delay_ms).collect();
    assert_eq!(delays, [99.0, 98.0, 97.0, 96.0, 95.0, 94.0, 93.0, 92.0]);
    assert_eq!(delays.len(), MAX_QUEUES_NAMED);
}
