//! Loads the settings file and reports all errors in it at once, each with its position.

use std::path::Path;
use std::time::Duration;

use miette::Diagnostic;
use miette::LabeledSpan;
use miette::NamedSource;

use super::sections::Settings;
use crate::domain::cell::CellSize;
use crate::domain::code::Code;

/// The divisor of the host's memory that gives the default limit for data held on behalf of others.
/// The rest is for the daemon's own state, its connections and the allocator's overhead.
const HELD_DIVISOR: u32 = 4;

/// All errors in a settings file, each with its position.
#[derive(Debug, thiserror::Error)]
#[error("{code}: {}", code.text())]
pub struct SettingsError {
    code: Code,
    source_code: NamedSource<String>,
    labels: Vec<LabeledSpan>,
}

impl Diagnostic for SettingsError {
    fn code(&self) -> Option<Box<dyn std::fmt::Display + '_>> {
        Some(Box::new(self.code))
    }

    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.source_code)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.labels.iter().cloned()))
    }
}

impl Settings {
    /// Loads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file at once, each with its position.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => {
                let settings = Self::parse(&name, &text)?;
                Ok(Self { source: Some(path.to_owned()), ..settings })
            }
            Err(error) => {
                let label = LabeledSpan::at(0..0, error.to_string());
                Err(SettingsError {
                    code: Code::SettingsUnreadable,
                    source_code: NamedSource::new(name, String::new()),
                    labels: vec![label],
                })
            }
        }
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the text at once, each with its position.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        let mut labels = Vec::new();
        let settings = parse_lenient(text, &mut labels);
        for fault in settings.faults() {
            labels.push(LabeledSpan::at(0..0, fault));
        }
        if labels.is_empty() {
            return Ok(settings);
        }
        let source_code = NamedSource::new(name, text.to_owned());
        Err(SettingsError { code: Code::SettingsInvalid, source_code, labels })
    }

    fn faults(&self) -> Vec<String> {
        let limits = &self.limits;
        let checks = [
            (self.host.zone.is_empty(), "host.zone is required"),
            (self.platform.addresses.is_empty(), "platform.addresses must contain at least one address"),
            (self.platform.apply_ms < 500, "platform.apply-ms must be at least 500"),
            (
                !(1..=60_000).contains(&self.platform.heartbeat_ms),
                "platform.heartbeat-ms must be from 1 to 60000",
            ),
            (self.platform.readers == 0, "platform.readers must be at least 1"),
            (self.peers.exchange_ms == 0, "peers.exchange-ms must be at least 1"),
            (limits.workers == 0 || limits.workers > 64, "limits.workers must be from 1 to 64"),
            (limits.connections == 0, "limits.connections must be at least 1"),
            (limits.running < 2, "limits.running must be at least 2"),
            (limits.waiting < 2, "limits.waiting must be at least 2"),
            (limits.stall_ms < 100, "limits.stall-ms must be at least 100"),
            (
                self.held_limit() == 0,
                "limits.held-mb must be at least 1, or unset with a host.memory-mb of at least 4",
            ),
            (limits.head_bytes < 1024, "limits.head-bytes must be at least 1024"),
            (limits.body_bytes == 0, "limits.body-bytes must be at least 1"),
            (self.routing.cell_size == 0, "routing.cell-size must be at least 1"),
            (self.routing.connections == 0, "routing.connections must be at least 1"),
            (
                !(self.host.cores > 0.0 && self.host.cores <= 1024.0),
                "host.cores must be greater than 0 and at most 1024",
            ),
            (!(0.0..=1.0).contains(&self.routing.extra_load), "routing.extra-load must be from 0 to 1"),
            (
                !(0.1..=100.0).contains(&self.routing.hedge_factor),
                "routing.hedge-factor must be from 0.1 to 100",
            ),
            (
                !(1..=8).contains(&self.scheduling.shares.len()) || self.scheduling.shares.contains(&0),
                "scheduling.shares must be 1 to 8 numbers of at least 1",
            ),
            (self.scheduling.min_shards == 0, "scheduling.min-shards must be at least 1"),
            (self.accounts.window_ms == 0, "accounts.window-ms must be at least 1"),
            (!(0.0..=100.0).contains(&self.accounts.overage), "accounts.overage must be from 0 to 100"),
            (!(0.0..=1e9).contains(&self.accounts.slack), "accounts.slack must be from 0 to 1000000000"),
            (
                self.accounts.strict && self.accounts.revoke_ms < self.platform.apply_ms,
                "accounts.revoke-ms must be at least platform.apply-ms if accounts.strict is set",
            ),
            (self.events.keep == 0, "events.keep must be at least 1"),
        ];
        checks.iter().filter(|(bad, _)| *bad).map(|(_, text)| (*text).to_owned()).collect()
    }

    /// Returns the bounds on the size of cells.
    #[must_use]
    pub fn cell(&self) -> CellSize {
        CellSize {
            max_members: self.routing.cell_size,
            connections: self.routing.connections.max(self.limits.workers),
        }
    }

    /// Returns how many bytes may be held for callers, upstreams and other daemons.
    #[must_use]
    pub fn held_limit(&self) -> usize {
        let megabytes = self.limits.held_mb.unwrap_or(self.host.memory_mb / HELD_DIVISOR);
        usize::try_from(megabytes).unwrap_or(usize::MAX).saturating_mul(1 << 20)
    }

    /// Returns how long a planned stop waits for requests in progress.
    #[must_use]
    pub fn stop_limit(&self) -> Duration {
        Duration::from_millis(self.stop.limit_ms)
    }
}

/// Parses a text. Each error is recorded and its line blanked, until the rest can be parsed.
fn parse_lenient(text: &str, labels: &mut Vec<LabeledSpan>) -> Settings {
    const MAX_FAULTS: usize = 50;
    let mut rest = text.to_owned();
    while labels.len() < MAX_FAULTS {
        let error = match toml::from_str::<Settings>(&rest) {
            Ok(settings) => return settings,
            Err(error) => error,
        };
        let span = error.span().unwrap_or(0..0);
        labels.push(LabeledSpan::at(span.clone(), error.message().to_owned()));
        if !blank_lines(&mut rest, span) {
            break;
        }
    }
    Settings::default()
}

/// Blanks the lines that a span touches, and returns whether this changed anything.
fn blank_lines(text: &mut String, span: std::ops::Range<usize>) -> bool {
    let start = text[..span.start].rfind('\n').map_or(0, |at| at + 1);
    let end = text[span.end..].find('\n').map_or(text.len(), |at| span.end + at);
    let blank: String = text[start..end].chars().map(|c| if c == '\n' { '\n' } else { ' ' }).collect();
    let changed = !text[start..end].trim().is_empty();
    text.replace_range(start..end, &blank);
    changed
}

/// Reads the token from the first line of a file. Returns `None` if there is no path or the line is
/// empty.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn read_token(path: Option<&Path>) -> std::io::Result<Option<String>> {
    let Some(path) = path else { return Ok(None) };
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().next().map(str::trim).filter(|line| !line.is_empty()).map(str::to_owned))
}
