//! `harefield explain`: prints the events of one request in order.

use super::Exit;
use super::Outcome;
use super::arguments::Argument;
use super::arguments::Arguments;
use super::arguments::unknown_option;
use super::fetch::DaemonClient;
use super::fetch::find_fleet;
use super::timeline;
use super::timeline::Options;

const HELP: &str = "\
Usage: harefield explain REQUEST --from IP:PORT [--from IP:PORT ...]

Prints the events of one request in order: those of the daemon that received it
and of the member of the cell that ran it. Times are relative to the first event.

Options:
  --token-file F   the file with the operators' token
";

pub(super) fn run(mut arguments: Arguments) -> Outcome {
    arguments.set_help(HELP);
    let mut options = Options::default();
    while let Some(argument) = arguments.next()? {
        match argument {
            Argument::Positional(id) => options.filter.request = Some(id),
            Argument::Option(name) => match name.as_str() {
                "from" => options.from.push(arguments.address()?),
                "token-file" => options.client = DaemonClient::with_token(&arguments.value()?)?,
                other => return Err(unknown_option(other).into()),
            },
        }
    }
    let request = options.required_request()?;
    let fleet = find_fleet(&options.client, &options.from)?;
    timeline::print_unanswered(&fleet);
    let records = timeline::fetch_records(&fleet, &options);
    let Some(first) = records.first() else {
        println!("no daemon has events of {request}");
        return Ok(Exit::Success);
    };
    let origin = first.stamp.micros;
    for record in &records {
        println!("{}", timeline::format_record(record, origin));
    }
    Ok(Exit::Success)
}
