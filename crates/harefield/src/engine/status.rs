//! What a worker reports to the status board.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::worker::Worker;
use crate::domain::admission::Gate;
use crate::domain::ids::ShardId;
use crate::domain::routing::Router;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Board;
use crate::telemetry::MAX_QUEUES_NAMED;
use crate::telemetry::QueueStatus;
use crate::telemetry::RankQueue;
use crate::telemetry::ShardQueue;
use crate::telemetry::UpstreamStatus;
use crate::telemetry::WorkerStatus;

/// How often a worker reports to the board.
const REPORT_EVERY: Duration = Duration::from_millis(500);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Reports the worker's status to the board at a fixed interval.
    pub async fn report(self: Rc<Self>, board: Arc<Board>, opened: impl Fn() -> u64) {
        loop {
            let status = self.status(opened());
            board.put_worker(self.settings.number, status);
            self.ports.clock.sleep(REPORT_EVERY).await;
        }
    }

    fn status(&self, opened: u64) -> WorkerStatus {
        let router = self.router.borrow();
        let mut upstreams: Vec<_> = router
            .upstreams()
            .map(|(name, state)| UpstreamStatus {
                upstream: Arc::clone(name),
                leaving: state.is_leaving(),
                running: state.in_flight(),
                window: state.window().size(),
                latency: state.observed_time(0.0) * 1000.0,
                held: state.announcement().held.clone(),
            })
            .collect();
        upstreams.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        let counts = self.counts.get();
        WorkerStatus {
            running: self.running(),
            waiting: self.gates.borrow().values().map(Gate::waiting).sum(),
            answered: counts.answered,
            first: counts.first,
            extra: counts.extra,
            opened,
            upstreams,
            queues: self.queues(&router),
        }
    }

    /// Returns the wait queues. It looks only at the shards with waiters.
    fn queues(&self, router: &Router) -> QueueStatus {
        let (dispatch, now) = (router.dispatch(), self.ports.clock.now());
        if !self.settings.scheduling.is_enabled() {
            return QueueStatus::default();
        }
        let rank = |waiting| RankQueue { waiting, delay_ms: 0.0 };
        let mut ranks: Vec<_> = dispatch.waiting().into_iter().map(rank).collect();
        let mut shards: Vec<(f64, &ShardId)> = Vec::new();
        for shard in dispatch.shards() {
            let mut longest = 0.0;
            for (rank, queue) in (0..).zip(&mut ranks) {
                let delay = router.shard_delay(shard, rank, now).as_secs_f64() * 1000.0;
                queue.delay_ms = queue.delay_ms.max(delay);
                longest = delay.max(longest);
            }
            shards.push((longest, shard));
        }
        shards.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let longest = shards.into_iter().take(MAX_QUEUES_NAMED).map(|(delay_ms, shard)| ShardQueue {
            shard: Arc::clone(shard),
            delay_ms,
            waiting: dispatch.waiting_for(shard),
            in_flight: router.in_flight_for(shard).map(|(name, count)| (Arc::clone(name), count)).collect(),
        });
        QueueStatus { ranks, longest: longest.collect() }
    }
}
