//! Equal shares of organisations in the work of a priority (start-time fair queueing).

use std::collections::BTreeMap;

use super::Work;
use crate::id;

/// An organisation; none for the calls that have none, which share as one.
pub(super) type Organisation = Option<id::Organisation>;

/// Organisations of one priority whose work is remembered. Those beyond it that are level with the others are
/// forgotten, which changes nothing for them.
const REMEMBERED_MAX: usize = 64;

/// The work of one priority.
#[derive(Debug, Clone, Default)]
struct Lane {
    /// Tag at which the last call started; an organisation that has not waited for a while starts there.
    floor: Work,
    /// Tag up to which each organisation has been served.
    tags: BTreeMap<Organisation, Work>,
}

/// How much work each organisation has got, by priority. An organisation that had no use for its share gets no more
/// for it later.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    lanes: BTreeMap<u8, Lane>,
}

impl Shares {
    /// Tag at which the next call of an organisation starts; the lowest goes first.
    pub(super) fn tag(&self, priority: u8, organisation: &Organisation) -> Work {
        let Some(lane) = self.lanes.get(&priority) else {
            return 0;
        };
        let served = lane.tags.get(organisation).copied();
        served.unwrap_or(0).max(lane.floor)
    }

    /// Records that a call of an organisation got capacity.
    pub(super) fn charge(&mut self, priority: u8, organisation: &Organisation, work: Work) {
        let start = self.tag(priority, organisation);
        let lane = self.lanes.entry(priority).or_default();
        lane.floor = lane.floor.max(start);
        lane.tags.insert(organisation.clone(), start + work);
        if lane.tags.len() > REMEMBERED_MAX {
            let floor = lane.floor;
            lane.tags.retain(|_, tag| *tag > floor);
        }
    }
}
