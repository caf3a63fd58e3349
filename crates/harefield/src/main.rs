//! The `harefield` program; `commands` has its command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    harefield::commands::main()
}
