//! Orders that change the roles of engines, from one VM at a time.
//!
//! The VM whose name comes first among those that take callers gives the orders, after it has been
//! the first for longer than a lease and while it hears most of the others. Two that both believe to
//! be first cost a needless order: runners refuse the lower fencing token.

use std::time::Duration;

use crate::event::{Effect, Order};
use crate::id;
use crate::member::Standing;
use crate::note::{Kind, Note};
use crate::pool::{Role, Runner};
use crate::roles::{self, SAMPLE_INTERVAL};

use super::Reducer;

/// How long a VM must have been the first before it gives orders.
const CHOSEN_MIN: Duration = Duration::from_millis(4_500);
/// Pause after an order, in which its effect shows.
const ORDER_PAUSE: Duration = Duration::from_secs(10);
/// How long others' word must be no older for them to count as heard.
const HEARD_MAX: Duration = Duration::from_secs(4);
/// Bits of a fencing token that tell VMs apart.
const FENCE_VM_BITS: u32 = 16;

impl Reducer<'_> {
    pub(super) fn tick_roles(&mut self) {
        if self.now < self.state.roles.sample_at {
            return;
        }
        self.state.roles.sample_at = self.now + SAMPLE_INTERVAL;
        self.sample_roles();
        if !self.chosen() || self.now < self.state.roles.order_at {
            return;
        }
        let chosen = self
            .state
            .roles
            .uses
            .iter()
            .find_map(|(endpoint, used)| {
                let (runner, role) = roles::choose(&self.state.pool, endpoint, used)?;
                Some((endpoint.clone(), *used, runner, role))
            });
        if let Some((endpoint, used, runner, role)) = chosen {
            let outcome = format!(
                "to {role}; in use: prefill {:.2}, decode {:.2}",
                used.prefill, used.decode
            );
            self.order(&runner, role, outcome);
            if let Some(used) = self.state.roles.uses.get_mut(&endpoint) {
                used.reset();
            }
        }
    }

    fn sample_roles(&mut self) {
        let Some(manifest) = self.state.manifest.clone() else {
            return;
        };
        let state = &mut *self.state;
        for (endpoint, known) in &manifest.endpoints {
            let Some(engine) = known.engine else {
                continue;
            };
            let used = state.roles.uses.entry(endpoint.clone()).or_default();
            used.sample(&state.pool, endpoint, engine);
        }
    }

    /// Tells whether this VM is the one to give orders.
    fn chosen(&mut self) -> bool {
        let now = self.now;
        let (mut others, mut heard, mut first) = (0_usize, 0_usize, true);
        for member in self.state.roster.iter() {
            if member.card.standing == Standing::Down {
                continue;
            }
            others += 1;
            heard += usize::from(member.heard_at.is_some_and(|at| at + HEARD_MAX > now));
            let ready = member.card.standing == Standing::Ready && member.silent == 0;
            first &= !ready || self.state.me.vm < member.card.vm;
        }
        // The VMs that were seen to run at most count, so that a part that was cut off gives none.
        let known = self.state.roster.most.max(others + 1);
        let most = 2 * (heard + 1) > known;
        if !first || !most || !self.state.ready() || !self.state.source_reached {
            self.state.roles.chosen_since = None;
            return false;
        }
        let since = *self.state.roles.chosen_since.get_or_insert(now);
        now.saturating_sub(since) >= CHOSEN_MIN
    }

    fn order(&mut self, runner: &Runner, role: Role, outcome: String) {
        self.state.roles.order_at = self.now + ORDER_PAUSE;
        let fence = self.next_fence();
        self.state.roles.fence = fence;
        self.note(
            Note::new(Kind::Ordered)
                .runner(&runner.card.runner)
                .version(fence)
                .outcome(outcome),
        );
        self.emit(Effect::Order(Order {
            runner: runner.card.runner.clone(),
            address: runner.card.address,
            role,
            holder: self.state.me.vm.clone(),
            fence,
        }));
    }

    /// A token above all known ones, with bits of its own for each VM. The boot's number is the time
    /// of the start, so that tokens go up also where all VMs start anew.
    fn next_fence(&self) -> u64 {
        let seconds = (self.state.me.incarnation + self.now.as_millis() as u64) / 1_000;
        let known = self.state.roles.fence >> FENCE_VM_BITS;
        let name = self.state.me.vm.bytes().fold(0_u64, |sum, byte| {
            (sum * 31 + u64::from(byte)) % (1 << FENCE_VM_BITS)
        });
        (seconds.max(known + 1) << FENCE_VM_BITS) | name
    }

    pub(super) fn ordered(&mut self, runner: &id::Runner, accepted: bool) {
        let outcome = if accepted { "accepted" } else { "refused" };
        self.note(Note::new(Kind::Ordered).runner(runner).outcome(outcome));
    }
}
