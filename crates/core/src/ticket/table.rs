//! The state that tickets add up to.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::id;

use super::schema::{ClassItem, EndpointItem, Item, Limit, Ticket};

#[derive(Debug, Clone)]
struct Entry {
    ticket: id::Ticket,
    item: Arc<Item>,
}

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
        for (name, item) in &ticket.items {
            let entry = Entry {
                ticket: ticket.number,
                item: Arc::new(item.clone()),
            };
            self.items.insert(name.clone(), entry);
        }
        self.newest = ticket.number;
        Applied::New
    }

    /// Passes over a ticket that failed its check; the state before it stays.
    pub fn skip(&mut self, number: id::Ticket) -> Applied {
        let place = self.place(number);
        if place == Applied::New {
            self.newest = number;
        }
        place
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
