//! `harefield status`: shows every daemon and where they disagree.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Exit;
use super::Outcome;
use super::arguments::Argument;
use super::arguments::Arguments;
use super::arguments::unknown_option;
use super::fetch::DaemonClient;
use super::fetch::Fleet;
use super::fetch::find_fleet;
use crate::domain::revision::Revision;
use crate::telemetry::MAX_QUEUES_NAMED;
use crate::telemetry::ShardQueue;
use crate::telemetry::Status;

const HELP: &str = "\
Usage: harefield status --from IP:PORT [--from IP:PORT ...]

Fetches the status of every daemon that can be found and prints it: the revision
in force, the revision of the host list, requests. Then prints the differences:
daemons with an older revision, daemons that others do not see as live. Then the
shards of scheduled indexes that new requests would wait longest for, at most 8:
the daemon where they wait, the waiting requests by rank, and that daemon's
requests in flight at each replica.

Options:
  --json           each daemon's status as a JSON line
  --token-file F   the file with the operators' token
";

pub(super) fn run(mut arguments: Arguments) -> Outcome {
    arguments.set_help(HELP);
    let mut from: Vec<SocketAddr> = Vec::new();
    let mut client = DaemonClient::default();
    let mut json = false;
    while let Some(argument) = arguments.next()? {
        let Argument::Option(name) = argument else {
            return Err(lexopt::Error::from("unexpected positional argument").into());
        };
        match name.as_str() {
            "json" => json = true,
            "token-file" => client = DaemonClient::with_token(&arguments.value()?)?,
            "from" => from.push(arguments.address()?),
            other => return Err(unknown_option(other).into()),
        }
    }
    if from.is_empty() {
        return Err(lexopt::Error::from("--from IP:PORT is required").into());
    }
    let fleet = find_fleet(&client, &from)?;
    for (_, status) in &fleet.answered {
        if json {
            println!("{}", serde_json::to_string(status).unwrap_or_default());
        } else {
            println!("{}", format_status(status));
        }
    }
    if !json {
        print_differences(&fleet);
        print_queues(&fleet);
    }
    Ok(Exit::Success)
}

fn format_status(status: &Status) -> String {
    let format_revision = |revision: Option<Revision>| revision.map_or("none".to_owned(), |r| r.to_string());
    let config = &status.config;
    let answered: u64 = status.workers.values().map(|w| w.answered).sum();
    let running: usize = status.workers.values().map(|w| w.running).sum();
    let mut text = format!(
        "{} revision {} hosts {} running {running} answered {answered} control-bytes {}",
        status.host,
        format_revision(config.revision),
        format_revision(config.listed),
        status.control_bytes,
    );
    if let Some(refused) = config.refused {
        let first = config.faults.first().map(|f| format!("{} {}: {}", f.code, f.key, f.detail));
        let first = first.unwrap_or_default();
        text = format!("{text}; revision {refused} is refused: {first}");
    }
    text
}

fn print_differences(fleet: &Fleet) {
    for address in &fleet.unanswered {
        println!("did not answer: {address}");
    }
    let newest = fleet.answered.iter().map(|(_, status)| status.config.revision).max().flatten();
    for (_, status) in &fleet.answered {
        if status.config.revision != newest {
            println!("behind: {} has an older revision", status.host);
        }
        for row in status.peers.iter().filter(|row| row.state.to_string() != "live") {
            println!("{} sees {} as {}", status.host, row.host, row.state);
        }
    }
    let leaving: BTreeSet<_> = fleet
        .answered
        .iter()
        .flat_map(|(_, status)| status.workers.values())
        .flat_map(|worker| worker.upstreams.iter().filter(|u| u.leaving))
        .map(|upstream| upstream.upstream.to_string())
        .collect();
    if !leaving.is_empty() {
        println!("upstreams leaving: {}", Vec::from_iter(leaving).join(", "));
    }
}

/// Prints the shards with the longest delays. Each daemon names at most [`MAX_QUEUES_NAMED`].
fn print_queues(fleet: &Fleet) {
    let of_daemon = |status: &Status| {
        status.queues().longest.into_iter().map(|q| (Arc::clone(&status.host), q)).collect()
    };
    let mut queues: Vec<_> = fleet.answered.iter().flat_map(|(_, s)| -> Vec<_> { of_daemon(s) }).collect();
    queues.sort_by(|(_, a), (_, b)| b.delay_ms.total_cmp(&a.delay_ms));
    for (host, queue) in queues.iter().take(MAX_QUEUES_NAMED) {
        println!("waiting: {}", format_queue(host, queue));
    }
}

fn format_queue(host: &str, queue: &ShardQueue) -> String {
    let by_rank: Vec<String> = queue.waiting.iter().map(usize::to_string).collect();
    let in_flight: Vec<String> =
        queue.in_flight.iter().map(|(name, count)| format!("{name} {count}")).collect();
    format!(
        "{} at {host} delay {:.0} ms, requests by rank {}, in flight {}",
        queue.shard,
        queue.delay_ms,
        by_rank.join(" "),
        in_flight.join(", "),
    )
}
