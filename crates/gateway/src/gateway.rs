//! A running gateway process: its listeners, its timer and its shutdown.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use hornbeamtiller_http::accept::Acceptor;
use hornbeamtiller_http::client::{self, Client};
use hornbeamtiller_http::memory::Budget;
use hornbeamtiller_http::pulse;
use hornbeamtiller_http::server::{Closing, Limits, Server};
use hornbeamtiller_http::socket::Listener;
use hornbeamtiller_relay::event::Event;
use hornbeamtiller_relay::member::{Descriptor, Status};
use hornbeamtiller_relay::state::State;

use crate::driver::Driver;
use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::settings::Settings;
use crate::{caller, peer};

/// Interval of the reducer's tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Timeout for connecting to a runner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an idle connection to a runner is kept open.
const RUNNER_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of idle connections per runner.
const RUNNER_IDLE_CONNECTIONS_MAX: usize = 8;
/// Size of a request head, in bytes, until a manifest sets it.
const HEAD_BYTES_DEFAULT: usize = 16 << 10;
/// What a head may have beyond the manifest's limit, in bytes: the request line, and the fields that a VM adds to a request
/// that another VM is to run.
const HEAD_SURPLUS_BYTES: usize = 4 << 10;
/// Largest head that any manifest can allow, in bytes: what a connection may hold without a request.
pub const HEAD_BYTES_MAX: usize = 128 << 10;
/// Maximum number of headers in a request head: one of 16 KiB may have some 2,000 short ones.
const HEADERS_MAX: usize = 2_048;
/// Memory of a connection, in bytes: buffers of 8 KiB in both directions, its task, and what the system holds of bytes
/// that have not been read.
pub const CONNECTION_BYTES: usize = 48 << 10;
/// The part of the memory that caller connections may take.
const CONNECTIONS_PART: usize = 4;
/// Memory that the process needs for itself, in bytes: program, state, log, connections to runners, peers and the store,
/// and what the allocator has not given back yet.
const PROCESS_BYTES: usize = 30 << 20;
/// Least memory for what is held for others, in bytes: a body of 4 MiB fits.
const BUDGET_BYTES_MIN: usize = 8 << 20;

/// The most bytes that a head may have on the wire where the manifest's limit is `limit`.
pub(crate) fn head_bytes(limit: usize) -> usize {
    limit.min(HEAD_BYTES_MAX) + HEAD_SURPLUS_BYTES
}

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

/// A running gateway process.
pub struct Gateway<P> {
    driver: Driver<P>,
    callers: Server,
    peers: Acceptor,
}

impl<P: Protocol> Gateway<P> {
    /// Starts a process on this thread's runtime.
    ///
    /// # Errors
    ///
    /// [`Error`] if it can't listen at an address or register the metrics.
    pub fn open(settings: Settings, protocol: P) -> Result<Self, Report<Error>> {
        let metrics = Metrics::new().change_context(Error::Metrics)?;
        let callers =
            Listener::bind(settings.caller_listen).change_context(Error::Listen("callers"))?;
        callers
            .bound_buffers()
            .change_context(Error::Listen("callers"))?;
        let peers = Listener::bind(settings.peer_listen).change_context(Error::Listen("peers"))?;
        let local = Descriptor {
            vm: settings.relay.vm.clone(),
            incarnation: settings.incarnation,
            version: 1,
            zone: settings.relay.zone.clone(),
            caller_address: callers.address(),
            peer_address: peers.address(),
            status: Status::Joining,
            weight: settings.weight,
        };
        let mut state = State::new(settings.relay, local, settings.seeds, settings.seed);
        state.policy = settings.policy;
        let client = Client::new(client::Settings {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: RUNNER_IDLE_TIMEOUT,
            idle_per_address_max: RUNNER_IDLE_CONNECTIONS_MAX,
            user_timeout: None,
        });
        let connections = settings.memory_bytes / CONNECTIONS_PART / CONNECTION_BYTES;
        let connections = connections.min(settings.connections_max);
        let fixed_bytes = PROCESS_BYTES + connections * CONNECTION_BYTES;
        let budget_bytes = settings.memory_bytes.saturating_sub(fixed_bytes);
        let budget = Budget::new(budget_bytes.max(BUDGET_BYTES_MIN));
        let driver = Driver::new(
            protocol,
            state,
            client,
            metrics,
            budget.clone(),
            settings.fingerprint_key,
        );
        let limits = Limits {
            connections,
            connection_bytes: CONNECTION_BYTES,
            head_bytes: head_bytes(HEAD_BYTES_DEFAULT),
            headers: HEADERS_MAX,
            budget,
            ..Limits::default()
        };
        let callers = Server::spawn(callers, limits, caller::Api::new(driver.clone()));
        let peers = peer::service::spawn(peers, driver.clone());
        monoio::spawn(run_timer(driver.clone()));
        Ok(Self {
            driver,
            callers,
            peers,
        })
    }

    /// The driver, to feed configuration in and to read the state.
    pub fn driver(&self) -> &Driver<P> {
        &self.driver
    }

    /// Applies reloaded settings of the reducer and new seeds to the running process. All other
    /// settings, such as the listen addresses, stay as they were at the start.
    pub fn reload(&self, settings: Settings) {
        self.driver.apply(Event::SettingsReloaded {
            settings: settings.relay,
            seeds: settings.seeds,
        });
    }

    /// The address of the caller listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address of the peer listener.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Starts to leave the fleet gracefully, as was asked so long ago at most.
    pub fn leave(&self, noticed_after: Duration) {
        self.callers.leave();
        self.driver.apply(Event::Leave { noticed_after });
    }

    /// Returns whether the process has left the fleet and may exit, since all calls have ended or the
    /// grace period is about to.
    pub fn has_left(&self) -> bool {
        self.driver.has_exited()
    }

    /// How long after it was told to leave the process may run.
    pub fn grace_period(&self) -> Duration {
        self.driver.with_state(|state| state.settings.grace_period)
    }

    /// Closes the listeners. Responses in progress are completed while the runtime runs; the handle tells when callers
    /// have received them.
    pub fn close(self) -> Closing {
        self.peers.close();
        self.callers.close()
    }
}

async fn run_timer<P: Protocol>(driver: Driver<P>) {
    let tick = move || {
        driver.apply(Event::Tick);
        !driver.has_exited()
    };
    pulse::run(TICK_INTERVAL, tick).await;
}
