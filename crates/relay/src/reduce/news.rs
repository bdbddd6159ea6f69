//! What VMs tell each other of crashes and limits, in their views.

use crate::crash;
use crate::event::Effect;
use crate::id;
use crate::limit;
use crate::member::View;

use super::fleet::PROBE_INTERVAL;
use super::Reducer;

/// What a view says of crashes and limits.
#[derive(Debug, Clone, Default)]
pub(super) struct News {
    pub(super) crashes: Option<crash::Report>,
    pub(super) limits: Vec<limit::Record>,
}

impl Reducer<'_> {
    /// A number that differs between VMs that know different quarantined parts or limits, 0 if there are none.
    pub(super) fn digest(&self) -> u64 {
        self.state.quarantine.digest() ^ self.state.limits.digest()
    }

    /// What a peer is told of crashes and limits: all that is known, if it may lack some and was not told
    /// a moment ago.
    pub(super) fn news_for(&mut self, peer: &id::Vm, may_lack: bool) -> News {
        if !self.informs(peer, may_lack) {
            return News::default();
        }
        News {
            crashes: self.describe_crashes(),
            limits: self.describe_limits(),
        }
    }

    /// Whether a peer that may lack it is now told all that is known of crashes and limits; not more often
    /// than it is probed.
    fn informs(&mut self, peer: &id::Vm, may_lack: bool) -> bool {
        let now = self.now;
        let Some(member) = self.state.members.get_mut(peer).filter(|_| may_lack) else {
            return false;
        };
        let informed_at = member.informed_at;
        let is_due = informed_at.is_none_or(|at| at + PROBE_INTERVAL <= now);
        if is_due {
            member.informed_at = Some(now);
        }
        is_due
    }

    /// All limits that this VM knows.
    fn describe_limits(&self) -> Vec<limit::Record> {
        let limits = &self.state.limits;
        let instances = limits.instances();
        instances
            .filter_map(|instance| limits.describe(instance, self.now))
            .collect()
    }

    /// Tells some other VMs what this one has learnt of crashes and limits since the last tick; they tell others.
    pub(super) fn tell_news(&mut self) {
        let untold = std::mem::take(&mut self.state.untold);
        let crashes = self.describe_news(&untold);
        let known = &self.state.limits;
        let changed = untold.limits.iter();
        let limits: Vec<limit::Record> = changed
            .filter_map(|instance| known.describe(instance, self.now))
            .collect();
        if crashes.is_some() || !limits.is_empty() {
            self.publish_news(&News { crashes, limits });
        }
    }

    /// Sends a random sample of the other VMs what this one has learnt of crashes and limits.
    fn publish_news(&mut self, news: &News) {
        for vm in self.sample_members() {
            let Some(member) = self.state.members.get(&vm) else {
                continue;
            };
            let address = member.descriptor.peer_address;
            let view = View {
                crashes: news.crashes.clone(),
                limits: news.limits.clone(),
                ..self.load_view()
            };
            self.emit(Effect::PublishView { address, view });
        }
    }
}
