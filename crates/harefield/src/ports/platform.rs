//! The port to the platform, the users' configuration and membership service. It can only be read
//! and watched.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::feed::Delta;
use crate::domain::feed::Items;
use crate::domain::ids::Era;
use crate::domain::revision::Revision;

/// A space of keyed values with its own revisions.
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

    /// Returns the name of the space in paths.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Hosts => "hosts",
        }
    }
}

/// All values of a space, read page by page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The revision at which the first page was read.
    pub first: Revision,
    /// The revision at which the last page was read.
    pub last: Revision,
    /// The values.
    pub items: Items,
}

/// The result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// What changed since the revision that was watched from.
    Changes {
        /// One delta per revision; empty if nothing changed.
        deltas: Vec<Delta>,
        /// The revision up to which nothing else changed.
        at: Revision,
    },
    /// The platform no longer has these changes; the space has to be listed again.
    Compacted,
    /// The platform was restored from a copy and is in this era. Nothing it returns continues from
    /// what was held before; the space has to be listed again.
    Restored(Era),
}

/// Why the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// It could not be reached, or not in time.
    #[error("the platform did not answer")]
    Unreachable,
    /// It rejected the call, and is in this era.
    #[error("the platform rejected the call")]
    Rejected(Era),
    /// It returned a revision older than the one held: of an earlier era, or from a replica that is
    /// behind.
    #[error("the platform is behind, at revision {0}")]
    Behind(Revision),
    /// It was restored from a copy while it was being read, so that what was read is from two eras.
    #[error("the platform was restored from a copy while it was being read")]
    Restored,
    /// Its answer is larger than a daemon accepts.
    #[error("the platform's answer is too large")]
    TooLarge,
    /// It returned something that does not conform to its protocol.
    #[error("the platform's answer is invalid: {0}")]
    Malformed(String),
}

/// Reads and watches one replica of the platform.
pub trait Platform: Clone + 'static {
    /// Reads a complete space.
    ///
    /// # Errors
    ///
    /// Returns why the replica gave no valid answer.
    fn list(&self, replica: SocketAddr, space: Space)
    -> impl Future<Output = Result<Listing, PlatformError>>;

    /// Waits up to `wait` for changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns why the replica gave no valid answer.
    fn watch(
        &self,
        replica: SocketAddr,
        space: Space,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResult, PlatformError>>;
}
