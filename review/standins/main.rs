//! The stand-ins and clients of the review's scripts: `review-standins CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment the case runs without its disruption.

mod change;
mod daemon;
mod drain;
mod http;
mod restart;
mod searcher;
mod seed;
mod site;
mod store;

use std::fmt::Write as _;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a case writes to `record.txt`.
pub struct Record {
    path: PathBuf,
    text: String,
}

impl Record {
    /// Adds a line, and shows it.
    pub fn add(&mut self, line: &str) {
        println!("{line}");
        let _ = writeln!(self.text, "{line}");
    }

    /// Adds a line to the file only.
    pub fn detail(&mut self, line: &str) {
        let _ = writeln!(self.text, "{line}");
    }

    fn write(&self) {
        std::fs::write(&self.path, &self.text).expect("the case's folder is writable");
    }
}

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let scratch = std::env::temp_dir().join(format!("harefield-review-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() || !Path::new("target/release/harefield").exists() {
        eprintln!("run this at the repository's root, after the build of the deploy file");
        return ExitCode::from(2);
    }
    let mut record = Record { path: Path::new(folder).join("record.txt"), text: String::new() };
    record.add(&format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    let verdict = match case.as_str() {
        "restart" => restart::run(&scratch, trouble, &mut record),
        "change" => change::run(&scratch, trouble, &mut record),
        "drain" => drain::run(&scratch, trouble, &mut record),
        "seed" => seed::run(&scratch, trouble, &mut record),
        _ => Verdict::NotRun,
    };
    record.add(&format!("verdict: {verdict:?}"));
    record.write();
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        println!("kept {}", scratch.display());
    }
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
