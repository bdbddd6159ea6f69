//! The state that tickets add up to.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::id;

use super::schema::{ClassItem, EndpointItem, Item, Limit, Ticket};

#[derive(Debug, Clone)]
struct Entry {
    ticket: id::Ticket,
    item: Arc<Item>,
    text: Arc<str>,
}

/// One item's value, the ticket that gave it, and its JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Version {
    /// The item.
    pub name: String,
    /// The ticket.
    pub ticket: id::Ticket,
    /// The value's JSON.
    pub text: Arc<str>,
}

/// Newest tickets kept as they came, for peers that are a little behind.
const LOG_TICKETS: usize = 64;
/// Bytes of them.
const LOG_BYTES: usize = 256 << 10;

/// What applying a ticket did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// It is in force now.
    New,
    /// It was in force or refused before.
    Known,
    /// A ticket with a lower number is missing; it has to be fetched first.
    Gap {
        /// The first missing number.
        missing: id::Ticket,
    },
}

/// Every item with its value and the ticket that gave it.
#[derive(Debug, Clone, Default)]
pub struct Table {
    items: BTreeMap<String, Entry>,
    newest: id::Ticket,
    log: VecDeque<(id::Ticket, Arc<str>)>,
    log_bytes: usize,
}

impl Table {
    /// The highest number up to which every ticket was applied or refused.
    pub fn newest(&self) -> id::Ticket {
        self.newest
    }

    /// Applies a ticket if all before it were.
    pub fn apply(&mut self, ticket: &Ticket) -> Applied {
        match self.place(ticket.number) {
            Applied::New => {}
            other => return other,
        }
        for (name, valued) in &ticket.items {
            let item = Arc::new(valued.item.clone());
            let entry = Entry {
                ticket: ticket.number,
                item,
                text: valued.text.clone(),
            };
            self.items.insert(name.clone(), entry);
        }
        self.keep(ticket.number, ticket.text.clone());
        Applied::New
    }

    /// Passes over a ticket that failed its check; the state before it stays.
    pub fn skip(&mut self, number: id::Ticket, text: Arc<str>) -> Applied {
        let place = self.place(number);
        if place == Applied::New {
            self.keep(number, text);
        }
        place
    }

    fn keep(&mut self, number: id::Ticket, text: Arc<str>) {
        self.newest = number;
        self.log_bytes += text.len();
        self.log.push_back((number, text));
        while self.log.len() > LOG_TICKETS || self.log_bytes > LOG_BYTES {
            let Some((_, oldest)) = self.log.pop_front() else {
                return;
            };
            self.log_bytes -= oldest.len();
        }
    }

    /// The tickets after a number as they came, if all of them are still kept.
    pub fn tickets_after(&self, number: id::Ticket) -> Option<Vec<Arc<str>>> {
        let whole = self
            .log
            .front()
            .is_some_and(|(first, _)| *first <= number + 1);
        let after = self.log.iter().filter(|(own, _)| *own > number);
        whole.then(|| after.map(|(_, text)| text.clone()).collect())
    }

    /// Every item as it stands.
    pub fn snapshot(&self) -> Vec<Version> {
        let version = |(name, entry): (&String, &Entry)| Version {
            name: name.clone(),
            ticket: entry.ticket,
            text: entry.text.clone(),
        };
        self.items.iter().map(version).collect()
    }

    /// Joins a whole snapshot: of each item the higher ticket stands. Tells whether anything is new.
    pub fn merge_snapshot(&mut self, newest: id::Ticket, versions: &[Version]) -> bool {
        if newest <= self.newest {
            return false;
        }
        for version in versions {
            let known = self
                .items
                .get(&version.name)
                .map_or(0, |entry| entry.ticket);
            let Ok(item) = Item::parse(&version.name, &version.text) else {
                continue;
            };
            if version.ticket > known {
                let entry = Entry {
                    ticket: version.ticket,
                    item: Arc::new(item),
                    text: version.text.clone(),
                };
                self.items.insert(version.name.clone(), entry);
            }
        }
        self.newest = newest;
        self.log.clear();
        self.log_bytes = 0;
        true
    }

    fn place(&self, number: id::Ticket) -> Applied {
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

    /// Number of the ticket that gave an endpoint its state; 0 where there was none.
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

    /// Gives the end of the service, in seconds since the Unix epoch.
    pub fn shutdown_at(&self) -> Option<u64> {
        match self.get("service", "shutdown")? {
            Item::Shutdown(shutdown) => Some(shutdown.at_unix),
            _ => None,
        }
    }

    /// Lists every endpoint in force.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, &EndpointItem)> {
        self.items
            .iter()
            .filter_map(|(name, entry)| match &*entry.item {
                Item::Endpoint(endpoint) => Some((name.strip_prefix("endpoint/")?, endpoint)),
                _ => None,
            })
    }

    /// Lists every item with the number of the ticket that gave it.
    pub fn versions(&self) -> impl Iterator<Item = (&str, id::Ticket)> {
        self.items
            .iter()
            .map(|(name, entry)| (name.as_str(), entry.ticket))
    }
}
