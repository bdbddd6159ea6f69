//! Which other VMs reach the runners that this one does not: asked of a few at a time, until some are known that do.
//!
//! Views of all VMs come around only once in many seconds where the fleet is large, and a VM that says nothing may not
//! have found out yet. So a VM counts as one that reaches an endpoint if it has said or shown so a moment ago.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use crate::event::Decline;
use crate::id;
use crate::member::Member;

use super::Reducer;

/// Number of VMs known to reach an endpoint from which on no others are asked.
const REACHING_MIN: usize = 4;
/// How long a VM that reached an endpoint is taken to reach it still.
pub(super) const REACHING_TIME: Duration = Duration::from_secs(2);
/// Interval between two rounds of questions; it doubles while too few are known that reach the endpoint,
const INTERVAL_MIN: Duration = Duration::from_millis(100);
/// up to this.
const INTERVAL_MAX: Duration = Duration::from_secs(3);
/// Maximum number of VMs that are asked in one round.
const ASKED_MAX: usize = 6;

impl Reducer<'_> {
    /// Asks at once, as this VM reaches other endpoints than before, and often again if it reached all.
    pub(super) fn restart_survey(&mut self, has_reached_all: bool) {
        let survey = &mut self.state.survey;
        survey.next_at = self.now;
        if has_reached_all {
            survey.interval = INTERVAL_MIN;
        }
    }

    /// Asks some VMs what they reach, if too few are known that reach what this one does not.
    pub(super) fn survey(&mut self) {
        if self.state.unreached.is_empty() || self.now < self.state.survey.next_at {
            return;
        }
        let mut asked: BTreeSet<id::Vm> = BTreeSet::new();
        for endpoint in self.state.unreached.clone() {
            asked.extend(self.pick_surveyed(&endpoint));
        }
        let survey = &mut self.state.survey;
        survey.interval = match asked.is_empty() {
            true => INTERVAL_MIN,
            false => (survey.interval * 2).min(INTERVAL_MAX),
        };
        survey.next_at = self.now + survey.interval;
        for vm in asked.into_iter().take(ASKED_MAX) {
            self.publish(&vm, true);
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
        // Those that did a moment ago, then those of which nothing is known; what a VM said may have changed since.
        let rank = |member: &Member| match member.reached_at.contains_key(endpoint) {
            true => 0,
            false if !member.unreached.contains(endpoint) => 1,
            false => 2,
        };
        let Some(best) = others.iter().map(|member| rank(member)).min() else {
            return Vec::new();
        };
        let asked = others.into_iter().filter(|member| rank(member) == best);
        let asked = asked.map(|member| member.descriptor.vm.clone());
        asked.choose_multiple(&mut self.state.rng, ASKED_MAX)
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
