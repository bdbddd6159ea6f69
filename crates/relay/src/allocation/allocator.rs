//! The claims at the engines that a VM allocates, and the grants that it makes.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::exclusion::Exclusions;
use super::round::{Placement, Round};
use super::{Ask, Claim, Delivery, Grant, GrantNumber, Group, Limits, Refusal, Urgency};
use crate::id;
use crate::manifest::Engine;
use crate::order::{Entry, History, Queue};
use crate::pool::{Load, Pool};

/// How long the claim of a VM counts if no newer one is received.
const CLAIM_LIFETIME: Duration = Duration::from_secs(2);

/// A VM as an allocator knows it.
#[derive(Debug, Clone)]
struct Client {
    claim: Claim,
    received_at: Duration,
    last_grant: GrantNumber,
    /// Grants that the claim does not contain yet, with the load that they add.
    unreported: Vec<(GrantNumber, Vec<(id::Runner, Load)>)>,
    /// The calls that were refused and that its claims still contain, and when they are to come again.
    refused: BTreeMap<(id::Call, Group), Duration>,
}

/// The claims at the engines that this VM allocates.
#[derive(Debug, Clone, Default)]
pub struct Allocator {
    clients: BTreeMap<id::Vm, Client>,
    history: History,
    exclusions: Exclusions,
}

/// A call that waits, as an entry of the order.
struct Waiting<'a> {
    vm: &'a id::Vm,
    ask: &'a Ask,
    urgency: Urgency,
    /// How long ago its claim was received.
    age: Duration,
}

impl Allocator {
    /// Records a claim, unless a newer one of the same VM is known.
    pub fn record(&mut self, mut claim: Claim, now: Duration) {
        let known = self.clients.get(&claim.vm);
        let is_same = known.is_some_and(|known| known.claim.incarnation == claim.incarnation);
        if is_same && known.is_some_and(|known| known.claim.sequence >= claim.sequence) {
            return;
        }
        claim.asks.iter_mut().for_each(Ask::bound_tokens);
        let excluded = claim.asks.iter().flat_map(|ask| &ask.excluded);
        self.exclusions.record(&claim.vm, excluded, now);
        let known = self.clients.remove(&claim.vm).filter(|_| is_same);
        let (mut unreported, last_grant, mut refused) = known
            .map_or((Vec::new(), 0, BTreeMap::new()), |known| {
                (known.unreported, known.last_grant, known.refused)
            });
        unreported.retain(|(number, _)| *number > claim.last_grant);
        refused.retain(|key, _| claim.asks.iter().any(|ask| ask.key() == *key));
        let client = Client {
            // An allocator that restarted continues after the grants of its predecessor.
            last_grant: last_grant.max(claim.last_grant),
            unreported,
            refused,
            received_at: now,
            claim,
        };
        self.clients.insert(client.claim.vm.clone(), client);
    }

    /// Forgets VMs whose last claim is too old.
    pub fn expire(&mut self, now: Duration) {
        self.exclusions.expire(now);
        self.clients
            .retain(|_, client| client.received_at + CLAIM_LIFETIME > now);
    }

    /// Whether any call waits for capacity.
    pub fn has_waiting(&self) -> bool {
        self.clients
            .values()
            .any(|client| !client.claim.asks.is_empty())
    }

    /// Grants capacity to the calls that wait, as far as there is any, in the order of [`crate::order`], and refuses
    /// those that can't get it in time. `allowances` is how many requests the engines that name a limit may get now.
    pub fn allocate(
        &mut self,
        pool: &Pool,
        engines: &BTreeMap<id::Endpoint, Engine>,
        limits: Limits,
        allowances: HashMap<id::Runner, u32>,
        now: Duration,
    ) -> Vec<Delivery> {
        let mut deliveries: BTreeMap<id::Vm, Delivery> = BTreeMap::new();
        self.repeat_refusals(&mut deliveries, now);
        let loads = self.loads();
        let exclusions = &self.exclusions;
        let mut round = Round::new(pool, engines, limits, loads, allowances, exclusions, now);
        let waiting = waiting(&self.clients, now);
        let entries = waiting.iter().map(|call| call.entry(&mut round)).collect();
        let mut queue = match limits.overload_control {
            true => Queue::new(&mut self.history, entries, now),
            false => Queue::by_urgency(&mut self.history, entries, now),
        };
        let mut placements = Vec::new();
        while let Some(index) = queue.pop() {
            let call = &waiting[index];
            match round.place(call.ask, call.urgency) {
                Some(placement) => {
                    queue.place(index);
                    placements.push((call.vm.clone(), call.ask.clone(), placement));
                }
                None if queue.leave(index) => round.keep_room(call.ask),
                None => {}
            }
        }
        let refused = queue.finish().into_iter();
        let refusals: Vec<(id::Vm, Refusal)> = refused
            .map(|refused| {
                let waiting = &waiting[refused.index];
                let refusal = waiting.ask.refuse(refused.retry_after);
                (waiting.vm.clone(), refusal)
            })
            .collect();
        for (vm, ask, placement) in placements {
            if let Some((client, delivery)) = self.delivery(&mut deliveries, &vm) {
                delivery.grants.push(client.grant(&ask, placement));
            }
        }
        for (vm, refusal) in refusals {
            if let Some((client, delivery)) = self.delivery(&mut deliveries, &vm) {
                client.refuse(refusal, now);
                delivery.refusals.push(refusal);
            }
        }
        deliveries.into_values().collect()
    }

