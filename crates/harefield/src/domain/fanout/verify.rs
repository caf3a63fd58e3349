//! Verifies that a reply belongs to its request, shard and snapshot.

use crate::domain::ids::Version;
use crate::domain::outcome::Gap;

/// The identity of a request that its reply must echo.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyIdentity {
    /// The request and attempt.
    pub request: String,
    /// The shard.
    pub shard: String,
    /// The snapshot's version.
    pub version: Version,
}

/// Verifies that a reply echoes the identity of its request.
///
/// # Errors
///
/// Returns the gap to record for the shard, because the reply must not be used.
pub fn verify(expected: &ReplyIdentity, echoed: Option<&ReplyIdentity>) -> Result<(), Gap> {
    let Some(echoed) = echoed else {
        return Err(Gap::ReplyCrossed);
    };
    if echoed.request != expected.request || echoed.shard != expected.shard {
        return Err(Gap::ReplyCrossed);
    }
    if echoed.version != expected.version {
        return Err(Gap::SnapshotWrong);
    }
    Ok(())
}
