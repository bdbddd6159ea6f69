//! Allocation of engine capacity: one VM of the fleet, the allocator of a group of engines, knows what
//! is in flight there and grants capacity to the calls of all VMs.
//!
//! The allocator of a group is the ready VM that ranks highest for it (rendezvous hashing), so that no
//! VM has to be elected and each VM can tell by itself whom to ask. Nothing is agreed upon: VMs whose
//! views of the fleet differ may ask different allocators for a moment. Each of these then knows a part
//! of the load, and the cost of that is a request that an engine declines.
//!
//! A VM sends its complete claim at a group each time: its load in flight, and the calls that need
//! capacity. A claim that is lost, or an allocator that starts anew, therefore costs nothing but time.

mod allocator;
mod exclusion;
mod group;
mod round;

use std::net::SocketAddr;
use std::time::Duration;

use crate::call::TOKENS_MAX;
use crate::id;
use crate::pool::Load;
use crate::speed::Reading;

pub use crate::order::Urgency;
pub use allocator::Allocator;
pub use group::{group_count, group_of, hash, rank};

/// Number of a group of engines.
pub type Group = u32;
/// Number of a grant, per client of an allocator.
pub type GrantNumber = u64;

/// A call that needs capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Number of the call at its VM.
    pub call: id::Call,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Software version that the engines must have; none if any will do.
    pub build: Option<id::Build>,
    /// KV memory that the call is expected to use at its decode runner, in tokens.
    pub tokens: u64,
    /// Tokens of its prompt that are still to prefill.
    pub prefill_tokens: u64,
    /// Group whose engines are asked for.
    pub group: Group,
    /// Number of groups that the VM divides the engines into.
    pub groups: u32,
    /// How soon the call needs the capacity.
    pub urgency: Urgency,
    /// The decode engine that is known to hold its prompt, which needs no prefill there.
    pub holder: Option<id::Runner>,
    /// Runners that the VM does not want, since they failed the call or are failing.
    pub excluded: Vec<id::Runner>,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Its organisation, if it has one.
    pub organisation: Option<id::Organisation>,
    /// How long the VM lets the call wait for capacity; none if it can't be refused by the allocator.
    pub patience: Option<Duration>,
}

impl Ask {
    /// Bounds the tokens that count; another VM may name any number.
    fn bound_tokens(&mut self) {
        self.tokens = self.tokens.min(2 * TOKENS_MAX);
        self.prefill_tokens = self.prefill_tokens.min(TOKENS_MAX);
    }
}

/// What a VM has in flight at the engines of an allocator, and what it asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The VM.
    pub vm: id::Vm,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Where it receives grants.
    pub peer_address: SocketAddr,
    /// Orders the claims of one incarnation.
    pub sequence: u64,
    /// The last grant that it has received; its load contains this grant and all before, as far as they
    /// are still in use.
    pub last_grant: GrantNumber,
    /// Its load in flight.
    pub loads: Vec<(id::Runner, Load)>,
    /// The calls that need capacity.
    pub asks: Vec<Ask>,
    /// What it has observed of the speed of engines since its last claim.
    pub readings: Vec<(id::Runner, Reading)>,
}

impl Claim {
    /// Whether it has neither load nor asks.
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.asks.is_empty()
    }

    /// Whether another claim of the same VM says the same, apart from the time that has passed. Readings
    /// alone are no reason to send a claim: they go with the next one.
    pub fn is_same_as(&self, other: &Self) -> bool {
        let is_same_ask = |(one, other): (&Ask, &Ask)| {
            let is_late = |ask: &Ask| ask.urgency == Urgency::Late;
            one.call == other.call
                && one.group == other.group
                && one.groups == other.groups
                && one.build == other.build
                && one.holder == other.holder
                && one.tokens == other.tokens
                && one.priority == other.priority
                && one.organisation == other.organisation
                && is_late(one) == is_late(other)
                && one.excluded == other.excluded
        };
        self.last_grant == other.last_grant
            && self.loads == other.loads
            && self.asks.len() == other.asks.len()
            && self.asks.iter().zip(&other.asks).all(is_same_ask)
    }
}

/// Capacity granted to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Number of the grant.
    pub number: GrantNumber,
    /// Number of the call at its VM.
    pub call: id::Call,
    /// The decode runner.
    pub decode: id::Runner,
    /// The prefill runner, if the prompt is to be prefilled and one was available.
    pub prefill: Option<id::Runner>,
    /// Tokens that the prefill runner has to prefill first.
    pub queued_tokens: u64,
}

/// A call that can't get capacity before its VM gives it up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Number of the call at its VM.
    pub call: id::Call,
    /// Group that was asked for.
    pub group: Group,
    /// When there is capacity for it, if it comes again.
    pub retry_after: Duration,
}

/// Grants to one VM, and refusals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The allocator.
    pub allocator: id::Vm,
    /// Incarnation of the VM that they are for.
    pub incarnation: id::Incarnation,
    /// The grants.
    pub grants: Vec<Grant>,
    /// The calls that are refused.
    pub refusals: Vec<Refusal>,
}

/// Grants for one VM, and where to send them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delivery {
    /// Address of the VM for peers.
    pub address: SocketAddr,
    /// The VM.
    pub vm: id::Vm,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// The grants.
    pub grants: Vec<Grant>,
    /// The calls that are refused.
    pub refusals: Vec<Refusal>,
}

/// Limits of the allocation.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Fraction of an engine's KV memory that is allocated.
    pub memory_fraction: f64,
    /// The same for calls that can't meet their target latency any more.
    pub memory_fraction_late: f64,
    /// Whether a decode engine may read a KV cache that was written at another build.
    pub kv_across_builds: bool,
    /// Whether calls go by their priority and organisation, hopeless ones are refused, and engines that several VMs do
    /// not want are passed over.
    pub overload_control: bool,
}