    /// Tells VMs again of the calls that were refused and that their claims still contain: they have not heard of it.
    fn repeat_refusals(&mut self, deliveries: &mut BTreeMap<id::Vm, Delivery>, now: Duration) {
        for (vm, client) in &mut self.clients {
            let refused = &client.refused;
            let asks = client.claim.asks.iter();
            let repeated = asks.filter_map(|ask| {
                let returns_at = refused.get(&ask.key())?;
                Some(ask.refuse(returns_at.saturating_sub(now)))
            });
            let refusals: Vec<Refusal> = repeated.collect();
            if refusals.is_empty() {
                continue;
            }
            client
                .claim
                .asks
                .retain(|ask| !refused.contains_key(&ask.key()));
            let delivery = Delivery {
                refusals,
                ..client.delivery()
            };
            deliveries.insert(vm.clone(), delivery);
        }
    }

    /// A VM and what is sent to it.
    fn delivery<'a>(
        &'a mut self,
        deliveries: &'a mut BTreeMap<id::Vm, Delivery>,
        vm: &id::Vm,
    ) -> Option<(&'a mut Client, &'a mut Delivery)> {
        let client = self.clients.get_mut(vm)?;
        let delivery = deliveries
            .entry(vm.clone())
            .or_insert_with(|| client.delivery());
        Some((client, delivery))
    }

    /// The load at one engine, as far as this VM allocates it.
    pub fn load_at(&self, runner: &id::Runner) -> Load {
        self.loads().get(runner).copied().unwrap_or_default()
    }

    /// The load at each engine: what the VMs have reported, and what was granted since.
    fn loads(&self) -> HashMap<id::Runner, Load> {
        let mut loads: HashMap<id::Runner, Load> = HashMap::new();
        for client in self.clients.values() {
            let reported = client.claim.loads.iter();
            let unreported = client.unreported.iter().flat_map(|(_, added)| added);
            for (runner, load) in reported.chain(unreported) {
                loads.entry(runner.clone()).or_default().add(*load);
            }
        }
        loads
    }
}

impl Client {
    /// Records that a call got capacity.
    fn grant(&mut self, ask: &Ask, placement: Placement) -> Grant {
        self.last_grant = self.last_grant.saturating_add(1);
        self.claim.asks.retain(|other| other.call != ask.call);
        self.unreported.push((self.last_grant, placement.added));
        Grant {
            number: self.last_grant,
            call: ask.call,
            decode: placement.decode,
            prefill: placement.prefill,
            queued_tokens: placement.queued_tokens,
        }
    }

    /// Records that a call was refused.
    fn refuse(&mut self, refusal: Refusal, now: Duration) {
        let key = (refusal.call, refusal.group);
        self.refused.insert(key, now + refusal.retry_after);
        self.claim.asks.retain(|ask| ask.key() != key);
    }

    /// A delivery to this VM without grants.
    fn delivery(&self) -> Delivery {
        Delivery {
            address: self.claim.peer_address,
            vm: self.claim.vm.clone(),
            incarnation: self.claim.incarnation,
            grants: Vec::new(),
            refusals: Vec::new(),
        }
    }
}

impl Ask {
    fn key(&self) -> (id::Call, Group) {
        (self.call, self.group)
    }

    fn refuse(&self, retry_after: Duration) -> Refusal {
        Refusal {
            call: self.call,
            group: self.group,
            retry_after,
        }
    }
}

impl<'a> Waiting<'a> {
    fn entry(&self, round: &mut Round<'_>) -> Entry<'a> {
        let ask = self.ask;
        let patience = ask.patience;
        Entry {
            call: ask.call,
            vm: self.vm,
            urgency: self.urgency,
            priority: ask.priority,
            organisation: ask.organisation.as_ref(),
            need: round.time_to_prefill(ask),
            work: ask.tokens.saturating_add(ask.prefill_tokens),
            patience: patience.map(|patience| patience.saturating_sub(self.age)),
        }
    }
}

/// The calls that wait.
fn waiting(clients: &BTreeMap<id::Vm, Client>, now: Duration) -> Vec<Waiting<'_>> {
    let mut waiting = Vec::new();
    for client in clients.values() {
        let age = now.saturating_sub(client.received_at);
        for ask in &client.claim.asks {
            waiting.push(Waiting {
                vm: &client.claim.vm,
                ask,
                urgency: ask.urgency.after(age),
                age,
            });
        }
    }
    waiting
}
