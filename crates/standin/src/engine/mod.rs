//! A model engine: prefill with a prefix cache, KV cache transfer, and decode with continuous
//! batching.

mod cache;
mod decode;
mod http_api;
mod prefill;
mod state;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hornbeamtiller_http::client::{self, Client};
use hornbeamtiller_http::server::{Limits, Server};

use crate::fault::{Fault, Switch};
use crate::observed;

pub use http_api::prompt_digest;
pub use state::{Load, Order};

use http_api::Api;
use state::State;

/// Tokens of KV cache in one memory piece, the unit of allocation.
pub const PIECE_TOKENS: u64 = 4_096;

/// Performance and limits of an engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// ID of the runner.
    pub name: String,
    /// Endpoint that it serves.
    pub endpoint: String,
    /// Maximum number of streams in the batch.
    pub slots: usize,
    /// Number of memory pieces.
    pub pieces: u64,
    /// Fixed time of each prefill.
    pub prefill_base: Duration,
    /// Prefill time of each prompt token that is not in the prefix cache.
    pub prefill_per_token: Duration,
    /// Time between tokens, before what each stream adds.
    pub interval_base: Duration,
    /// Time that each stream in the batch adds to it.
    pub interval_per_stream: Duration,
    /// Time for which a prefill's result is kept to be imported.
    pub result_ttl: Duration,
    /// Time to transfer the KV cache of one token over this engine's link.
    pub link_per_token: Duration,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Minimum age of published load reports and cache events.
    pub report_delay: Duration,
    /// Whether orders with an old fencing token are refused.
    pub enforces_fencing: bool,
}

impl Settings {
    /// Returns the settings of an engine with default performance.
    pub fn new(endpoint: &str, name: &str) -> Self {
        Self {
            name: name.to_owned(),
            endpoint: endpoint.to_owned(),
            slots: 20,
            pieces: 200,
            prefill_base: Duration::from_millis(4),
            prefill_per_token: Duration::from_micros(25),
            interval_base: Duration::from_millis(8),
            interval_per_stream: Duration::from_micros(700),
            result_ttl: Duration::from_millis(800),
            link_per_token: Duration::from_micros(4),
            cache_blocks: 2_000,
            report_delay: Duration::from_millis(500),
            enforces_fencing: true,
        }
    }
}

/// A running engine.
pub struct Engine {
    address: SocketAddr,
    state: State,
    client: Client,
    server: RefCell<Option<Server>>,
}

impl Engine {
    /// Starts an engine that listens at `address`.
    ///
    /// # Errors
    ///
    /// Returns the OS error if the address can't be bound.
    pub fn bind(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let state = State::new(settings);
        let client = Client::new(client::Settings::default());
        let server = Server::bind(address, limits(), Api::new(state.clone(), client.clone()))?;
        let address = server.address();
        monoio::spawn(decode::run_batches(state.clone()));
        monoio::spawn(prefill::run_queue(state.clone()));
        Ok(Self {
            address,
            state,
            client,
            server: RefCell::new(Some(server)),
        })
    }

    /// Returns the runner's ID.
    pub fn name(&self) -> &str {
        &self.state.settings().name
    }

    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its counters.
    pub fn observed(&self) -> observed::Runner {
        self.state.observed()
    }

    /// Sets the fault; [`Fault::Crash`] clears the state and closes the listener until another
    /// fault is set.
    ///
    /// # Errors
    ///
    /// Returns the OS error if the listener can't be bound again after a crash.
    pub fn set_fault(&self, fault: Fault) -> io::Result<()> {
        self.state.fault_switch().set(fault);
        let mut server = self.server.borrow_mut();
        if fault == Fault::Crash {
            if let Some(server) = server.take() {
                server.abort();
            }
            self.state.reset();
        } else if server.is_none() {
            *server = Some(Server::bind(
                self.address,
                limits(),
                Api::new(self.state.clone(), self.client.clone()),
            )?);
        }
        Ok(())
    }
}

fn limits() -> Limits {
    Limits {
        body_bytes: 16 << 20,
        ..Limits::default()
    }
}

/// Mutable state shared by the parts of an engine.
type Shared<T> = Rc<RefCell<T>>;

/// The fault switch shared by the parts of an engine.
type FaultSwitch = Switch;
