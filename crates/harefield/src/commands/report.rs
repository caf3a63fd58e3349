//! `harefield report`: writes one request's waterfall and events to an HTML file.

use std::path::PathBuf;

use super::Exit;
use super::Failure;
use super::Outcome;
use super::arguments::Argument;
use super::arguments::Arguments;
use super::arguments::unknown_option;
use super::fetch::DaemonClient;
use super::fetch::find_fleet;
use super::timeline;
use super::timeline::Options;
use crate::domain::code::Code;
use crate::telemetry::waterfall;

const HELP: &str = "\
Usage: harefield report REQUEST --from IP:PORT [--from IP:PORT ...] --out FILE

Draws one request as a waterfall over processes and writes it, with its events,
as one self-contained HTML file.

Options:
  --token-file F   the file with the operators' token
";

pub(super) fn run(mut arguments: Arguments) -> Outcome {
    arguments.set_help(HELP);
    let mut options = Options::default();
    let mut out = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Argument::Positional(id) => options.filter.request = Some(id),
            Argument::Option(name) => match name.as_str() {
                "from" => options.from.push(arguments.address()?),
                "out" => out = Some(PathBuf::from(arguments.value()?)),
                "token-file" => options.client = DaemonClient::with_token(&arguments.value()?)?,
                other => return Err(unknown_option(other).into()),
            },
        }
    }
    let out = out.ok_or_else(|| lexopt::Error::from("--out FILE is required"))?;
    options.required_request()?;
    let fleet = find_fleet(&options.client, &options.from)?;
    timeline::print_unanswered(&fleet);
    let records = timeline::fetch_records(&fleet, &options);
    let origin = records.first().map_or(0, |record| record.stamp.micros);
    let lines: Vec<String> = records.iter().map(|record| timeline::format_record(record, origin)).collect();
    let page = render_page(&waterfall(&records), &lines);
    std::fs::write(&out, page).map_err(|error| {
        let code = Code::SettingsUnreadable;
        Failure::new(Exit::Invalid, miette::miette!("{code}: {}: {error}", out.display()))
    })?;
    Ok(Exit::Success)
}

fn render_page(drawing: &str, lines: &[String]) -> String {
    let text = lines.join("\n").replace('&', "&amp;").replace('<', "&lt;");
    format!("<!doctype html><meta charset='utf-8'><title>harefield</title>\n{drawing}\n<pre>{text}</pre>\n")
}
