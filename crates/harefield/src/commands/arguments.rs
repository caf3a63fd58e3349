//! Reading a command line, with `--help` and `--version` everywhere.

use std::ffi::OsString;
use std::net::SocketAddr;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// One argument of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Argument {
    /// A long option's name.
    Option(String),
    /// A plain word.
    Positional(String),
}

/// Reads a command line.
#[derive(Debug)]
pub(super) struct Arguments {
    parser: Parser,
    help: &'static str,
}

impl Arguments {
    pub fn new(arguments: Vec<OsString>, help: &'static str) -> Self {
        Self { parser: Parser::from_args(arguments), help }
    }

    /// Sets what `--help` prints from here on.
    pub fn set_help(&mut self, help: &'static str) {
        self.help = help;
    }

    /// Returns the next argument; none at the end, or once help was printed.
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
            Arg::Short(name) => Err(format!("no option -{name}").into()),
            Arg::Value(word) => Ok(Some(Argument::Positional(word.string()?))),
        }
    }

    /// Returns the value of the option just read.
    pub fn value(&mut self) -> Result<String, lexopt::Error> {
        self.parser.value()?.string()
    }

    /// Returns the value of the option just read, as an address.
    pub fn address(&mut self) -> Result<SocketAddr, lexopt::Error> {
        let text = self.value()?;
        text.parse().map_err(|_error| format!("{text:?} is no address").into())
    }

    /// Returns the command; none once help was printed.
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

/// Makes the error for an option that a command does not take.
pub(super) fn unknown_option(name: &str) -> lexopt::Error {
    format!("no option --{name}").into()
}
