//! Revisions of the configuration service.
//!
//! Within an era of the service revisions only grow. When it is restored from a copy they go back and are given out again,
//! and a new era begins. So that any two revisions can be compared, one holds its era in the upper bits and the number
//! that the service gave in the lower ones.

use crate::id::Revision;

/// Number of an era; 0 if the service names none.
pub type Era = u16;

/// Bits of the number that the service gives.
const NUMBER_BITS: u32 = 48;
/// Largest number that the service may give.
pub const NUMBER_MAX: u64 = (1 << NUMBER_BITS) - 1;

/// A revision of an era. A number above [`NUMBER_MAX`] counts as that.
pub fn compose(era: Era, number: u64) -> Revision {
    u64::from(era) << NUMBER_BITS | number.min(NUMBER_MAX)
}

/// The era of a revision.
pub fn era(revision: Revision) -> Era {
    // 16 bits are left.
    (revision >> NUMBER_BITS) as Era
}

/// The number that the service gave.
pub fn number(revision: Revision) -> u64 {
    revision & NUMBER_MAX
}

/// The revision as one of this era, if it is of none: VMs of earlier releases name no era.
pub fn in_era(revision: Revision, current: Era) -> Revision {
    match era(revision) {
        0 => compose(current, number(revision)),
        _ => revision,
    }
}
