//! The port to the platform's service, which can only be read and watched.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::feed::Delta;
use crate::domain::feed::Items;
use crate::domain::ids::Era;
use crate::domain::revision::Revision;

/// A space of keyed values with revisions of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Space {
    /// The published resources.
    Config,
    /// The list of live and leaving hosts.
    Hosts,
}

impl Space {
    /// Both spaces.
    pub const ALL: [Self; 2] = [Self::Config, Self::Hosts];

    /// Returns the space's name in paths.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Hosts => "hosts",
        }
    }
}

/// A whole space, read page by page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The revision that the first page was read at.
    pub first: Revision,
    /// The revision that the last page was read at.
    pub last: Revision,
    /// The values.
    pub items: Items,
}

/// What a watch returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// What changed since.
    Changes {
        /// One delta a revision; none where nothing changed.
        deltas: Vec<Delta>,
        /// The revision up to which nothing else changed.
        at: Revision,
    },
    /// The platform no longer has the changes since; list again.
    Compacted,
    /// It came back from a copy, and is in this era: nothing that it tells leads on from what
    /// was held before; list again.
    Restored(Era),
}

/// Why the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// It could not be reached, or not in time.
    #[error("the platform did not answer")]
    Unreachable,
    /// It turned the call away, in this era.
    #[error("the platform turned the call away")]
    TurnedAway(Era),
    /// What it told is older than what is held: of an earlier era, or of a copy that is behind.
    #[error("the platform is behind, at {0}")]
    Behind(Revision),
    /// It came back from a copy while it was read; what was read is of two eras.
    #[error("the platform came back from a copy while it was read")]
    Restored,
    /// It answered something that is not its protocol.
    #[error("the platform's answer is not valid: {0}")]
    Malformed(String),
}

/// Reads and watches one copy of the platform's service.
pub trait Platform: Clone + 'static {
    /// Reads a whole space.
    ///
    /// # Errors
    ///
    /// Returns why the copy gave no valid answer.
    fn list(&self, copy: SocketAddr, space: Space) -> impl Future<Output = Result<Listing, PlatformError>>;

    /// Waits up to `wait` for changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns why the copy gave no valid answer.
    fn watch(
        &self,
        copy: SocketAddr,
        space: Space,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched, PlatformError>>;
}
