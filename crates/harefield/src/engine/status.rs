//! What a worker reports to the status board.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::worker::Worker;
use crate::domain::admission::Gate;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Board;
use crate::telemetry::UpstreamStatus;
use crate::telemetry::WorkerStatus;

/// How often a worker reports to the board.
const REPORT_EVERY: Duration = Duration::from_millis(500);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Reports the worker's status to the board at a fixed interval.
    pub async fn report(self: Rc<Self>, board: Arc<Board>, opened: impl Fn() -> u64) {
        loop {
            let status = self.status(opened());
            board.status().workers.insert(self.settings.number, status);
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
        }
    }
}
