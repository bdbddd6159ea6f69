//! A running process: its listeners, its clock, and its end.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use hornbeamtiller_http::accept::Acceptor;
use hornbeamtiller_http::client::{self, Client};
use hornbeamtiller_http::server::{Limits, Server};
use hornbeamtiller_http::socket::Listener;
use hornbeamtiller_relay::event::Event;
use hornbeamtiller_relay::member::{Descriptor, Status};
use hornbeamtiller_relay::state::State;

use crate::caller::Caller;
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::peer;
use crate::settings::Settings;
use crate::shell::Shell;

/// Interval of the reducer's clock.
const TICK: Duration = Duration::from_millis(15);
/// Time for a connection to a runner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long bytes sent to a runner may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(500);
/// How long an idle connection to a runner is kept.
const RUNNER_IDLE: Duration = Duration::from_secs(8);
/// Idle connections kept per runner.
const RUNNER_IDLE_MAX: usize = 8;
/// Time for a head to come, which also bounds idle time between requests.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Most bytes of a head.
const HEAD_BYTES_MAX: usize = 32 << 10;
/// Most headers of a head.
const HEADERS_MAX: usize = 100;

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

/// A running process.
pub struct Gateway<D> {
    shell: Shell<D>,
    callers: Server,
    peers: Acceptor,
}

impl<D: Dialect> Gateway<D> {
    /// Starts a process on this thread's runtime.
    ///
    /// # Errors
    ///
    /// [`Error`] where an address can't be listened at.
    pub fn open(settings: Settings, dialect: D) -> Result<Self, Report<Error>> {
        let metrics = Metrics::open().change_context(Error::Metrics)?;
        let callers =
            Listener::bind(settings.caller_listen).change_context(Error::Listen("callers"))?;
        let peers = Listener::bind(settings.peer_listen).change_context(Error::Listen("peers"))?;
        let me = Descriptor {
            vm: settings.relay.vm.clone(),
            incarnation: settings.incarnation,
            version: 1,
            zone: settings.relay.zone.clone(),
            caller_address: callers.address(),
            peer_address: peers.address(),
            status: Status::Joining,
        };
        let state = State::new(settings.relay, me, settings.seeds, settings.seed);
        let client = Client::new(client::Settings {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: RUNNER_IDLE,
            max_idle_per_address: RUNNER_IDLE_MAX,
            user_timeout: UNACKNOWLEDGED,
        });
        let shell = Shell::open(dialect, state, client, metrics);
        let limits = Limits {
            connections: settings.connections,
            head_bytes: HEAD_BYTES_MAX,
            headers: HEADERS_MAX,
            head_timeout: HEAD_TIMEOUT,
            ..Limits::default()
        };
        let callers = Server::spawn(callers, limits, Caller::new(shell.clone()));
        let peers = peer::spawn(peers, shell.clone());
        monoio::spawn(tick(shell.clone()));
        Ok(Self {
            shell,
            callers,
            peers,
        })
    }

    /// The shell, to feed configuration in and to look at the state.
    pub fn shell(&self) -> &Shell<D> {
        &self.shell
    }

    /// Takes settings that were read again.
    pub fn reload(&self, settings: Settings) {
        self.shell.apply(Event::SettingsReloaded {
            settings: settings.relay,
            seeds: settings.seeds,
        });
    }

    /// Where callers reach the process.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Begins a graceful leave.
    pub fn leave(&self) {
        self.shell.apply(Event::Leave);
    }

    /// Tells whether the leave is over.
    pub fn has_left(&self) -> bool {
        self.shell.exited()
    }

    /// Stops listening. Replies under way are sent to their end while the runtime runs.
    pub fn close(self) {
        self.callers.close();
        self.peers.close();
    }
}

async fn tick<D: Dialect>(shell: Shell<D>) {
    while !shell.exited() {
        monoio::time::sleep(TICK).await;
        shell.apply(Event::Tick);
    }
}
