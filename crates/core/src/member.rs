//! The members of the fleet, as this process sees them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::Vm;
use crate::message::{Descriptor, Status};
use crate::token::Instance;

/// Another VM of the fleet.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its newest known descriptor.
    pub descriptor: Descriptor,
    /// When its status last changed, or its suspicion timeout was restarted, since this process
    /// started.
    pub status_since: Duration,
    /// Whether this incarnation has itself sent a message to this process; false while it is known
    /// only from the platform's list or from other members.
    pub seen_directly: bool,
    /// Whether the platform's list marks it as about to be removed.
    pub listed_leaving: bool,
}

impl Member {
    /// The incarnation that the descriptor is about.
    pub fn instance(&self) -> Instance {
        Instance {
            vm: self.descriptor.vm,
            incarnation: self.descriptor.incarnation,
        }
    }

    /// Returns whether callers may be sent to it.
    pub fn can_accept_callers(&self) -> bool {
        let is_alive = matches!(self.descriptor.status, Status::Up | Status::Suspect);
        is_alive && self.descriptor.incarnation != 0 && !self.listed_leaving
    }

    /// Returns whether it is worth sending messages to.
    pub fn is_reachable(&self) -> bool {
        self.descriptor.status != Status::Down
    }
}

/// All known members except this process itself.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<Vm, Member>,
}

impl Table {
    /// Finds a member.
    pub fn get(&self, vm: Vm) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// Finds a member, mutably.
    pub fn get_mut(&mut self, vm: Vm) -> Option<&mut Member> {
        self.members.get_mut(&vm)
    }

    /// Iterates over the members by VM number.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Removes a member.
    pub fn remove(&mut self, vm: Vm) {
        self.members.remove(&vm);
    }

    /// Records that an incarnation has sent a message itself. If another one of its VM was known,
    /// the sender replaces it with status `Joining` until its own descriptor arrives.
    pub fn record_seen(&mut self, from: Instance, now: Duration) {
        let Some(member) = self.members.get_mut(&from.vm) else {
            return;
        };
        if member.descriptor.incarnation != from.incarnation {
            member.descriptor.incarnation = from.incarnation;
            member.descriptor.version = 0;
            member.descriptor.status = Status::Joining;
            member.status_since = now;
        }
        member.seen_directly = true;
    }

    /// Merges a descriptor and returns whether it replaced the known one. `from_member` says that
    /// the incarnation described sent it itself.
    ///
    /// Incarnations are random and so have no order. A descriptor of another one replaces the known
    /// one if that incarnation sent it itself; one passed on by others does so only if the known
    /// incarnation is down or has not itself sent anything to this process.
    pub fn merge(&mut self, descriptor: Descriptor, now: Duration, from_member: bool) -> bool {
        match self.members.get_mut(&descriptor.vm) {
            None => {
                self.members.insert(
                    descriptor.vm,
                    Member {
                        descriptor,
                        status_since: now,
                        seen_directly: from_member,
                        listed_leaving: false,
                    },
                );
                true
            }
            Some(member) => member.merge(descriptor, now, from_member),
        }
    }
}

impl Member {
    fn merge(&mut self, descriptor: Descriptor, now: Duration, from_member: bool) -> bool {
        let is_same_incarnation = descriptor.incarnation == self.descriptor.incarnation;
        let is_newer = if is_same_incarnation {
            (descriptor.version, descriptor.status)
                > (self.descriptor.version, self.descriptor.status)
        } else {
            from_member || !self.seen_directly || self.descriptor.status == Status::Down
        };
        if is_newer {
            if !is_same_incarnation || descriptor.status != self.descriptor.status {
                self.status_since = now;
            }
            self.seen_directly = from_member || (is_same_incarnation && self.seen_directly);
            self.descriptor = descriptor;
        } else if is_same_incarnation && from_member {
            self.seen_directly = true;
        }
        is_newer
    }
}
