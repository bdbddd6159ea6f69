//! Which VM grants the cost of an organisation's requests, and what VMs report to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use crate::allocation::hash;
use crate::cap::{self, Quota, Scope, SAMPLE};
use crate::decision_log::{Entry, Kind};
use crate::id;
use crate::member::{Member, Status};
use crate::organisation::Cap;
use crate::origin;
use crate::reduce::fleet::MAJORITY;
use crate::reduce::Reducer;

/// Interval at which a VM reports what it has spent without an ask.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a VM looks for which organisations it is the granter.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Number of VMs that a granter checks with each look.
const CHECKS: usize = 1;
/// Maximum number of VMs that rank higher than a granter and that it checks.
const SUPERIORS_MAX: usize = 4;
/// Time in which a VM that is not cut off hears of several others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of these others.
const CONTACTS_MIN: usize = 3;

/// Who grants the cost of a request, by this VM's view of the fleet.
pub(super) enum Source {
    /// This VM.
    Local,
    /// Another one.
    Peer(id::Vm, SocketAddr),
    /// Nobody that this VM can ask.
    Nobody,
}

impl Reducer<'_> {
    /// The VM that grants the cost of an organisation's requests. A VM that hears of too few others to know whether
    /// it is cut off grants nothing, and asks nobody.
    pub(super) fn granter_of(&self, organisation: &id::Organisation) -> Source {
        if !self.is_introduced() || self.state.accounts.is_isolated {
            return Source::Nobody;
        }
        let key = origin::name_key(organisation);
        let is_candidate = |member: &Member| {
            member.is_serving()
                && !self
                    .state
                    .accounts
                    .is_silent(&member.descriptor.vm, self.now)
        };
        let granter = self.highest_ranked(key, is_candidate, self.state.is_ready());
        match granter {
            None => Source::Nobody,
            Some(granter) if granter.vm == self.state.local.vm => Source::Local,
            Some(granter) => Source::Peer(granter.vm.clone(), granter.peer_address),
        }
    }

    /// The part of the fleet for which this VM grants where it is the granter.
    fn scope(&mut self) -> Scope {
        if self.state.accounts.reach.is_stale(self.now) {
            self.check_reach(SAMPLE);
        }
        let sampled = self.state.accounts.reach.part(self.state.members.peak_size);
        let reached = self.reached_share();
        // Two halves of a fleet that do not reach each other grant half each.
        let reached = if reached <= MAJORITY { reached } else { 1.0 };
        Scope::Fleet(reached.min(sampled))
    }

    /// Finds out whether so many other VMs respond.
    fn check_reach(&mut self, count: usize) {
        let state = &mut *self.state;
        let members = state.members.iter();
        let members = members.filter(|member| member.descriptor.status < Status::Down);
        let addresses = members.map(|member| member.descriptor.peer_address);
        for address in addresses.choose_multiple(&mut state.rng, count) {
            self.state.accounts.reach.start(address, self.now);
            self.send_ask(address, Vec::new());
        }
    }

    /// Finds out what part of the fleet responds, after a VM that did not.
    pub(super) fn verify_reach_of_fleet(&mut self) {
        let is_granter = !self.state.granter.is_empty();
        if is_granter && self.state.accounts.reach.is_verifiable(self.now) {
            self.check_reach(SAMPLE);
        }
    }

    /// What this VM may grant for an organisation.
    pub(super) fn quota(&mut self, organisation: &id::Organisation, cap: &Cap) -> Quota {
        let scope = self.scope_for(organisation);
        Quota::new(cap, &self.state.settings, scope)
    }

    /// For whom this VM grants when it is asked for an organisation. If it takes another VM for the granter, it finds
    /// out whether that one responds.
    pub(super) fn scope_for(&mut self, organisation: &id::Organisation) -> Scope {
        if self.is_granter(organisation) {
            return self.scope();
        }
        if let Source::Peer(vm, address) = self.granter_of(organisation) {
            if self.state.accounts.start_check(&vm, self.now) {
                self.send_ask(address, Vec::new());
            }
        }
        Scope::Acting
    }

    /// Whether this VM is the granter of an organisation. What others tell of a VM that ranks higher may be wrong or
    /// old, and what this VM has seen of it a matter of a moment; a VM that has just taken an ask goes first.
    fn is_granter(&self, organisation: &id::Organisation) -> bool {
        if !self.is_introduced() || self.state.accounts.is_isolated {
            return false;
        }
        let (accounts, now) = (&self.state.accounts, self.now);
        let is_candidate = |member: &Member| {
            let vm = &member.descriptor.vm;
            let is_alive = may_serve(member) && accounts.is_alive(vm, now);
            is_alive || member.is_serving() && !accounts.is_silent(vm, now)
        };
        let key = origin::name_key(organisation);
        let granter = self.highest_ranked(key, is_candidate, self.state.is_ready());
        granter.is_some_and(|granter| granter.vm == self.state.local.vm)
    }

    /// Checks whether the VMs respond that would be the granters of an organisation in place of this one.
    fn check_superiors(&mut self, organisation: &id::Organisation) {
        let key = origin::name_key(organisation);
        let own_rank = origin::rank(&self.state.local.vm, key);
        let members = self.state.members.iter();
        let superiors: Vec<(id::Vm, SocketAddr)> = members
            .filter(|member| may_serve(member))
            .filter(|member| origin::rank(&member.descriptor.vm, key) > own_rank)
            .map(|member| (member.descriptor.vm.clone(), member.descriptor.peer_address))
            .take(SUPERIORS_MAX)
            .collect();
        for (vm, address) in superiors {
            if self.state.accounts.start_check(&vm, self.now) {
                self.send_ask(address, Vec::new());
            }
        }
    }

    /// Reports what was spent, and opens the buckets of organisations of which this VM has become the granter.
    pub(in crate::reduce) fn tick_caps(&mut self) {
        let now = self.now;
        let manifest = self.state.manifest.as_ref();
        if manifest.is_none_or(|manifest| manifest.organisations.is_none()) {
            return;
        }
        self.state.granter.mark_running(now);
        if now >= self.state.accounts.next_report_at {
            self.state.accounts.next_report_at = now + REPORT_INTERVAL;
            self.report_spent();
        }
        if now >= self.state.accounts.next_sweep_at {
            self.state.accounts.next_sweep_at = now + SWEEP_INTERVAL;
            self.sweep_caps();
        }
    }

    /// Reports what was spent without an ask, with one message to each granter.
    fn report_spent(&mut self) {
        let reporting: Vec<id::Organisation> = self
            .state
            .accounts
            .iter_mut()
            .filter(|(_, account)| account.has_report())
            .map(|(organisation, _)| organisation.clone())
            .collect();
        let mut reports: BTreeMap<SocketAddr, Vec<cap::Entry>> = BTreeMap::new();
        for organisation in reporting {
            let Some(cap) = self.cap_named(&organisation) else {
                continue;
            };
            let source = self.granter_of(&organisation);
            if matches!(source, Source::Nobody) {
                continue;
            }
            let part = self.part(&cap);
            let spent = self.account(&organisation, part).take_report();
            match source {
                Source::Peer(_, address) => reports.entry(address).or_default().push(cap::Entry {
                    organisation,
                    want: None,
                    spent,
                }),
                Source::Local | Source::Nobody => {
                    let quota = self.quota(&organisation, &cap);
                    self.count_report(&organisation, quota, spent);
                    self.settle_report(&organisation, spent);
                }
            }
        }
        for (address, entries) in reports {
            self.send_ask(address, entries);
        }
    }

    /// Looks for which organisations this VM is the granter, if the fleet or the manifest has changed.
    fn sweep_caps(&mut self) {
        let now = self.now;
        self.state.accounts.is_isolated = self.is_isolated();
        if !self.state.granter.is_empty() {
            self.check_reach(CHECKS);
        }
        for organisation in self.state.granter.granted() {
            self.check_superiors(&organisation);
        }
        let basis = self.sweep_basis();
        if std::mem::replace(&mut self.state.accounts.swept, basis) == basis {
            return;
        }
        let Some(manifest) = self.state.manifest.clone() else {
            return;
        };
        let organisations = manifest.organisations.iter().flat_map(|table| table.iter());
        let caps: BTreeMap<id::Organisation, Cap> = organisations
            .filter_map(|organisation| Some((organisation.name.clone(), organisation.cap?)))
            .collect();
        let granted: BTreeMap<id::Organisation, Cap> = caps
            .iter()
            .filter(|(organisation, _)| self.is_granter(organisation))
            .map(|(organisation, cap)| (organisation.clone(), *cap))
            .collect();
        let before = self.state.granter.len();
        let scope = match granted.is_empty() {
            true => Scope::Acting,
            false => self.scope(),
        };
        let granter = &mut self.state.granter;
        granter.retain(now, |organisation| granted.contains_key(organisation));
        for (organisation, cap) in &granted {
            let quota = Quota::new(cap, &self.state.settings, scope);
            granter.open(organisation, quota, now);
        }
        let count = granter.len();
        let is_known = |organisation: &id::Organisation| caps.contains_key(organisation);
        self.state.accounts.retain(now, is_known);
        let counters = &mut self.state.counters.caps;
        counters.retain(|organisation, _| is_known(organisation));
        if before != count {
            let outcome = format!("{count} of {} organisations", caps.len());
            self.log(Entry::new(Kind::GrantsCaps).outcome(outcome));
        }
    }

    /// A number that differs when another VM may be the granter of an organisation.
    fn sweep_basis(&self) -> u64 {
        let accounts = &self.state.accounts;
        let members = self.state.members.iter();
        let candidates = members.filter(|member| {
            let vm = &member.descriptor.vm;
            member.is_serving() && !accounts.is_silent(vm, self.now)
                || may_serve(member) && accounts.is_alive(vm, self.now)
        });
        let fleet = candidates.fold(0, |fold, member| {
            fold ^ hash(member.descriptor.vm.as_bytes(), 1)
        });
        let can_grant = self.state.is_ready() && !accounts.is_isolated && self.is_introduced();
        // The retention of accounts is checked at times too.
        let minute = self.now.as_secs() / 60;
        hash(
            &fleet.to_le_bytes(),
            self.manifest_version() << 1 | u64::from(can_grant),
        ) ^ minute
    }

    /// Whether this VM has heard of so few others for a while that it may be cut off from most of them.
    fn is_isolated(&self) -> bool {
        let recently = self.now.saturating_sub(CONTACT_TIME);
        if recently.is_zero() {
            return false;
        }
        let heard_of = |member: &&Member| member.last_seen_at.is_some_and(|at| at >= recently);
        let contacts = self.state.members.iter().filter(heard_of);
        let needed = CONTACTS_MIN.min(self.state.members.peak_size / 2);
        contacts.take(needed).count() < needed
    }
}

/// Whether a VM may accept callers: it does by its own word, or others have found it to be down.
fn may_serve(member: &Member) -> bool {
    matches!(member.descriptor.status, Status::Ready | Status::Down)
}
