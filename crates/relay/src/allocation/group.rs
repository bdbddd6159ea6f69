//! Groups of engines, and the rank of VMs as their allocators.

use super::Group;
use crate::id;

/// Number of groups for this many engines: a power of two, so that few engines change their group when
/// some come or go.
pub fn group_count(engines: usize, group_engines: usize) -> u32 {
    let groups = engines.div_ceil(group_engines.max(1)).max(1);
    groups.next_power_of_two() as u32
}

/// The group of an engine.
pub fn group_of(runner: &id::Runner, groups: u32) -> Group {
    (hash(runner.as_bytes(), 0) % u64::from(groups.max(1))) as Group
}

/// Rank of a VM as the allocator of a group; the highest is the allocator. A VM is the allocator of
/// groups in proportion to its weight.
pub fn rank(vm: &id::Vm, weight: u32, group: Group) -> f64 {
    let uniform =
        (hash(vm.as_bytes(), u64::from(group) + 1) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    // The largest of these ranks is that of a VM with the probability of its share of all weights.
    uniform.ln() / f64::from(weight.max(1))
}

/// A hash that is the same in every process (FNV-1a, with a final mix).
pub fn hash(bytes: &[u8], seed: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let start = OFFSET ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let folded = bytes.iter().fold(start, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(PRIME)
    });
    let mixed = (folded ^ (folded >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
