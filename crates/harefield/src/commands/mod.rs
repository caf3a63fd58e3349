//! The command line, with one module for each subcommand.

mod arguments;
mod check;
mod explain;
mod fetch;
mod query;
mod report;
mod serve;
mod status;
mod timeline;

use std::ffi::OsString;
use std::process::ExitCode;

use arguments::Arguments;
use miette::Report;

const HELP: &str = "\
harefield: a query tier over many shards

Usage: harefield COMMAND [OPTIONS]

Commands:
  serve      run a daemon
  check      check a settings file or a set of resources
  query      send a request to a daemon and print the answer
  timeline   print the events of all daemons
  explain    print the events of one request in order
  report     write a drawing of one request to a file
  status     show every daemon and where they disagree

Options:
  --help     print this help; after a command, the help of that command
  --version  print the version

Exit codes: 0 success, 2 wrong usage, 3 invalid file, 4 cannot start,
5 no daemon reached, 6 partial answer, 7 not run, 8 may have run,
9 planned stop interrupted
";

/// The exit codes of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded; an answer covers all shards.
    Success = 0,
    /// The command line is not valid.
    Usage = 2,
    /// A file that was read is not valid, or a file could not be read or written.
    Invalid = 3,
    /// The daemon could not start.
    CannotStart = 4,
    /// No daemon answered.
    Unreachable = 5,
    /// The answer lacks some shards.
    Partial = 6,
    /// The request did not run.
    NotRun = 7,
    /// The request may have run.
    MayHaveRun = 8,
    /// The planned stop of a daemon ended with connections still open.
    Interrupted = 9,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// The failure of a command: the report to print and the exit code.
#[derive(Debug)]
pub(crate) struct Failure {
    exit: Exit,
    report: Report,
}

impl Failure {
    fn new(exit: Exit, report: impl Into<Report>) -> Self {
        Self { exit, report: report.into() }
    }
}

impl From<lexopt::Error> for Failure {
    fn from(error: lexopt::Error) -> Self {
        let code = crate::domain::code::Code::UsageWrong;
        Self::new(Exit::Usage, miette::miette!("{code}: {error}; see --help"))
    }
}

type Outcome = Result<Exit, Failure>;

/// Runs the command that the process's arguments name, and returns the exit code.
#[must_use]
pub fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    match dispatch(arguments) {
        Ok(exit) => exit.into(),
        Err(failure) => {
            eprintln!("{:?}", failure.report);
            failure.exit.into()
        }
    }
}

fn dispatch(arguments: Vec<OsString>) -> Outcome {
    let mut parser = Arguments::new(arguments, HELP);
    let Some(command) = parser.command()? else {
        return Ok(Exit::Success);
    };
    match command.as_str() {
        "serve" => serve::run(parser),
        "check" => check::run(parser),
        "query" => query::run(parser),
        "timeline" => timeline::run(parser),
        "explain" => explain::run(parser),
        "report" => report::run(parser),
        "status" => status::run(parser),
        other => Err(lexopt::Error::from(format!("unknown command {other:?}")).into()),
    }
}
