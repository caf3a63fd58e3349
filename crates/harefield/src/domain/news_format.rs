//! The format of updates between daemons. Eras are written beside the revision numbers, so that a
//! daemon that does not know eras still reads the numbers.

use serde::Deserialize;
use serde::Serialize;

use super::feed::Change;
use super::feed::Delta;
use super::feed::DeltaKind;
use super::feed::Items;
use super::feed::News;
use super::ids::Era;
use super::retained::RetainedReport;
use super::revision::Revision;

/// Updates as they are written.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum NewsFormat {
    Current,
    Deltas(Vec<DeltaFormat>),
    Full {
        revision: u64,
        items: Items,
        #[serde(default)]
        era: Era,
    },
    /// Only sent to daemons that ask for it.
    Carrying {
        news: Box<NewsFormat>,
        #[serde(rename = "carried")]
        retained: RetainedReport,
    },
}

/// A delta as it is written.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct DeltaFormat {
    base: u64,
    revision: u64,
    changes: Vec<Change>,
    /// The era of the base.
    #[serde(default)]
    from: Era,
    /// The era of the revision.
    #[serde(default)]
    era: Era,
    /// Whether every key is listed that changed between base and revision. False from daemons that
    /// do not write the field.
    #[serde(default)]
    whole: bool,
}

impl From<Delta> for DeltaFormat {
    fn from(delta: Delta) -> Self {
        let Delta { base, revision, changes, kind } = delta;
        let whole = kind != DeltaKind::Difference;
        Self {
            base: base.number,
            revision: revision.number,
            changes,
            from: base.era,
            era: revision.era,
            whole,
        }
    }
}

impl From<DeltaFormat> for Delta {
    fn from(format: DeltaFormat) -> Self {
        let DeltaFormat { base, revision, changes, from, era, whole } = format;
        let kind = if whole { DeltaKind::Cumulative } else { DeltaKind::Difference };
        Self { base: Revision::new(from, base), revision: Revision::new(era, revision), changes, kind }
    }
}

impl From<News> for NewsFormat {
    fn from(news: News) -> Self {
        match news {
            News::Current => Self::Current,
            News::Deltas(deltas) => Self::Deltas(deltas.into_iter().map(Into::into).collect()),
            News::Full { revision, items } => {
                Self::Full { revision: revision.number, items, era: revision.era }
            }
            News::WithRetained { news, retained } => {
                Self::Carrying { news: Box::new((*news).into()), retained }
            }
        }
    }
}

impl From<NewsFormat> for News {
    fn from(format: NewsFormat) -> Self {
        match format {
            NewsFormat::Current => Self::Current,
            NewsFormat::Deltas(deltas) => Self::Deltas(deltas.into_iter().map(Into::into).collect()),
            NewsFormat::Full { revision, items, era } => {
                Self::Full { revision: Revision::new(era, revision), items }
            }
            NewsFormat::Carrying { news, retained } => {
                Self::WithRetained { news: Box::new((*news).into()), retained }
            }
        }
    }
}
