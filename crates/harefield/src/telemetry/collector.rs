//! The telemetry thread's loop: counts, logs and stores events.

use std::sync::Arc;
use std::time::Instant;

use log::Level;
use log::log;
use log::log_enabled;

use super::board::Board;
use super::ring::Batch;
use super::ring::Telemetry;
use super::tally::LookupTallies;
use super::tally::RequestEnd;
use crate::adapters::logs::EVENTS;
use crate::domain::event::Event;
use crate::domain::event::Record;

/// Counts the events of each batch from the ring, logs and stores them, until the ring is closed.
pub async fn run(receiver: async_channel::Receiver<Batch>, telemetry: Telemetry, board: Arc<Board>) {
    let mut tallies = LookupTallies::new(Instant::now());
    while let Ok(batch) = receiver.recv().await {
        let dropped = telemetry.take_dropped();
        for (_, event) in &batch.events {
            board.metrics().record(event);
            count_answer(event, &mut tallies, &board);
            board.count_account(event);
        }
        store_batch(&board, batch, dropped);
    }
}

fn store_batch(board: &Board, batch: Batch, dropped: u64) {
    let (host, incarnation) = {
        let mut status = board.status();
        status.dropped += dropped;
        (Arc::clone(&status.host), status.incarnation)
    };
    let overflow = batch.events.first().filter(|_| dropped > 0).map(|(stamp, _)| *stamp);
    let gap = overflow.map(|stamp| (stamp, None, Event::RingOverflow { dropped }));
    let events = batch.events.into_iter().map(|(stamp, event)| (stamp, batch.request.clone(), event));
    let mut store = board.store();
    for (stamp, request, event) in gap.into_iter().chain(events) {
        let record = Record { host: Arc::clone(&host), incarnation, stamp, request, event };
        log_record(&record);
        store.push(record);
    }
}

/// Logs a record: detail events at debug level, all others at info level.
fn log_record(record: &Record) {
    let level = if record.event.is_detail() { Level::Debug } else { Level::Info };
    if log_enabled!(target: EVENTS, level) {
        let json = serde_json::to_string(record).unwrap_or_default();
        log!(target: EVENTS, level, "{json}");
    }
}

fn count_answer(event: &Event, tallies: &mut LookupTallies, board: &Board) {
    let Event::Answered { lookup, outcome, contributed, missing, micros, .. } = event else { return };
    let (outcome, contributed, missing, micros) = (*outcome, *contributed, *missing, *micros);
    let ended = RequestEnd { outcome, contributed, missing, micros };
    let status = tallies.record(lookup, &ended, Instant::now());
    board.status().lookups.insert(lookup.clone(), status);
}
