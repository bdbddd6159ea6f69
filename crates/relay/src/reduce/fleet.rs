//! The other VMs: probes, what they tell, and what they are told.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use crate::event::Effect;
use crate::id;
use crate::member::{Card, Standing, View};
use crate::note::{Kind, Note};

use super::Reducer;

/// Interval of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which seeds that are not known as members are asked.
const SEEDS_INTERVAL: Duration = Duration::from_millis(500);
/// Probes in a row without an answer after which a VM is said to be down.
const SILENT_MAX: u32 = 2;
/// One probe in so many goes to a VM that is down, in case it is not.
const DOWN_EVERY: u64 = 5;
/// How long a changed card is told to every peer.
const NEWS_KEPT: Duration = Duration::from_secs(4);
/// Cards told besides the news.
const CARDS_BESIDES: usize = 6;
/// VMs that are told news at once.
const FAN_OUT: usize = 8;
/// How long a VM that is down stays known.
const DOWN_KEPT: Duration = Duration::from_secs(60);

impl Reducer<'_> {
    pub(super) fn tick_fleet(&mut self) {
        self.state.roster.sweep(self.now, DOWN_KEPT);
        if self.now >= self.state.seeds_at {
            self.state.seeds_at = self.now + SEEDS_INTERVAL;
            self.ask_seeds();
        }
        if self.now >= self.state.probe_at {
            self.state.probe_at = self.now + PROBE_INTERVAL;
            self.probe();
        }
    }

    fn ask_seeds(&mut self) {
        let me = self.state.me.peer_address;
        let unknown: Vec<SocketAddr> = self
            .state
            .seeds
            .clone()
            .into_iter()
            .filter(|seed| *seed != me && self.state.roster.by_address(*seed).is_none())
            .collect();
        for seed in unknown {
            self.tell_address(seed, true);
        }
    }

    fn probe(&mut self) {
        self.state.probes += 1;
        let want_down = self.state.probes % DOWN_EVERY == 0;
        let members = || self.state.roster.iter();
        let down = |card: &Card| card.standing == Standing::Down;
        let fitting = members()
            .filter(|member| down(&member.card) == want_down)
            .count();
        let want_down = want_down && fitting > 0;
        // The one that was heard longest ago, so that each has its turn.
        let target = self
            .state
            .roster
            .iter()
            .filter(|member| down(&member.card) == want_down)
            .min_by_key(|member| (member.silent == 0, member.heard_at, member.silent))
            .map(|member| member.card.vm.clone());
        if let Some(vm) = target {
            self.tell(&vm, true);
        }
    }

    fn tell(&mut self, vm: &id::Vm, asks: bool) {
        let Some(member) = self.state.roster.get(vm) else {
            return;
        };
        let address = member.card.peer_address;
        let (version, revision) = (member.version, member.revision);
        let heard = member.heard_at.is_some();
        let view = self.view(version, revision, heard, asks);
        self.emit(Effect::Tell { address, view });
    }

    fn tell_address(&mut self, address: SocketAddr, asks: bool) {
        // What an unknown VM has is not known either, so it is sent nothing large.
        let view = self.view(id::Version::MAX, id::Revision::MAX, false, asks);
        self.emit(Effect::Tell { address, view });
    }

    /// This process's view, for a peer that has the given version and revision.
    fn view(
        &mut self,
        version: id::Version,
        revision: id::Revision,
        heard: bool,
        asks: bool,
    ) -> View {
        let now = self.now;
        let mut members: Vec<Card> = Vec::new();
        let mut old: Vec<Card> = Vec::new();
        for member in self.state.roster.iter() {
            if !heard || member.changed_at + NEWS_KEPT > now {
                members.push(member.card.clone());
            } else {
                old.push(member.card.clone());
            }
        }
        members.extend(
            old.into_iter()
                .choose_multiple(&mut self.state.rng, CARDS_BESIDES),
        );
        let manifest = self.state.manifest.clone();
        let mine = self.manifest_version();
        let runners = self.state.pool_known && self.state.pool.revision > revision;
        View {
            from: self.state.me.clone(),
            members,
            version: mine,
            manifest: manifest.filter(|_| mine > version),
            revision: self.state.pool.revision,
            runners: runners.then(|| self.listed()),
            loads: self.own_loads(),
            asks,
        }
    }

    pub(super) fn peer_told(&mut self, view: View) {
        let View {
            from,
            members,
            version,
            manifest,
            revision,
            runners,
            loads,
            asks,
        } = view;
        if from.vm == self.state.me.vm {
            return;
        }
        let peer = from.vm.clone();
        self.learn(from);
        self.load_told(&peer, loads);
        for card in members {
            self.learn(card);
        }
        let now = self.now;
        if let Some(member) = self.state.roster.get_mut(&peer) {
            member.heard_at = Some(now);
            member.silent = 0;
            member.version = version;
            member.revision = revision;
        }
        if let Some(manifest) = manifest {
            self.manifest_read(manifest);
        }
        if let Some(runners) = runners {
            // A peer's list counts only while the service itself can't be asked.
            if !self.state.source_reached && revision > self.state.pool.revision {
                self.pool_read(runners, revision);
            }
        }
        let mine = self
            .state
            .manifest
            .as_ref()
            .map_or(0, |known| known.version);
        let behind = version < mine || revision < self.state.pool.revision;
        if asks || behind {
            self.tell(&peer, false);
        }
    }

    fn learn(&mut self, card: Card) {
        if card.vm == self.state.me.vm {
            return self.hear_of_me(&card);
        }
        let known = self
            .state
            .roster
            .get(&card.vm)
            .map(|member| member.card.standing);
        let (vm, standing) = (card.vm.clone(), card.standing);
        if !self.state.roster.learn(card, self.now) || known == Some(standing) {
            return;
        }
        self.note(Note::new(Kind::Member).outcome(format!("{vm} {standing}")));
        if standing >= Standing::Leaving {
            self.spread();
        }
    }

    /// Corrects what others say of this process: an earlier boot, or a mistaken end.
    fn hear_of_me(&mut self, card: &Card) {
        let me = &mut self.state.me;
        if card.incarnation > me.incarnation {
            me.incarnation = card.incarnation + 1;
        } else if card.incarnation == me.incarnation
            && (card.version > me.version
                || (card.version == me.version && card.standing > me.standing))
        {
            me.version = card.version + 1;
        }
    }

    pub(super) fn peer_silent(&mut self, address: SocketAddr) {
        let Some(member) = self.state.roster.by_address(address) else {
            return;
        };
        member.silent += 1;
        if member.silent < SILENT_MAX || member.card.standing == Standing::Down {
            return;
        }
        let card = Card {
            standing: Standing::Down,
            ..member.card.clone()
        };
        self.learn(card);
    }

    /// Tells a few VMs at once what has changed.
    fn spread(&mut self) {
        let members = self
            .state
            .roster
            .iter()
            .filter(|member| member.card.standing < Standing::Down)
            .map(|member| member.card.vm.clone());
        let chosen = members.choose_multiple(&mut self.state.rng, FAN_OUT);
        for vm in chosen {
            self.tell(&vm, false);
        }
    }

    /// Tells the others when this process begins or ends to take callers.
    pub(super) fn announce(&mut self) {
        let standing = if self.state.left {
            Standing::Down
        } else if self.state.leaving_since.is_some() {
            Standing::Leaving
        } else if self.state.ready() {
            Standing::Ready
        } else {
            Standing::Joining
        };
        if self.state.me.standing == standing {
            return;
        }
        self.state.me.standing = standing;
        self.state.me.version += 1;
        let vm = self.state.me.vm.clone();
        self.note(Note::new(Kind::Member).outcome(format!("{vm} {standing}")));
        self.spread();
    }
}
