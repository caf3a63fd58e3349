//! The `harefield` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    harefield::commands::main()
}
