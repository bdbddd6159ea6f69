//! The configuration that results from the applied tickets.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::id;

use super::schema::{ClassItem, EndpointItem, Fault, Item, Limit, Ticket};

#[derive(Debug, Clone)]
struct Entry {
    ticket: id::Ticket,
    item: Arc<Item>,
    text: Arc<str>,
}

/// One item's current value as JSON, and the ticket that set it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Version {
    /// Name of the item.
    pub name: String,
    /// Number of the ticket.
    pub ticket: id::Ticket,
    /// The value's JSON.
    pub text: Arc<str>,
}

/// Maximum number of recent tickets kept as received, for peers that lag by a few tickets.
const LOG_TICKETS_MAX: usize = 64;
/// Maximum total size of these tickets.
const LOG_BYTES_MAX: usize = 256 << 10;

/// Result of applying or skipping a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// It has now been applied or skipped.
    New,
    /// It was applied or skipped before.
    Known,
    /// A ticket with a lower number is missing and has to be fetched first.
    Gap {
        /// The first missing number.
        missing: id::Ticket,
    },
}

/// Every configuration item, with its value and the ticket that set it.
#[derive(Debug, Clone, Default)]
pub struct Table {
    items: BTreeMap<String, Entry>,
    newest: id::Ticket,
    log: VecDeque<(id::Ticket, Arc<str>)>,
    log_bytes: usize,
}

impl Table {
    /// Returns the highest number up to which every ticket was applied or skipped.
    pub fn newest(&self) -> id::Ticket {
        self.newest
    }

    /// Applies a ticket, if all earlier ones were applied or skipped.
    pub fn apply(&mut self, ticket: &Ticket) -> Applied {
        match self.check_order(ticket.number) {
            Applied::New => {}
            other => return other,
        }
        for (name, value) in &ticket.items {
            let item = Arc::new(value.item.clone());
            let entry = Entry {
                ticket: ticket.number,
                item,
                text: value.text.clone(),
            };
            self.items.insert(name.clone(), entry);
        }
        self.append_log(ticket.number, ticket.text.clone());
        Applied::New
    }

    /// Skips an invalid ticket, leaving the items as they are.
    pub fn skip(&mut self, number: id::Ticket, text: Arc<str>) -> Applied {
        let applied = self.check_order(number);
        if applied == Applied::New {
            self.append_log(number, text);
        }
        applied
    }

    fn append_log(&mut self, number: id::Ticket, text: Arc<str>) {
        self.newest = number;
        self.log_bytes += text.len();
        self.log.push_back((number, text));
        while self.log.len() > LOG_TICKETS_MAX || self.log_bytes > LOG_BYTES_MAX {
            let Some((_, oldest)) = self.log.pop_front() else {
                return;
            };
            self.log_bytes -= oldest.len();
        }
    }

    /// Returns the tickets after a number as received, if all of them are still in the log.
    pub fn tickets_after(&self, number: id::Ticket) -> Option<Vec<Arc<str>>> {
        let is_complete = self
            .log
            .front()
            .is_some_and(|(first, _)| *first <= number + 1);
        let tickets = self.log.iter().filter(|(logged, _)| *logged > number);
        is_complete.then(|| tickets.map(|(_, text)| text.clone()).collect())
    }

    /// Returns the current version of every item.
    pub fn snapshot(&self) -> Vec<Version> {
        let version = |(name, entry): (&String, &Entry)| Version {
            name: name.clone(),
            ticket: entry.ticket,
            text: entry.text.clone(),
        };
        self.items.iter().map(version).collect()
    }

    /// Merges a complete snapshot, keeping of each item the version with the higher ticket number.
    /// Returns whether the snapshot was newer than the table.
    ///
    /// # Errors
    ///
    /// The faults of the items that can't be parsed. The table then stays as it is: a part of a
    /// snapshot must not be in force under the number of the whole.
    pub fn merge_snapshot(
        &mut self,
        newest: id::Ticket,
        versions: &[Version],
    ) -> Result<bool, Vec<Fault>> {
        if newest <= self.newest {
            return Ok(false);
        }
        let entries = parse_versions(versions)?;
        for (name, entry) in entries {
            let known = self.items.get(&name).map_or(0, |known| known.ticket);
            if entry.ticket > known {
                self.items.insert(name, entry);
            }
        }
        self.newest = newest;
        self.log.clear();
        self.log_bytes = 0;
        Ok(true)
    }

    fn check_order(&self, number: id::Ticket) -> Applied {
        let next = self.newest + 1;
        match number.cmp(&next) {
            std::cmp::Ordering::Less => Applied::Known,
            std::cmp::Ordering::Equal => Applied::New,
            std::cmp::Ordering::Greater => Applied::Gap { missing: next },
        }
    }

    fn get(&self, prefix: &str, name: &str) -> Option<&Item> {
        let entry = self.items.get(&format!("{prefix}/{name}"))?;
        Some(&entry.item)
    }

    /// Finds an endpoint.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointItem> {
        match self.get("endpoint", name)? {
            Item::Endpoint(endpoint) => Some(endpoint),
            _ => None,
        }
    }

    /// Returns the number of the ticket that last set an endpoint; 0 if there was none.
    pub fn endpoint_version(&self, name: &str) -> id::Ticket {
        self.items
            .get(&format!("endpoint/{name}"))
            .map_or(0, |entry| entry.ticket)
    }

    /// Finds a class.
    pub fn class(&self, name: &str) -> Option<&ClassItem> {
        match self.get("class", name)? {
            Item::Class(class) => Some(class),
            _ => None,
        }
    }

    /// Finds the limit of an organisation.
    pub fn organisation(&self, name: &str) -> Option<&Limit> {
        match self.get("organisation", name)? {
            Item::Organisation(limit) => Some(limit),
            _ => None,
        }
    }

    /// Returns when the service shuts down, in seconds since the Unix epoch.
    pub fn shutdown_at(&self) -> Option<u64> {
        match self.get("service", "shutdown")? {
            Item::Shutdown(shutdown) => Some(shutdown.at_unix),
            _ => None,
        }
    }

    /// Iterates over the configured endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, &EndpointItem)> {
        self.items
            .iter()
            .filter_map(|(name, entry)| match &*entry.item {
                Item::Endpoint(endpoint) => Some((name.strip_prefix("endpoint/")?, endpoint)),
                _ => None,
            })
    }

    /// Iterates over the items with the number of the ticket that last set each.
    pub fn versions(&self) -> impl Iterator<Item = (&str, id::Ticket)> {
        self.items
            .iter()
            .map(|(name, entry)| (name.as_str(), entry.ticket))
    }
}

/// Parses the items of a snapshot, or lists the faults of all that can't be parsed.
fn parse_versions(versions: &[Version]) -> Result<Vec<(String, Entry)>, Vec<Fault>> {
    let mut entries = Vec::new();
    let mut faults = Vec::new();
    for version in versions {
        match Item::parse(&version.name, &version.text) {
            Ok(item) => {
                let entry = Entry {
                    ticket: version.ticket,
                    item: Arc::new(item),
                    text: version.text.clone(),
                };
                entries.push((version.name.clone(), entry));
            }
            Err(found) => faults.extend(found),
        }
    }
    if faults.is_empty() {
        Ok(entries)
    } else {
        Err(faults)
    }
}
