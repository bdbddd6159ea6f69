//! The claims at the engines that a VM allocates, and the grants that it makes.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::round::{Placement, Round};
use super::{Ask, Claim, Delivery, Grant, GrantNumber, Limits, Urgency};
use crate::id;
use crate::manifest::Engine;
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
}

/// The claims at the engines that this VM allocates.
#[derive(Debug, Clone, Default)]
pub struct Allocator {
    clients: BTreeMap<id::Vm, Client>,
}

impl Allocator {
    /// Records a claim, unless a newer one of the same VM is known.
    pub fn record(&mut self, claim: Claim, now: Duration) {
        let known = self.clients.get(&claim.vm);
        let is_same = known.is_some_and(|known| known.claim.incarnation == claim.incarnation);
        if is_same && known.is_some_and(|known| known.claim.sequence >= claim.sequence) {
            return;
        }
        let known = self.clients.remove(&claim.vm).filter(|_| is_same);
        let (mut unreported, last_grant) = known.map_or((Vec::new(), 0), |known| {
            (known.unreported, known.last_grant)
        });
        unreported.retain(|(number, _)| *number > claim.last_grant);
        let client = Client {
            // An allocator that restarted continues after the grants of its predecessor.
            last_grant: last_grant.max(claim.last_grant),
            unreported,
            received_at: now,
            claim,
        };
        self.clients.insert(client.claim.vm.clone(), client);
    }

    /// Forgets VMs whose last claim is too old.
    pub fn expire(&mut self, now: Duration) {
        self.clients
            .retain(|_, client| client.received_at + CLAIM_LIFETIME > now);
    }

    /// Whether any call waits for capacity.
    pub fn has_waiting(&self) -> bool {
        self.clients
            .values()
            .any(|client| !client.claim.asks.is_empty())
    }

    /// Grants capacity to the calls that wait, as far as there is any.
    ///
    /// Calls that can still meet their target latency go first, the most urgent one ahead. The others
    /// use only what these leave, the longest waiting ahead. `allowances` is how many requests the engines that
    /// name a limit may get now.
    pub fn allocate(
        &mut self,
        pool: &Pool,
        engines: &BTreeMap<id::Endpoint, Engine>,
        limits: Limits,
        allowances: HashMap<id::Runner, u32>,
        now: Duration,
    ) -> Vec<Delivery> {
        let mut round = Round::new(pool, engines, limits, self.loads(), allowances, now);
        let mut deliveries: BTreeMap<id::Vm, Delivery> = BTreeMap::new();
        for (urgency, vm, ask) in self.waiting(now) {
            let Some(placement) = round.place(&ask, urgency) else {
                continue;
            };
            let Some(client) = self.clients.get_mut(&vm) else {
                continue;
            };
            let grant = client.grant(&ask, placement);
            let delivery = deliveries.entry(vm).or_insert_with(|| client.delivery());
            delivery.grants.push(grant);
        }
        deliveries.into_values().collect()
    }

    /// The calls that wait, in the order in which they are served.
    fn waiting(&self, now: Duration) -> Vec<(Urgency, id::Vm, Ask)> {
        let mut waiting = Vec::new();
        for client in self.clients.values() {
            let age = now.saturating_sub(client.received_at);
            for ask in &client.claim.asks {
                waiting.push((ask.urgency.after(age), client.claim.vm.clone(), ask.clone()));
            }
        }
        waiting.sort_by(|(urgency, vm, ask), (other_urgency, other_vm, other)| {
            (urgency, ask.call, vm).cmp(&(other_urgency, other.call, other_vm))
        });
        waiting
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
        self.last_grant += 1;
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

    /// A delivery to this VM without grants.
    fn delivery(&self) -> Delivery {
        Delivery {
            address: self.claim.peer_address,
            vm: self.claim.vm.clone(),
            incarnation: self.claim.incarnation,
            grants: Vec::new(),
        }
    }
}
