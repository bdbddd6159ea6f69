//! Start, timers and shutdown of a process.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use hornbeamtiller_core::event::Event;
use hornbeamtiller_core::settings as core_settings;
use hornbeamtiller_core::state::State;
use hornbeamtiller_core::token::Instance;
use hornbeamtiller_http::accept::Acceptor;
use hornbeamtiller_http::client::{self, Client};
use hornbeamtiller_http::pulse;
use hornbeamtiller_http::server::{Closing, Limits, Server};
use hornbeamtiller_http::socket::Listener;

use crate::caller;
use crate::driver::Driver;
use crate::metrics::Metrics;
use crate::operator;
use crate::peer;
use crate::settings::Settings;

/// Interval between [`Event::Tick`]s.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between keep-alive comments on streams.
const STREAM_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of concurrent connections from operators.
const OPERATOR_CONNECTIONS_MAX: usize = 64;

/// An error that keeps a process from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The process can't listen at an address.
    #[error("can't listen for {0}")]
    Listen(&'static str),
    /// The metrics can't be registered.
    #[error("can't register the metrics")]
    Metrics,
}

/// A running entry VM process.
#[derive(Debug)]
pub struct Node {
    driver: Driver,
    callers: Server,
    operators: Server,
    peers: Acceptor,
}

impl Node {
    /// Starts a process on this thread's runtime.
    ///
    /// # Errors
    ///
    /// [`Error`] if it can't listen at an address or register the metrics.
    pub fn open(mut settings: Settings) -> Result<Self, Report<Error>> {
        let peers =
            Listener::bind(settings.flags.peer_listen).change_context(Error::Listen("peers"))?;
        settings.flags.peer_listen = peers.address();
        let callers = Listener::bind(settings.flags.caller_listen)
            .change_context(Error::Listen("callers"))?;
        settings.flags.caller_listen = callers.address();
        let metrics = Metrics::new().change_context(Error::Metrics)?;
        let state = initial_state(&settings);
        let driver = Driver::new(
            settings.clone(),
            state,
            Client::new(client::Settings::default()),
            metrics,
        );
        let callers = Server::spawn(
            callers,
            settings.caller_limits(),
            caller::Api::new(driver.clone()),
        );
        let limits = Limits {
            connections: OPERATOR_CONNECTIONS_MAX,
            ..Limits::default()
        };
        let operators = Server::bind(
            settings.flags.operator_listen,
            limits,
            operator::Api::new(driver.clone()),
        )
        .change_context(Error::Listen("operators"))?;
        let peers = peer::spawn(peers, driver.clone());
        driver.start();
        monoio::spawn(run_timer(driver.clone()));
        monoio::spawn(keep_streams_alive(driver.clone()));
        Ok(Self {
            driver,
            callers,
            operators,
            peers,
        })
    }

    /// Address of the caller listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address of the peer listener.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Address of the operator listener.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Number of open caller connections.
    pub fn connections(&self) -> usize {
        self.callers.connection_count()
    }

    /// Starts a graceful leave.
    pub fn leave(&self) {
        self.driver.apply(Event::Leave);
    }

    /// Returns whether a leave has completed.
    pub fn has_left(&self) -> bool {
        self.driver.has_exited()
    }

    /// Waits until a leave has completed.
    pub async fn wait_until_left(&self) {
        while !self.has_left() {
            monoio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Drops all connections immediately, as if the process had been killed.
    pub fn abort(self) {
        self.driver.abort();
        self.callers.abort();
        self.operators.abort();
        self.peers.close();
    }

    /// Closes the listeners and the incoming peer connections. Responses to callers and operators
    /// in progress are completed while the runtime runs; the handle tells when they have been
    /// received.
    pub fn close(self) -> Closing {
        self.peers.close();
        let servers = [self.callers, self.operators];
        servers.into_iter().map(Server::close).collect()
    }
}

fn initial_state(settings: &Settings) -> State {
    let flags = &settings.flags;
    let instance = Instance {
        vm: flags.vm,
        incarnation: rand::random::<u64>().max(1),
    };
    let mut core = core_settings::Settings::new(
        flags.vm,
        flags.zone.as_str().into(),
        flags.caller_address.unwrap_or(flags.caller_listen),
        flags.peer_address.unwrap_or(flags.peer_listen),
    );
    core.entries_max_age = Duration::from_millis(flags.keep_entries_ms);
    core.token_lifetime = Duration::from_secs(flags.token_life_s);
    let seed = flags.seed.unwrap_or_else(rand::random);
    State::new(core, instance, settings.keyring.clone(), seed)
}

async fn run_timer(driver: Driver) {
    let tick = move || {
        driver.apply(Event::Tick);
        !driver.has_exited()
    };
    pulse::run(TICK_INTERVAL, tick).await;
}

async fn keep_streams_alive(driver: Driver) {
    while !driver.has_exited() {
        monoio::time::sleep(STREAM_KEEP_ALIVE_INTERVAL).await;
        driver.keep_streams_alive();
    }
}
