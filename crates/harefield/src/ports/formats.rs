//! The format of marks and pulls between daemons. Eras are written beside the revision numbers, so
//! that a daemon that does not know eras still reads the numbers.

use serde::Deserialize;
use serde::Serialize;

use super::peers::Mark;
use super::peers::Pull;
use super::platform::Space;
use crate::domain::ids::Era;
use crate::domain::is_default;
use crate::domain::retained::RetainedMark;
use crate::domain::revision::Revision;

/// A mark as it is written.
#[derive(Serialize, Deserialize)]
pub(super) struct MarkFormat {
    space: Space,
    revision: Option<u64>,
    #[serde(default)]
    age: Option<u64>,
    #[serde(default, skip_serializing_if = "is_default")]
    era: Era,
    #[serde(default, rename = "carried")]
    retained: Option<RetainedMark>,
}

/// A pull as it is written.
#[derive(Serialize, Deserialize)]
pub(super) struct PullFormat {
    space: Space,
    have: Option<u64>,
    #[serde(default, skip_serializing_if = "is_default")]
    era: Era,
    #[serde(default, rename = "carried")]
    retained: Option<RetainedMark>,
    #[serde(default)]
    divided: bool,
}

impl From<Mark> for MarkFormat {
    fn from(mark: Mark) -> Self {
        let Mark { space, revision, age, retained } = mark;
        let (number, era) = split(revision);
        Self { space, revision: number, age, era, retained }
    }
}

impl From<MarkFormat> for Mark {
    fn from(format: MarkFormat) -> Self {
        let MarkFormat { space, revision, age, era, retained } = format;
        Self { space, revision: joined(revision, era), age, retained }
    }
}

impl From<Pull> for PullFormat {
    fn from(pull: Pull) -> Self {
        let Pull { space, have, retained, divided } = pull;
        let (number, era) = split(have);
        Self { space, have: number, era, retained, divided }
    }
}

impl From<PullFormat> for Pull {
    fn from(format: PullFormat) -> Self {
        let PullFormat { space, have, era, retained, divided } = format;
        Self { space, have: joined(have, era), retained, divided }
    }
}

fn split(revision: Option<Revision>) -> (Option<u64>, Era) {
    (revision.map(|revision| revision.number), revision.map_or(0, |revision| revision.era))
}

fn joined(number: Option<u64>, era: Era) -> Option<Revision> {
    number.map(|number| Revision::new(era, number))
}
