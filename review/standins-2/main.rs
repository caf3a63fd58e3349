//! The stand-ins and checks of the cases 4 to 8; the first argument names the case.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cold;
mod foreign;
mod kit;
mod stop;
mod tenant;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let code = match case.as_str() {
        "tenant" => tenant::run(),
        "cold" => cold::run(),
        "foreign" => foreign::run(),
        "stop" => stop::run(),
        other => {
            println!("unknown case {other}");
            2
        }
    };
    std::process::exit(code);
}
