//! `harefield query`: ask a daemon and print the answer.

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

Asks the daemon at a callers' address for a lookup and prints the answer as
JSON. QUERY is a JSON value, null where it is left out. A once-only lookup is
first given its ticket, then sent under it.

Options:
  --id TEXT          the caller's own id of the request
  --ticket TEXT      send a once-only lookup again under its ticket
  --deadline-ms N    a shorter deadline than the lookup's
  --key-file FILE    show the client account's key in this file's first line
";

/// How long an answer is awaited beyond any lookup's deadline.
const LIMIT: Duration = Duration::from_secs(610);

#[derive(Debug, Default)]
struct Options {
    to: Option<SocketAddr>,
    lookup: Option<String>,
    asker: DaemonClient,
    body: Map<String, Value>,
}

pub(super) fn run(mut arguments: Arguments) -> Outcome {
    arguments.set_help(HELP);
    let Options { to, lookup, asker, mut body } = read(&mut arguments)?;
    let to = to.ok_or_else(|| lexopt::Error::from("--to IP:PORT is needed"))?;
    let lookup = lookup.ok_or_else(|| lexopt::Error::from("a LOOKUP is needed"))?;
    body.entry("query").or_insert(Value::Null);
    let mut answer = ask(&asker, to, &lookup, &body)?;
    if answer.code == Code::TicketRequired
        && let Some(ticket) = &answer.ticket
    {
        eprintln!("ticket: {ticket}");
        body.insert("ticket".to_owned(), Value::String(ticket.clone()));
        answer = ask(&asker, to, &lookup, &body)?;
    }
    println!("{}", serde_json::to_string_pretty(&answer).unwrap_or_default());
    Ok(match answer.outcome {
        outcome::Outcome::Answered if answer.coverage.whole => Exit::Done,
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
                "key-file" => options.asker = DaemonClient::with_token(&arguments.value()?)?,
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
            Argument::Positional(word) if options.lookup.is_none() => options.lookup = Some(word),
            Argument::Positional(word) => {
                options.body.insert("query".to_owned(), parse(&word)?);
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

fn ask(
    asker: &DaemonClient,
    to: SocketAddr,
    lookup: &str,
    body: &Map<String, Value>,
) -> Result<Answer, Failure> {
    let text = Value::Object(body.clone()).to_string();
    let reply = asker.call(Method::POST, to, &format!("/v1/lookups/{lookup}"), text, LIMIT);
    let reply = reply.ok_or_else(|| unreachable_error(&[to]))?;
    serde_json::from_slice(&reply).map_err(|_error| unreachable_error(&[to]))
}
