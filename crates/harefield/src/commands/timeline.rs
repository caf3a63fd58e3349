//! `harefield timeline`: prints the events of all daemons, merged in causal order.

use std::net::SocketAddr;
use std::time::Duration;

use super::Exit;
use super::Failure;
use super::Outcome;
use super::arguments::Argument;
use super::arguments::Arguments;
use super::arguments::unknown_option;
use super::fetch::DaemonClient;
use super::fetch::Fleet;
use super::fetch::OPERATOR_TIMEOUT;
use super::fetch::find_fleet;
use crate::domain::event::Record;
use crate::telemetry::Filter;

const HELP: &str = "\
Usage: harefield timeline --from IP:PORT [--from IP:PORT ...] [OPTIONS]

Fetches the events of every daemon that can be found from the given operators'
addresses and prints them, sorted by hybrid logical time. Daemons that did not
answer are named on standard error.

Options:
  --request ID     events of one request
  --lookup NAME    events that name a lookup
  --upstream NAME  events that name an upstream
  --kind KIND      events of one kind, such as answer-cut
  --after MICROS   events after a time, microseconds since the epoch
  --until MICROS   events up to a time
  --most N         at most the newest N of each daemon
  --json           print each event as a JSON line
  --follow         keep printing new events
  --token-file F   the file with the operators' token
";

/// The pause between two fetches of new events with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
pub(super) struct Options {
    pub from: Vec<SocketAddr>,
    pub filter: Filter,
    pub client: DaemonClient,
    json: bool,
    follow: bool,
}

impl Options {
    /// Returns the id of the request; an error where it or the address of a daemon is not given.
    pub fn required_request(&self) -> Result<String, lexopt::Error> {
        let request = self.filter.request.clone().ok_or("REQUEST is required")?;
        if self.from.is_empty() {
            return Err("--from IP:PORT is required".into());
        }
        Ok(request)
    }
}

pub(super) fn run(mut arguments: Arguments) -> Outcome {
    arguments.set_help(HELP);
    let mut options = read(&mut arguments)?;
    let fleet = find_fleet(&options.client, &options.from)?;
    print_unanswered(&fleet);
    loop {
        let records = fetch_records(&fleet, &options);
        for record in &records {
            print_record(record, options.json);
        }
        if !options.follow {
            return Ok(Exit::Success);
        }
        let newest = records.last().map(|record| record.stamp.micros);
        options.filter.after = newest.or(options.filter.after);
        std::thread::sleep(FOLLOW_INTERVAL);
    }
}

fn read(arguments: &mut Arguments) -> Result<Options, Failure> {
    let mut options = Options::default();
    while let Some(argument) = arguments.next()? {
        let Argument::Option(name) = argument else {
            return Err(lexopt::Error::from("unexpected positional argument").into());
        };
        let filter = &mut options.filter;
        match name.as_str() {
            "json" => options.json = true,
            "follow" => options.follow = true,
            "from" => options.from.push(arguments.address()?),
            "request" => filter.request = Some(arguments.value()?),
            "lookup" => filter.lookup = Some(arguments.value()?),
            "upstream" => filter.upstream = Some(arguments.value()?),
            "kind" => filter.kind = Some(arguments.value()?),
            "after" => filter.after = Some(parse_number(&arguments.value()?)?),
            "until" => filter.until = Some(parse_number(&arguments.value()?)?),
            "most" => filter.most = Some(parse_number(&arguments.value()?)?),
            "token-file" => options.client = DaemonClient::with_token(&arguments.value()?)?,
            other => return Err(unknown_option(other).into()),
        }
    }
    if options.from.is_empty() {
        return Err(lexopt::Error::from("--from IP:PORT is required").into());
    }
    Ok(options)
}

fn parse_number<T: std::str::FromStr>(text: &str) -> Result<T, lexopt::Error> {
    text.parse().map_err(|_error| format!("{text:?} is not a valid number").into())
}

/// Prints the daemons that did not answer to standard error.
pub(super) fn print_unanswered(fleet: &Fleet) {
    for address in &fleet.unanswered {
        eprintln!("did not answer: {address}");
    }
}

/// Fetches the selected records of all daemons, sorted by stamp and host.
pub(super) fn fetch_records(fleet: &Fleet, options: &Options) -> Vec<Record> {
    let query = serde_urlencoded::to_string(&options.filter).unwrap_or_default();
    let path = format!("/v1/timeline?{query}");
    let mut records: Vec<Record> = Vec::new();
    for (address, _) in &fleet.answered {
        match options.client.get::<Vec<Record>>(*address, &path, OPERATOR_TIMEOUT) {
            Some(found) => records.extend(found),
            None => eprintln!("did not answer: {address}"),
        }
    }
    records.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    records
}

fn print_record(record: &Record, json: bool) {
    if json {
        println!("{}", serde_json::to_string(record).unwrap_or_default());
    } else {
        println!("{}", format_record(record, 0));
    }
}

/// Formats a record as a line of text; its time is in seconds since `origin`, which is in
/// microseconds.
pub(super) fn format_record(record: &Record, origin: u64) -> String {
    let mut fields = match serde_json::to_value(&record.event) {
        Ok(serde_json::Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    };
    let kind = fields.remove("kind").and_then(|kind| kind.as_str().map(str::to_owned)).unwrap_or_default();
    let values: Vec<String> = fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    let micros = record.stamp.micros.saturating_sub(origin);
    let request = record.request.as_deref().unwrap_or("-");
    let (seconds, rest) = (micros / 1_000_000, micros % 1_000_000);
    format!("{seconds}.{rest:06} {} {request} {kind} {}", record.host, values.join(" "))
}
