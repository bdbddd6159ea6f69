//! Usage caps of organisations, kept over all VMs together.
//!
//! For each organisation with a cap one VM, the granter, keeps a token bucket for the whole fleet: the serving VM
//! that ranks highest for the organisation. A VM that has received a request asks the granter for its cost before
//! it does anything else for it. Small requests are admitted without an ask, and requests whose ask is not answered
//! are admitted from the VM's own account, which holds a small part of what the fleet may exceed the cap by. What
//! a VM has spent that way is reported to the granter.

mod account;
mod accounts;
mod bucket;
mod granter;
mod reach;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::id;
use crate::organisation::{Cap, Unit};
use crate::settings::Settings;

pub use account::{Account, Hold, Part};
pub use accounts::{Accounts, Failure};
pub use bucket::Bucket;
pub use granter::{Granter, Quota, Scope};
pub use reach::{Reach, SAMPLE};

/// Number of an ask, chosen at random, so that an answer to an earlier incarnation of a VM is not taken for that to
/// a call of the present one.
pub type Number = u64;

/// What a VM wants for one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Want {
    /// Number of the ask.
    pub number: Number,
    /// Cost of the call.
    pub cost: u64,
}

/// What a VM asks and reports for one organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The organisation.
    pub organisation: id::Organisation,
    /// What is asked; none if the entry only reports.
    pub want: Option<Want>,
    /// What the VM has spent without an ask since its last report, less what it was granted and did not use.
    pub spent: i64,
}

/// Message of a VM to a granter. Without entries it only finds out whether the granter responds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Address of the VM for peers, to which the answer goes.
    pub address: SocketAddr,
    /// What it asks and reports.
    pub entries: Vec<Entry>,
}

/// Decision on one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The cost is charged.
    Granted,
    /// The bucket does not have it.
    Refused {
        /// Time until the bucket has it, if nobody else spends.
        wait: Duration,
        /// When the caller is to come back, after those that were told a time before.
        return_after: Duration,
    },
    /// The VM that was asked does not know the organisation.
    Unknown,
}

/// Answer of a granter for one call.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The organisation.
    pub organisation: id::Organisation,
    /// What was asked.
    pub want: Want,
    /// The decision.
    pub verdict: Verdict,
    /// Whether the bucket is nearly empty.
    pub is_scarce: bool,
}

/// How a call enters once its cost is charged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entrance {
    /// Whether the caller goes on with a stream.
    pub is_resumption: bool,
    /// Id of the request that brought the first event of the stream, if the caller names one.
    pub resumes: Option<Arc<str>>,
}

/// An ask whose answer is awaited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pending {
    /// What was asked.
    pub want: Want,
    /// The VM that was asked.
    pub granter: id::Vm,
    /// Number of VMs that were asked for the call.
    pub asks: u32,
    /// How the call enters when it is granted.
    pub entrance: Entrance,
}

/// What of a call's cost is charged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Charge {
    /// Nothing: no cap applies.
    #[default]
    None,
    /// Nothing yet: the answer of the granter is awaited.
    Pending(Pending),
    /// The cost is charged, and no runner has got the request.
    Held(u64),
    /// The cost is charged, and a runner may have got the request.
    Used(u64),
    /// The cost was given back, as another VM is to run the request.
    Returned(u64),
}

/// How much the fleet may exceed a cap by in any window.
pub fn allowance(cap: &Cap, settings: &Settings) -> f64 {
    let window = settings.quota_window.as_secs_f64();
    let slack = match cap.unit {
        Unit::Tokens => settings.quota_slack,
        // The slack is a number of tokens.
        Unit::Requests => 0.0,
    };
    settings.quota_overage * (cap.rate * window + cap.burst) + slack
}
