//! The order of the platform's changes, even across restores from a backup copy.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::Visitor;

use super::ids::Era;

/// Orders the changes of one space of the platform: by era, then by the platform's counter.
///
/// A platform that was restored from a copy continues to count from there and reuses numbers, in
/// its next era. When numbers were compared without eras, a held number hid every change up to it:
/// four changes were confirmed but in force nowhere for up to 5 s.
///
/// It is written as its number in the first era, and as a text `ERA.NUMBER` afterwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// How often the platform had been restored from a copy; 0 for platforms that never are.
    pub era: Era,
    /// The platform's counter, which increases with every change within an era.
    pub number: u64,
}

impl Revision {
    /// Creates a revision of an era.
    #[must_use]
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Creates a revision in era 0, for a platform that was never restored from a copy.
    #[must_use]
    pub const fn first(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era == 0 { write!(f, "{}", self.number) } else { write!(f, "{}.{}", self.era, self.number) }
    }
}

impl FromStr for Revision {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s.split_once('.') {
            Some((era, number)) => Ok(Self::new(era.parse()?, number.parse()?)),
            None => Ok(Self::first(s.parse()?)),
        }
    }
}

impl Serialize for Revision {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.era == 0 { serializer.serialize_u64(self.number) } else { serializer.collect_str(self) }
    }
}

impl<'de> Deserialize<'de> for Revision {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RevisionVisitor)
    }
}

/// Reads a number, or a text of an era and a number.
struct RevisionVisitor;

impl Visitor<'_> for RevisionVisitor {
    type Value = Revision;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a revision: a number, or a text `ERA.NUMBER`")
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<Revision, E> {
        Ok(Revision::first(v))
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<Revision, E> {
        v.parse().map_err(E::custom)
    }
}
