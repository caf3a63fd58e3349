//! The check that a reply belongs to its own request, shard and snapshot.

use crate::domain::ids::Version;
use crate::domain::outcome::Gap;

/// What a request names and its reply must name again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyIdentity {
    /// The request and attempt.
    pub request: String,
    /// The shard.
    pub shard: String,
    /// The snapshot's version.
    pub version: Version,
}

/// Checks that a reply echoes what was asked.
///
/// # Errors
///
/// Returns the gap that the reply leaves, since it may not be used.
pub fn verify(asked: &ReplyIdentity, echoed: Option<&ReplyIdentity>) -> Result<(), Gap> {
    let Some(echoed) = echoed else {
        return Err(Gap::ReplyCrossed);
    };
    if echoed.request != asked.request || echoed.shard != asked.shard {
        return Err(Gap::ReplyCrossed);
    }
    if echoed.version != asked.version {
        return Err(Gap::SnapshotWrong);
    }
    Ok(())
}
