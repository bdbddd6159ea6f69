//! A state engine: prefill with a prefix cache, KV hand-over, and decode in a continuous batch.

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

/// Tokens in one piece of memory.
pub const PIECE_TOKENS: u64 = 4_096;

/// How an engine performs.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the runner.
    pub name: String,
    /// Its endpoint.
    pub endpoint: String,
    /// Streams in one batch.
    pub slots: usize,
    /// Pieces of memory.
    pub pieces: u64,
    /// Time of a prefill beyond its tokens.
    pub prefill_base: Duration,
    /// Time of each prompt token that is not in the cache.
    pub prefill_per_token: Duration,
    /// Time between tokens of a lone stream.
    pub interval_base: Duration,
    /// Time that each further stream adds.
    pub interval_per_stream: Duration,
    /// How long a prefill's result waits for its import.
    pub result_ttl: Duration,
    /// Time to move the cache of one token over this engine's link.
    pub link_per_token: Duration,
    /// Prefix blocks in the cache.
    pub cache_blocks: usize,
    /// Age of published load reports and cache events.
    pub report_delay: Duration,
    /// Whether an order with an old fencing number is refused.
    pub enforces_fencing: bool,
}

impl Settings {
    /// An engine of usual performance.
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
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// The system's error where the address can't be listened at.
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

    /// Its name.
    pub fn name(&self) -> &str {
        &self.state.settings().name
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it saw.
    pub fn observed(&self) -> observed::Runner {
        self.state.observed()
    }

    /// Puts a fault in force.
    ///
    /// # Errors
    ///
    /// The system's error where it can't listen again after a crash.
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

/// Shared by the parts of an engine.
type Shared<T> = Rc<RefCell<T>>;

/// The fault switch of an engine.
type FaultSwitch = Switch;
