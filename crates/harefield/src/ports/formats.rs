//! How marks and pulls are written between daemons: eras beside numbers, so that a daemon
//! that knows no eras reads the numbers as it did.

use serde::Deserialize;
use serde::Serialize;

use super::peers::Mark;
use super::peers::Pull;
use super::platform::Space;
use crate::domain::carried::CarriedMark;
use crate::domain::ids::Era;
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
    #[serde(default)]
    carried: Option<CarriedMark>,
}

/// A pull as it is written.
#[derive(Serialize, Deserialize)]
pub(super) struct PullFormat {
    space: Space,
    have: Option<u64>,
    #[serde(default, skip_serializing_if = "is_default")]
    era: Era,
    #[serde(default)]
    carried: Option<CarriedMark>,
}

impl From<Mark> for MarkFormat {
    fn from(mark: Mark) -> Self {
        let Mark { space, revision, age, carried } = mark;
        let (number, era) = split(revision);
        Self { space, revision: number, age, era, carried }
    }
}

impl From<MarkFormat> for Mark {
    fn from(format: MarkFormat) -> Self {
        let MarkFormat { space, revision, age, era, carried } = format;
        Self { space, revision: joined(revision, era), age, carried }
    }
}

impl From<Pull> for PullFormat {
    fn from(pull: Pull) -> Self {
        let Pull { space, have, carried } = pull;
        let (number, era) = split(have);
        Self { space, have: number, era, carried }
    }
}

impl From<PullFormat> for Pull {
    fn from(format: PullFormat) -> Self {
        let PullFormat { space, have, era, carried } = format;
        Self { space, have: joined(have, era), carried }
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

fn split(revision: Option<Revision>) -> (Option<u64>, Era) {
    (revision.map(|revision| revision.number), revision.map_or(0, |revision| revision.era))
}

fn joined(number: Option<u64>, era: Era) -> Option<Revision> {
    number.map(|number| Revision::new(era, number))
}
