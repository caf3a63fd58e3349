//! `harefield serve`: runs a daemon.

use std::path::PathBuf;

use super::Exit;
use super::Failure;
use super::Outcome;
use super::arguments::Argument;
use super::arguments::Arguments;
use super::arguments::unknown_option;
use crate::adapters::settings::Settings;
use crate::daemon;
use crate::daemon::StopOutcome;

const HELP: &str = "\
Usage: harefield serve --settings FILE

Runs a daemon. It logs to standard output, one JSON object per line; once it
serves, it prints one more line with its addresses. SIGTERM begins a planned
stop, a second SIGTERM ends the daemon at once.
";

pub(super) fn run(mut arguments: Arguments) -> Outcome {
    arguments.set_help(HELP);
    let mut path = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Argument::Option(name) if name == "settings" => {
                path = Some(PathBuf::from(arguments.value()?));
            }
            Argument::Option(name) => return Err(unknown_option(&name).into()),
            Argument::Positional(argument) => {
                return Err(lexopt::Error::from(format!("unexpected argument {argument:?}")).into());
            }
        }
    }
    let path = path.ok_or_else(|| lexopt::Error::from("--settings FILE is required"))?;
    let settings = Settings::load(&path).map_err(|error| Failure::new(Exit::Invalid, error))?;
    let ended = daemon::run(settings, |addresses| {
        println!("{}", serde_json::to_string(addresses).unwrap_or_default());
    });
    match ended.map_err(|error| Failure::new(Exit::CannotStart, error))? {
        StopOutcome::Complete => Ok(Exit::Success),
        StopOutcome::Interrupted => Ok(Exit::Interrupted),
    }
}
