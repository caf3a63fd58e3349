//! `harefield query`: sends a request to a daemon and prints the answer.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::Map;
use serde_json::Value;

use super::Exit;
use super::Failure;
use super::Outcome;
use super::arguments::Argument;
use super::arguments::Arguments;
use super::arguments::unknown_option;
use super::fetch::DaemonClient;
use super::fetch::unreachable_error;
use crate::domain::code::Code;
use crate::domain::outcome;
use crate::domain::outcome::Answer;

const HELP: &str = "\
Usage: harefield query --to IP:PORT LOOKUP [QUERY] [OPTIONS]

Sends a request for a lookup to the daemon at a callers' address and prints the
answer as JSON. QUERY is a JSON value, null where it is left out. For a once-only
lookup, first obtains a ticket, then sends the request with it.

Options:
  --id TEXT          the caller's own id of the request
  --ticket TEXT      send a once-only lookup again with its ticket
  --deadline-ms N    a shorter deadline than the lookup's
  --key-file FILE    send the client account's key from this file's first line
";

/// How long to wait for an answer; longer than any lookup's deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(610);

#[derive(Debug, Default)]
struct Options {
    to: Option<SocketAddr>,
    lookup: Option<String>,
    client: DaemonClient,
    body: Map<String, Value>,
}

pub(super) fn run(mut arguments: Arguments) -> Outcome {
    arguments.set_help(HELP);
    let Options { to, lookup, client, mut body } = read(&mut arguments)?;
    let to = to.ok_or_else(|| lexopt::Error::from("--to IP:PORT is required"))?;
    let lookup = lookup.ok_or_else(|| lexopt::Error::from("LOOKUP is required"))?;
    body.entry("query").or_insert(Value::Null);
    let mut answer = send(&client, to, &lookup, &body)?;
    if answer.code == Code::TicketRequired
        && let Some(ticket) = &answer.ticket
    {
        eprintln!("ticket: {ticket}");
        body.insert("ticket".to_owned(), Value::String(ticket.clone()));
        answer = send(&client, to, &lookup, &body)?;
    }
    println!("{}", serde_json::to_string_pretty(&answer).unwrap_or_default());
    Ok(match answer.outcome {
        outcome::Outcome::Answered if answer.coverage.whole => Exit::Success,
        outcome::Outcome::Answered => Exit::Partial,
        outcome::Outcome::NotRun => Exit::NotRun,
        outcome::Outcome::MayHaveRun => Exit::MayHaveRun,
    })
}

fn read(arguments: &mut Arguments) -> Result<Options, Failure> {
    let mut options = Options::default();
    while let Some(argument) = arguments.next()? {
        match argument {
            Argument::Option(name) => match name.as_str() {
                "key-file" => options.client = DaemonClient::with_token(&arguments.value()?)?,
                "to" => options.to = Some(parse(&arguments.value()?)?),
                "id" | "ticket" => {
                    options.body.insert(name, Value::String(arguments.value()?));
                }
                "deadline-ms" => {
                    let millis: u64 = parse(&arguments.value()?)?;
                    options.body.insert(name, millis.into());
                }
                other => return Err(unknown_option(other).into()),
            },
            Argument::Positional(name) if options.lookup.is_none() => options.lookup = Some(name),
            Argument::Positional(query) => {
                options.body.insert("query".to_owned(), parse(&query)?);
            }
        }
    }
    Ok(options)
}

fn parse<T>(text: &str) -> Result<T, lexopt::Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| format!("{text:?}: {error}").into())
}

fn send(
    client: &DaemonClient,
    to: SocketAddr,
    lookup: &str,
    body: &Map<String, Value>,
) -> Result<Answer, Failure> {
    let text = Value::Object(body.clone()).to_string();
    let reply = client.call(Method::POST, to, &format!("/v1/lookups/{lookup}"), text, ANSWER_TIMEOUT);
    let reply = reply.ok_or_else(|| unreachable_error(&[to]))?;
    serde_json::from_slice(&reply).map_err(|_error| unreachable_error(&[to]))
}
