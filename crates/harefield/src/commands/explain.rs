//! `harefield explain`: tell the story of one request.

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

Tells one request's story in order, over the daemon that it came through and
the member of the cell that ran it. Times count from its first event.

Options:
  --token-file F   the file with the operators' token
";

pub(super) fn run(mut arguments: Arguments) -> Outcome {
    arguments.set_help(HELP);
    let mut options = Options::default();
    while let Some(argument) = arguments.next()? {
        match argument {
            Argument::Positional(word) => options.filter.request = Some(word),
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
        println!("no daemon holds events of {request}");
        return Ok(Exit::Done);
    };
    let origin = first.stamp.micros;
    for record in &records {
        println!("{}", timeline::format_record(record, origin));
    }
    Ok(Exit::Done)
}
