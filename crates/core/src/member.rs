//! The members of the fleet as this process sees them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::Vm;
use crate::message::{Descriptor, Status};
use crate::token::Instance;

/// One VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// The newest statement about it.
    pub descriptor: Descriptor,
    /// Since when it has its standing, since this process started.
    pub status_since: Duration,
    /// Whether this process has heard from this boot itself.
    pub contacted: bool,
    /// Whether the platform is about to take it away.
    pub listed_leaving: bool,
}

impl Member {
    /// The boot that the statement is about.
    pub fn instance(&self) -> Instance {
        Instance {
            vm: self.descriptor.vm,
            incarnation: self.descriptor.incarnation,
        }
    }

    /// Tells whether callers may be sent to it.
    pub fn can_accept_callers(&self) -> bool {
        let status = matches!(self.descriptor.status, Status::Up | Status::Suspect);
        status && self.descriptor.incarnation != 0 && !self.listed_leaving
    }

    /// Tells whether messages may reach it.
    pub fn is_reachable(&self) -> bool {
        self.descriptor.status != Status::Down
    }
}

/// All known members, without this process itself.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<Vm, Member>,
}

impl Table {
    /// Finds a member.
    pub fn get(&self, vm: Vm) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// Finds a member for change.
    pub fn get_mut(&mut self, vm: Vm) -> Option<&mut Member> {
        self.members.get_mut(&vm)
    }

    /// Lists the members by number.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Removes a member.
    pub fn remove(&mut self, vm: Vm) {
        self.members.remove(&vm);
    }

    /// Takes note that a boot has sent something itself.
    pub fn record_contact(&mut self, from: Instance, now: Duration) {
        let Some(member) = self.members.get_mut(&from.vm) else {
            return;
        };
        if member.descriptor.incarnation != from.incarnation {
            member.descriptor.incarnation = from.incarnation;
            member.descriptor.version = 0;
            member.descriptor.status = Status::Joining;
            member.status_since = now;
        }
        member.contacted = true;
    }

    /// Takes in a statement where it is newer; tells whether it was.
    ///
    /// A newer boot goes before an older one only if it has been heard, since boots carry no
    /// order: an unheard other boot replaces a member that is down or was never heard.
    pub fn merge(&mut self, descriptor: Descriptor, now: Duration, contacted: bool) -> bool {
        match self.members.get_mut(&descriptor.vm) {
            None => {
                self.members.insert(
                    descriptor.vm,
                    Member {
                        descriptor,
                        status_since: now,
                        contacted,
                        listed_leaving: false,
                    },
                );
                true
            }
            Some(member) => member.merge(descriptor, now, contacted),
        }
    }
}

impl Member {
    fn merge(&mut self, descriptor: Descriptor, now: Duration, contacted: bool) -> bool {
        let same_boot = descriptor.incarnation == self.descriptor.incarnation;
        let newer = if same_boot {
            (descriptor.version, descriptor.status)
                > (self.descriptor.version, self.descriptor.status)
        } else {
            contacted || !self.contacted || self.descriptor.status == Status::Down
        };
        if newer {
            if !same_boot || descriptor.status != self.descriptor.status {
                self.status_since = now;
            }
            self.contacted = contacted || (same_boot && self.contacted);
            self.descriptor = descriptor;
        } else if same_boot && contacted {
            self.contacted = true;
        }
        newer
    }
}
