//! Which other VMs reach the runners that this one does not: asked of a few at a time, until some are known that do.
//!
//! Views of all VMs come around only once in many seconds where the fleet is large, and a VM that says nothing may not
//! have found out yet. So a VM counts as one that reaches an endpoint if it has said or shown so a moment ago.

use std::time::Duration;

use rand::seq::IteratorRandom as _;

use crate::event::Decline;
use crate::id;
use crate::member::Member;

use super::fleet::PUBLISH_FANOUT;
use super::Reducer;

/// Number of VMs known to reach an endpoint from which on no others are asked.
const REACHING_MIN: usize = 4;
/// How long a VM that reached an endpoint is taken to reach it still.
pub(super) const REACHING_TIME: Duration = Duration::from_secs(2);
/// Interval between two rounds of questions.
const SURVEY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two questions to the same VM.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

impl Reducer<'_> {
    /// Asks some VMs what they reach, for each endpoint that this VM does not reach.
    pub(super) fn survey(&mut self) {
        if self.state.unreached.is_empty() || self.now < self.state.next_survey_at {
            return;
        }
        self.state.next_survey_at = self.now + SURVEY_INTERVAL;
        for endpoint in self.state.unreached.clone() {
            for vm in self.pick_surveyed(&endpoint) {
                if let Some(member) = self.state.members.get_mut(&vm) {
                    member.surveyed_at = Some(self.now);
                }
                self.publish(&vm, true);
            }
        }
    }

    /// The VMs to ask whether they reach an endpoint; none if enough do.
    fn pick_surveyed(&mut self, endpoint: &id::Endpoint) -> Vec<id::Vm> {
        let now = self.now;
        let members = self.state.members.iter();
        let (reaching, others): (Vec<&Member>, Vec<&Member>) = members
            .filter(|member| member.is_serving())
            .partition(|member| is_reaching(member, endpoint, now));
        if reaching.len() >= REACHING_MIN {
            return Vec::new();
        }
        let is_due = |member: &&Member| {
            let surveyed_at = member.surveyed_at;
            surveyed_at.is_none_or(|at| at + REPEAT_INTERVAL <= now)
        };
        let (unreaching, unknown): (Vec<&Member>, Vec<&Member>) = others
            .into_iter()
            .filter(is_due)
            .partition(|member| member.unreached.contains(endpoint));
        // What a VM said may have changed since.
        let asked = if unknown.is_empty() {
            unreaching
        } else {
            unknown
        };
        let asked = asked.into_iter().map(|member| member.descriptor.vm.clone());
        asked.choose_multiple(&mut self.state.rng, PUBLISH_FANOUT)
    }

    /// Whether a VM is known to reach an endpoint.
    pub(super) fn is_reached_elsewhere(&self, endpoint: &id::Endpoint) -> bool {
        let mut members = self.state.members.iter();
        members.any(|member| member.is_serving() && is_reaching(member, endpoint, self.now))
    }

    /// Records what the end of a delegated attempt shows of the VM that was asked.
    pub(super) fn record_delegate(
        &mut self,
        vm: &id::Vm,
        endpoint: &id::Endpoint,
        decline: Option<Decline>,
    ) {
        let now = self.now;
        let Some(member) = self.state.members.get_mut(vm) else {
            return;
        };
        match decline {
            Some(Decline::OutOfReach) => member.mark_unreaching(endpoint),
            Some(_) => {}
            None => member.mark_reaching(endpoint, now),
        }
    }
}

/// Whether a VM has said or shown a moment ago that it reaches an endpoint.
pub(super) fn is_reaching(member: &Member, endpoint: &id::Endpoint, now: Duration) -> bool {
    member.reached_ago(endpoint, REACHING_TIME, now).is_some()
}
