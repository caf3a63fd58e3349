//! `harefield check`: validates a settings file or a set of resources.

use std::path::Path;
use std::path::PathBuf;

use miette::Diagnostic;
use miette::LabeledSpan;
use miette::NamedSource;

use super::Exit;
use super::Failure;
use super::Outcome;
use super::arguments::Argument;
use super::arguments::Arguments;
use super::arguments::unknown_option;
use crate::adapters::operators::ResourceFile;
use crate::adapters::settings::Settings;
use crate::domain::code::Code;
use crate::domain::resources::ResourceError;

const HELP: &str = "\
Usage: harefield check FILE

Checks a settings file (.toml) or a set of resources (.json, an object with
\"items\": the values by key), and prints every error with its position.
";

/// The errors of a set of resources, as labels in its source text.
#[derive(Debug, thiserror::Error)]
#[error("the resources are not valid: {count} errors")]
struct SetError {
    count: usize,
    source_code: NamedSource<String>,
    labels: Vec<LabeledSpan>,
}

impl Diagnostic for SetError {
    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.source_code)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.labels.iter().cloned()))
    }
}

pub(super) fn run(mut arguments: Arguments) -> Outcome {
    arguments.set_help(HELP);
    let mut path = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Argument::Positional(argument) if path.is_none() => path = Some(PathBuf::from(argument)),
            Argument::Positional(argument) => {
                return Err(lexopt::Error::from(format!("unexpected argument {argument:?}")).into());
            }
            Argument::Option(name) => return Err(unknown_option(&name).into()),
        }
    }
    let path = path.ok_or_else(|| lexopt::Error::from("FILE is required"))?;
    if path.extension().is_some_and(|kind| kind == "json") {
        check_resources(&path)
    } else {
        let settings = Settings::load(&path).map_err(|error| Failure::new(Exit::Invalid, error))?;
        println!("valid: {settings:#?}");
        Ok(Exit::Success)
    }
}

fn check_resources(path: &Path) -> Outcome {
    let text = std::fs::read_to_string(path).map_err(|error| {
        let report = miette::miette!("{}: {}: {error}", Code::SettingsUnreadable, path.display());
        Failure::new(Exit::Invalid, report)
    })?;
    let file: ResourceFile = match serde_json::from_str(&text) {
        Ok(file) => file,
        Err(error) => {
            let at = offset(&text, error.line(), error.column());
            let label = LabeledSpan::at(at..at, format!("{}: {error}", Code::ResourceMalformed));
            return Err(invalid(path, text, vec![label]));
        }
    };
    match file.check() {
        Ok(set) => {
            let (services, upstreams) = (set.services.len(), set.upstreams.len());
            println!("valid: {services} services, {upstreams} upstreams");
            Ok(Exit::Success)
        }
        Err(errors) => {
            let labels = errors.iter().map(|error| label(&text, error)).collect();
            Err(invalid(path, text, labels))
        }
    }
}

fn invalid(path: &Path, text: String, labels: Vec<LabeledSpan>) -> Failure {
    let source_code = NamedSource::new(path.display().to_string(), text);
    Failure::new(Exit::Invalid, SetError { count: labels.len(), source_code, labels })
}

/// Returns a label at the key of the invalid resource, or at the start where the key isn't in the text.
fn label(text: &str, error: &ResourceError) -> LabeledSpan {
    let quoted = format!("\"{}\"", error.key);
    let start = text.find(&quoted).unwrap_or(0);
    LabeledSpan::at(start..start + quoted.len(), format!("{}: {}", error.code, error.detail))
}

/// Returns the byte offset of a 1-based line and column.
fn offset(text: &str, line: usize, column: usize) -> usize {
    let line_start: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    (line_start + column.saturating_sub(1)).min(text.len())
}
