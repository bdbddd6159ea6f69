//! The platform's configuration service: tickets, which can be watched, and the list of VMs.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::select;
use hornbeamtiller_http::body::{Never, Outgoing};
use hornbeamtiller_http::server::{Handler, Limits, Server};
use http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::json;

/// Longest wait of one long poll, in milliseconds.
const WAIT_MS_MAX: u64 = 60_000;

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// VM number.
    pub id: u32,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Whether it is about to be removed.
    #[serde(default)]
    pub leaving: bool,
}

/// Faults injected into the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Responds to every call with 503 Service Unavailable.
    pub down: bool,
    /// Hides tickets with a higher number.
    pub stale_at: Option<u64>,
    /// Delay of every response, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Default)]
struct Inner {
    tickets: RefCell<Vec<Value>>,
    vms: RefCell<Vec<Vm>>,
    faults: Cell<Faults>,
    calls: Cell<u64>,
    watchers: RefCell<Vec<oneshot::Sender<()>>>,
}

/// Data of the service; clones share it.
#[derive(Clone, Default)]
pub struct Store(Rc<Inner>);

impl Store {
    /// Publishes a ticket and returns the number assigned to it.
    pub fn publish(&self, items: Value) -> u64 {
        let mut tickets = self.0.tickets.borrow_mut();
        let number = tickets.len() as u64 + 1;
        tickets.push(serde_json::json!({ "number": number, "items": items }));
        drop(tickets);
        self.notify_watchers();
        number
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        *self.0.vms.borrow_mut() = vms;
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.0.faults.set(faults);
        self.notify_watchers();
    }

    /// Returns the number of calls so far; a long poll counts as one.
    pub fn calls(&self) -> u64 {
        self.0.calls.get()
    }

    fn notify_watchers(&self) {
        self.0
            .watchers
            .borrow_mut()
            .drain(..)
            .for_each(|watcher| _ = watcher.send(()));
    }

    /// Returns the number of the newest visible ticket.
    fn newest_visible(&self) -> u64 {
        let newest = self.0.tickets.borrow().len() as u64;
        self.0
            .faults
            .get()
            .stale_at
            .map_or(newest, |at| newest.min(at))
    }

    async fn wait_for_ticket_after(&self, after: u64, wait: Duration) {
        if self.newest_visible() > after || wait.is_zero() {
            return;
        }
        let (sender, changed) = oneshot::channel();
        self.0.watchers.borrow_mut().push(sender);
        let sleep = std::pin::pin!(monoio::time::sleep(wait));
        select(changed, sleep).await;
    }

    fn tickets_after(&self, after: u64) -> Value {
        let newest = self.newest_visible();
        let tickets = self.0.tickets.borrow();
        let start = (after.min(newest)) as usize;
        serde_json::json!({ "newest": newest, "tickets": tickets[start..newest as usize] })
    }
}

/// A running configuration service.
pub struct Platform {
    server: Server,
    store: Store,
}

impl Platform {
    /// Starts the service at `address`.
    ///
    /// # Errors
    ///
    /// Returns the OS error if the address can't be bound.
    pub fn bind(address: SocketAddr, store: Store) -> io::Result<Self> {
        let server = Server::bind(address, Limits::default(), Api(store.clone()))?;
        Ok(Self { server, store })
    }

    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the data of the service.
    pub fn store(&self) -> &Store {
        &self.store
    }
}

#[derive(Clone)]
struct Api(Store);

impl Handler for Api {
    type Source = Never;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> Response<Outgoing<Never>> {
        let Api(store) = self;
        store.0.calls.set(store.0.calls.get() + 1);
        let faults = store.0.faults.get();
        if faults.slow_ms > 0 {
            monoio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return json::error(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let query = request.uri().query();
        match request.uri().path() {
            "/v1/tickets" => {
                let after = json::query_number(query, "after").unwrap_or(0);
                let wait = json::query_number(query, "wait_ms")
                    .unwrap_or(0)
                    .min(WAIT_MS_MAX);
                store
                    .wait_for_ticket_after(after, Duration::from_millis(wait))
                    .await;
                if store.0.faults.get().down {
                    return json::error(StatusCode::SERVICE_UNAVAILABLE, "down");
                }
                json::response(StatusCode::OK, &store.tickets_after(after))
            }
            "/v1/vms" => json::response(
                StatusCode::OK,
                &serde_json::json!({ "vms": *store.0.vms.borrow() }),
            ),
            _ => json::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
