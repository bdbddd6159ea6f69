//! The other VMs: probes, what they tell, and what they are told.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use crate::event::Effect;
use crate::id;
use crate::member::{Card, Member, Standing, View};
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
/// Cards told in one view.
const CARDS_TOLD: usize = 10;
/// Cards told besides the news.
const CARDS_BESIDES: usize = 4;
/// Cards told to a VM that is heard for the first time.
const CARDS_FIRST: usize = 64;
/// VMs that are told news at once.
const FAN_OUT: usize = 8;
/// How long a VM that is down stays known.
const DOWN_KEPT: Duration = Duration::from_secs(60);

/// What a peer can't read from the configuration service itself: older than these it has.
#[derive(Debug, Clone, Copy, Default)]
struct Lacks {
    version: Option<id::Version>,
    revision: Option<id::Revision>,
}

impl Lacks {
    fn of(source_reached: bool, version: id::Version, revision: id::Revision) -> Self {
        Self {
            version: (!source_reached).then_some(version),
            revision: (!source_reached).then_some(revision),
        }
    }
}

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
        let down = |card: &Card| card.standing == Standing::Down;
        let any_down = self.state.roster.iter().any(|member| down(&member.card));
        let want_down = want_down && any_down;
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
        let lacks = Lacks::of(member.source_reached, member.version, member.revision);
        let view = self.view(lacks, CARDS_TOLD, asks);
        self.emit(Effect::Tell { address, view });
    }

    fn tell_address(&mut self, address: SocketAddr, asks: bool) {
        // What an unknown VM has is not known either, so it is sent nothing large.
        let view = self.view(Lacks::default(), CARDS_TOLD, asks);
        self.emit(Effect::Tell { address, view });
    }

    /// This process's view, with so many cards: those that changed last, and some others.
    fn view(&mut self, lacks: Lacks, cards: usize, asks: bool) -> View {
        let news = self.now.saturating_sub(NEWS_KEPT);
        let (mut members, old): (Vec<&Member>, Vec<&Member>) = self
            .state
            .roster
            .iter()
            .partition(|member| member.changed_at > news);
        members.sort_by_key(|member| std::cmp::Reverse(member.changed_at));
        members.truncate(cards);
        let besides = cards.saturating_sub(members.len()).min(CARDS_BESIDES);
        members.extend(
            old.into_iter()
                .choose_multiple(&mut self.state.rng, besides),
        );
        let members = members
            .into_iter()
            .map(|member| member.card.clone())
            .collect();
        let mine = self.manifest_version();
        let manifest = lacks.version.is_some_and(|version| version < mine);
        let known = self.state.pool.revision;
        let runners = lacks.revision.is_some_and(|revision| revision < known);
        View {
            members,
            manifest: self.state.manifest.clone().filter(|_| manifest),
            runners: (runners && self.state.pool_known).then(|| self.listed()),
            asks,
            ..self.load_view()
        }
    }

    /// This process's view with its work alone.
    pub(super) fn load_view(&self) -> View {
        View {
            from: self.state.me.clone(),
            members: Vec::new(),
            version: self.manifest_version(),
            manifest: None,
            revision: self.state.pool.revision,
            changed: self.state.pool.changed,
            runners: None,
            source_reached: self.state.source_reached,
            loads: self.own_loads(),
            waiting: self.own_waiting(),
            asks: false,
        }
    }

    pub(super) fn peer_told(&mut self, view: View) {
        let View {
            from,
            members,
            version,
            manifest,
            revision,
            changed,
            runners,
            source_reached,
            loads,
            waiting,
            asks,
        } = view;
        if from.vm == self.state.me.vm {
            return;
        }
        let peer = from.vm.clone();
        self.learn(from);
        self.load_told(&peer, loads, waiting);
        for card in members {
            self.learn(card);
        }
        let now = self.now;
        let mut first = false;
        if let Some(member) = self.state.roster.get_mut(&peer) {
            first = member.heard_at.is_none();
            member.source_reached = source_reached;
            member.heard_at = Some(now);
            member.silent = 0;
            member.version = version;
            member.revision = revision;
            member.changed = changed;
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
        let lacks = Lacks::of(source_reached, version, revision);
        let behind = !source_reached
            && (version < self.manifest_version() || revision < self.state.pool.revision);
        // A VM that asks for the first time knows nobody yet.
        let cards = if first { CARDS_FIRST } else { CARDS_TOLD };
        if asks || behind {
            let address = self
                .state
                .roster
                .get(&peer)
                .map(|member| member.card.peer_address);
            let view = self.view(lacks, cards, false);
            if let Some(address) = address {
                self.emit(Effect::Tell { address, view });
            }
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
