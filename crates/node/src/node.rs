//! A running process: its listeners, its clock, and its end.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use hornbeamtiller_core::event::Event;
use hornbeamtiller_core::settings as core_settings;
use hornbeamtiller_core::state::State;
use hornbeamtiller_core::token::Seat;
use hornbeamtiller_http::accept::Acceptor;
use hornbeamtiller_http::client::{self, Client};
use hornbeamtiller_http::server::{Limits, Server};
use hornbeamtiller_http::socket::Bound;

use crate::caller;
use crate::driver::Driver;
use crate::metrics::Metrics;
use crate::operator;
use crate::peer;
use crate::settings::Settings;

/// Interval of the reducer's clock.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of comments on silent streams.
const STREAM_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Connections of operators at a time.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// Why a process did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener's address can't be used.
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
    /// [`Error`] where an address can't be listened at.
    pub fn open(mut settings: Settings) -> Result<Self, Report<Error>> {
        let peers =
            Bound::open(settings.flags.peer_listen).change_context(Error::Listen("peers"))?;
        settings.flags.peer_listen = peers.address();
        let callers =
            Bound::open(settings.flags.caller_listen).change_context(Error::Listen("callers"))?;
        settings.flags.caller_listen = callers.address();
        let metrics = Metrics::new().change_context(Error::Metrics)?;
        let state = open_state(&settings);
        let driver = Driver::new(
            settings.clone(),
            state,
            Client::open(client::Settings::default()),
            metrics,
        );
        let callers = Server::spawn(
            callers,
            settings.caller_limits(),
            caller::Api::new(driver.clone()),
        );
        let limits = Limits {
            connections: MAX_OPERATOR_CONNECTIONS,
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
        monoio::spawn(tick(driver.clone()));
        monoio::spawn(keep_streams_alive(driver.clone()));
        Ok(Self {
            driver,
            callers,
            operators,
            peers,
        })
    }

    /// Where callers reach the process.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where peers reach the process.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Where operators reach the process.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Number of open connections of callers.
    pub fn connections(&self) -> usize {
        self.callers.connections()
    }

    /// Begins a graceful leave.
    pub fn leave(&self) {
        self.driver.apply(Event::Leave);
    }

    /// Tells whether the leave is over.
    pub fn has_left(&self) -> bool {
        self.driver.has_exited()
    }

    /// Waits until a leave is over.
    pub async fn left(&self) {
        while !self.has_left() {
            monoio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Closes everything without a word, as the end of the process would.
    pub fn abort(self) {
        self.driver.abort();
        self.callers.abort();
        self.operators.abort();
        self.peers.close();
    }

    /// Stops listening. Replies under way are sent to their end while the runtime runs.
    pub fn close(self) {
        self.callers.close();
        self.operators.close();
        self.peers.close();
    }
}

fn open_state(settings: &Settings) -> State {
    let flags = &settings.flags;
    let seat = Seat {
        vm: flags.vm,
        incarnation: rand::random::<u64>().max(1),
    };
    let mut core = core_settings::Settings::new(
        flags.vm,
        flags.zone.as_str().into(),
        flags.caller_address.unwrap_or(flags.caller_listen),
        flags.peer_address.unwrap_or(flags.peer_listen),
    );
    core.keep_entries = Duration::from_millis(flags.keep_entries_ms);
    core.token_life = Duration::from_secs(flags.token_life_s);
    let seed = flags.seed.unwrap_or_else(rand::random);
    State::open(core, seat, settings.ring.clone(), seed)
}

async fn tick(driver: Driver) {
    while !driver.has_exited() {
        monoio::time::sleep(TICK_INTERVAL).await;
        driver.apply(Event::Tick);
    }
}

async fn keep_streams_alive(driver: Driver) {
    while !driver.has_exited() {
        monoio::time::sleep(STREAM_KEEP_ALIVE_INTERVAL).await;
        driver.keep_streams_alive();
    }
}
