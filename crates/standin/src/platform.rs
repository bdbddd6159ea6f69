//! The platform's configuration service: tickets and the list of VMs, to be read and watched.

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

/// Longest wait of one watch, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// A VM on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its number.
    pub id: u32,
    /// Its availability zone.
    pub zone: String,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Whether it is about to be taken away.
    #[serde(default)]
    pub leaving: bool,
}

/// How the service fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers nothing but errors.
    pub down: bool,
    /// Shows no ticket above this one.
    pub stale_at: Option<u64>,
    /// Delay of every answer, in milliseconds.
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

/// What the service holds; clones share it.
#[derive(Clone, Default)]
pub struct Store(Rc<Inner>);

impl Store {
    /// Publishes the next ticket; its number is given here.
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

    /// Puts a faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.0.faults.set(faults);
        self.notify_watchers();
    }

    /// Calls so far; a waiting watch counts as one.
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

    /// Number of the newest ticket shown.
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
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// The system's error where the address can't be listened at.
    pub fn bind(address: SocketAddr, store: Store) -> io::Result<Self> {
        let server = Server::bind(address, Limits::default(), Api(store.clone()))?;
        Ok(Self { server, store })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it holds.
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
                    .min(MAX_WAIT_MS);
                store
                    .wait_for_ticket_after(after, Duration::from_millis(wait))
                    .await;
                if store.0.faults.get().down {
                    return json::error(StatusCode::SERVICE_UNAVAILABLE, "down");
                }
                json::reply(StatusCode::OK, &store.tickets_after(after))
            }
            "/v1/vms" => json::reply(
                StatusCode::OK,
                &serde_json::json!({ "vms": *store.0.vms.borrow() }),
            ),
            _ => json::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
