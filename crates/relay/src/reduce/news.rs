//! What VMs tell each other of crashes, limits and departures, in their views.

use crate::crash;
use crate::departure;
use crate::event::Effect;
use crate::id;
use crate::limit;
use crate::member::View;

use super::fleet::PROBE_INTERVAL;
use super::Reducer;

/// What a view says of crashes, limits and departures.
#[derive(Debug, Clone, Default)]
pub(super) struct News {
    crashes: Option<crash::Report>,
    limits: Vec<limit::Record>,
    departures: Vec<departure::Record>,
}

impl News {
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_none() && self.limits.is_empty() && self.departures.is_empty()
    }

    /// The view with this news.
    pub(super) fn into_view(self, view: View) -> View {
        View {
            crashes: self.crashes,
            limits: self.limits,
            departures: self.departures,
            ..view
        }
    }
}

impl Reducer<'_> {
    /// A number that differs between VMs that know different quarantined parts or limits, 0 if there are none.
    pub(super) fn digest(&self) -> u64 {
        self.state.quarantine.digest() ^ self.state.limits.digest()
    }

    /// What a peer is told of crashes, limits and departures: all that is known, if it may lack some and was not told
    /// a moment ago.
    pub(super) fn news_for(&mut self, peer: &id::Vm, may_lack: bool) -> News {
        if !self.informs(peer, may_lack) {
            return News::default();
        }
        News {
            crashes: self.describe_crashes(),
            limits: self.describe_limits(),
            departures: self.state.pool.departures.describe_all(self.now),
        }
    }

    /// Whether a peer that may lack it is now told all that is known; not more often than it is probed.
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

    /// Tells some other VMs what this one has learnt since the last tick; they tell others.
    pub(super) fn tell_news(&mut self) {
        let untold = std::mem::take(&mut self.state.untold);
        let crashes = self.describe_news(&untold);
        let known = &self.state.limits;
        let changed = untold.limits.iter();
        let limits: Vec<limit::Record> = changed
            .filter_map(|instance| known.describe(instance, self.now))
            .collect();
        let departing = untold.departures.iter();
        let departures = departing
            .filter_map(|instance| self.state.pool.departures.describe(instance, self.now))
            .collect();
        let news = News {
            crashes,
            limits,
            departures,
        };
        if !news.is_empty() {
            self.publish_news(&news);
        }
    }

    /// Sends a random sample of the other VMs what this one has learnt.
    fn publish_news(&mut self, news: &News) {
        for vm in self.sample_members() {
            let Some(member) = self.state.members.get(&vm) else {
                continue;
            };
            let address = member.descriptor.peer_address;
            let view = news.clone().into_view(self.load_view());
            self.emit(Effect::PublishView { address, view });
        }
    }
}
