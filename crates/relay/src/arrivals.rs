//! How the attempts of one call count against the retry budget.
//!
//! The limit is on arrivals at runners: each beyond the first of its request costs a retry, whatever
//! the attempt was for and however it ended. The one exception is the first prefill that a runner
//! completes. Whether an attempt counts is therefore known only once it has ended, or its response
//! has begun; until then the retry that it may cost is held.

use crate::budget::{Charge, Retry};

/// What an attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// To prefill the prompt; a run follows.
    Prefill,
    /// To produce the response.
    Run,
}

/// How an attempt arrived at its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// Not at all: no byte was written.
    None,
    /// As a prefill that was completed.
    Prefilled,
    /// In any other way, or it is unknown whether it arrived.
    Other,
}

/// The attempts of one call, as the runners see them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Arrivals {
    counted: u32,
    has_prefilled: bool,
    held: Vec<Retry>,
    in_flight: Option<Step>,
}

impl Arrivals {
    /// Number of arrivals that count against the limit.
    pub fn counted(&self) -> u32 {
        self.counted
    }

    /// Whether a runner got any attempt, or one is in flight.
    pub fn has_arrived(&self) -> bool {
        self.counted > 0 || self.has_prefilled || self.in_flight.is_some()
    }

    /// Retries that must still be held before an attempt may start. For a prefill they include that of
    /// the run after it, without which it would be wasted.
    pub fn missing(&self, step: Step) -> u32 {
        self.cost(step).saturating_sub(self.held.len() as u32)
    }

    /// The same, for an attempt that follows once the current one is aborted.
    pub fn missing_after_abort(&self, step: Step) -> u32 {
        let mut next = self.clone();
        next.settle(Arrival::Other);
        next.missing(step)
    }

    /// Keeps retries that are now held for this call.
    pub fn hold(&mut self, retries: Vec<Retry>) {
        self.held.extend(retries);
    }

    /// Starts an attempt; returns what it costs.
    pub fn start(&mut self, step: Step) -> Charge {
        self.in_flight = Some(step);
        match step {
            _ if self.counted == 0 => Charge::None,
            Step::Prefill if !self.has_prefilled => Charge::Held,
            _ => Charge::Retry,
        }
    }

    /// Counts the attempt in flight, if it isn't counted yet; returns the held retry that it costs.
    pub fn settle(&mut self, arrival: Arrival) -> Option<Retry> {
        let is_counted = self.in_flight.take().is_none();
        if is_counted || arrival == Arrival::None {
            return None;
        }
        if arrival == Arrival::Prefilled && !std::mem::replace(&mut self.has_prefilled, true) {
            return None;
        }
        self.counted += 1;
        if self.counted == 1 {
            return None;
        }
        self.held.pop()
    }

    /// Gives up the held retries that the next attempt doesn't need; all if there is none.
    pub fn release_surplus(&mut self, next: Option<Step>) -> Vec<Retry> {
        let needed = next.map_or(0, |step| self.cost(step));
        let needed = self.held.len().min(needed as usize);
        self.held.split_off(needed)
    }

    /// Retries that an attempt costs at most, with the run after it.
    fn cost(&self, step: Step) -> u32 {
        let is_repeat = u32::from(self.counted > 0);
        match step {
            Step::Run => is_repeat,
            Step::Prefill => is_repeat + u32::from(self.has_prefilled),
        }
    }
}
