//! Versions of a platform that may come back from an older copy of its content.
//!
//! Such a platform loses what was written since the copy, and gives out its revisions again. Each
//! time it begins a new era. A [`Version`] holds the era above the revision, so that every version
//! of a later era is newer than all versions of earlier ones, also for a daemon that hears of the
//! era only through the version of a peer. A platform without eras has era 0, and its versions are
//! its revisions.

use crate::id::Version;

/// How often a platform has come back from an older copy of its content.
pub type Era = u16;

/// Revision of a platform; it increases within an era.
pub type Revision = u64;

/// Bits of a version that hold the revision; at 10,000 changes per second they last for three years.
const REVISION_BITS: u32 = 40;

/// Last era; later ones would exceed the largest integer that JSON parsers represent exactly.
pub const MAX_ERA: Era = (1 << (53 - REVISION_BITS)) - 1;

/// Last revision of an era.
pub const MAX_REVISION: Revision = (1 << REVISION_BITS) - 1;

/// Version of a revision in an era; both are capped at their maximum.
pub fn compose(era: Era, revision: Revision) -> Version {
    (Version::from(era.min(MAX_ERA)) << REVISION_BITS) | revision.min(MAX_REVISION)
}

/// Era of a version.
pub fn era(version: Version) -> Era {
    Era::try_from(version >> REVISION_BITS).unwrap_or(Era::MAX)
}
