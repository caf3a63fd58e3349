//! Reads a command line; handles `--help` and `--version` for every command.

use std::ffi::OsString;
use std::net::SocketAddr;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// One argument of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Argument {
    /// A long option, by its name without the dashes.
    Option(String),
    /// A positional argument.
    Positional(String),
}

/// The arguments of a command line that are left to read.
#[derive(Debug)]
pub(super) struct Arguments {
    parser: Parser,
    help: &'static str,
}

impl Arguments {
    pub fn new(arguments: Vec<OsString>, help: &'static str) -> Self {
        Self { parser: Parser::from_args(arguments), help }
    }

    /// Sets the text that `--help` prints from here on.
    pub fn set_help(&mut self, help: &'static str) {
        self.help = help;
    }

    /// Returns the next argument; none at the end.
    ///
    /// `--help` and `--version` print their text and end the process.
    pub fn next(&mut self) -> Result<Option<Argument>, lexopt::Error> {
        let Some(argument) = self.parser.next()? else {
            return Ok(None);
        };
        match argument {
            Arg::Long("help") | Arg::Short('h') => {
                print!("{}", self.help);
                std::process::exit(0);
            }
            Arg::Long("version") | Arg::Short('V') => {
                println!("harefield {}", env!("CARGO_PKG_VERSION"));
                std::process::exit(0);
            }
            Arg::Long(name) => Ok(Some(Argument::Option(name.to_owned()))),
            Arg::Short(name) => Err(format!("unknown option -{name}").into()),
            Arg::Value(value) => Ok(Some(Argument::Positional(value.string()?))),
        }
    }

    /// Returns the value of the option that was read last.
    pub fn value(&mut self) -> Result<String, lexopt::Error> {
        self.parser.value()?.string()
    }

    /// Returns the value of the option that was read last, parsed as an address.
    pub fn address(&mut self) -> Result<SocketAddr, lexopt::Error> {
        let text = self.value()?;
        text.parse().map_err(|_error| format!("{text:?} is not an IP:PORT address").into())
    }

    /// Returns the command; prints the help and returns none where no argument is left.
    pub fn command(&mut self) -> Result<Option<String>, lexopt::Error> {
        match self.next()? {
            Some(Argument::Positional(command)) => Ok(Some(command)),
            Some(Argument::Option(name)) => Err(unknown_option(&name)),
            None => {
                print!("{}", self.help);
                Ok(None)
            }
        }
    }
}

/// Returns the error for an option that the command doesn't have.
pub(super) fn unknown_option(name: &str) -> lexopt::Error {
    format!("unknown option --{name}").into()
}
