//! What of a call's cost is charged, and given back.

use crate::cap::Charge;
use crate::id;
use crate::organisation::Cap;
use crate::reduce::Reducer;

impl Reducer<'_> {
    /// Charges a call that is about to be sent to a runner.
    pub(in crate::reduce) fn use_charge(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        match call.charge {
            Charge::None | Charge::Pending(_) | Charge::Used(_) => {}
            Charge::Held(cost) => call.charge = Charge::Used(cost),
            Charge::Returned(cost) => {
                call.charge = Charge::Used(cost);
                let Some((organisation, cap)) = self.cap_of(number) else {
                    return;
                };
                let (now, part) = (self.now, self.part(&cap));
                self.account(&organisation, part).spend_anyway(cost, now);
            }
        }
    }

    /// Gives back the cost of a call that another VM is to run, which charges it there.
    pub(in crate::reduce) fn return_charge(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let (Charge::Held(cost) | Charge::Used(cost)) = call.charge else {
            return;
        };
        call.charge = Charge::Returned(cost);
        if let Some((organisation, cap)) = self.cap_of(number) {
            self.give_back(&organisation, &cap, cost);
        }
    }

    /// Gives back the cost of a call that ends and that no runner has got.
    pub(in crate::reduce) fn release_charge(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let has_arrived = call.arrivals.has_arrived();
        let cost = match std::mem::take(&mut call.charge) {
            Charge::None | Charge::Returned(_) => return,
            Charge::Pending(pending) => {
                // A grant that still comes is given back then.
                self.state.accounts.end_wait(pending.want.number);
                return;
            }
            Charge::Used(_) if has_arrived => return,
            Charge::Held(cost) | Charge::Used(cost) => cost,
        };
        if let Some((organisation, cap)) = self.cap_of(number) {
            self.give_back(&organisation, &cap, cost);
        }
    }

    pub(super) fn give_back(&mut self, organisation: &id::Organisation, cap: &Cap, cost: u64) {
        let (now, part) = (self.now, self.part(cap));
        self.account(organisation, part).give_back(cost, part, now);
    }

    pub(super) fn set_charge(&mut self, number: id::Call, charge: Charge) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.charge = charge;
        }
    }
}
