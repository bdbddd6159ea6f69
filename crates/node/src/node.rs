//! A running process: its listeners, its clock, and its end.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use hornbeamtiller_core::event::Event;
use hornbeamtiller_core::settings as core_settings;
use hornbeamtiller_core::state::State;
use hornbeamtiller_core::token::Instance;
use hornbeamtiller_http::accept::Acceptor;
use hornbeamtiller_http::client::{self, Client};
use hornbeamtiller_http::server::{Limits, Server};
use hornbeamtiller_http::socket::Listener;

use crate::caller::Caller;
use crate::metrics::Metrics;
use crate::operator::Operator;
use crate::peer;
use crate::settings::Settings;
use crate::shell::Shell;

/// Interval of the reducer's clock.
const TICK: Duration = Duration::from_millis(20);
/// Interval of comments on silent streams.
const STREAM_PROBE: Duration = Duration::from_secs(5);
/// Connections of operators at a time.
const OPERATOR_CONNECTIONS: usize = 64;

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
    shell: Shell,
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
            Listener::bind(settings.flags.peer_listen).change_context(Error::Listen("peers"))?;
        settings.flags.peer_listen = peers.address();
        let callers = Listener::bind(settings.flags.caller_listen)
            .change_context(Error::Listen("callers"))?;
        settings.flags.caller_listen = callers.address();
        let metrics = Metrics::open().change_context(Error::Metrics)?;
        let state = open_state(&settings);
        let shell = Shell::open(
            settings.clone(),
            state,
            Client::new(client::Settings::default()),
            metrics,
        );
        let callers = Server::spawn(
            callers,
            settings.caller_limits(),
            Caller::new(shell.clone()),
        );
        let limits = Limits {
            connections: OPERATOR_CONNECTIONS,
            ..Limits::default()
        };
        let operators = Server::bind(
            settings.flags.operator_listen,
            limits,
            Operator::new(shell.clone()),
        )
        .change_context(Error::Listen("operators"))?;
        let peers = peer::spawn(peers, shell.clone());
        shell.start();
        monoio::spawn(tick(shell.clone()));
        monoio::spawn(probe_streams(shell.clone()));
        Ok(Self {
            shell,
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
        self.callers.connection_count()
    }

    /// Begins a graceful leave.
    pub fn leave(&self) {
        self.shell.apply(Event::Leave);
    }

    /// Tells whether the leave is over.
    pub fn has_left(&self) -> bool {
        self.shell.exited()
    }

    /// Waits until a leave is over.
    pub async fn left(&self) {
        while !self.has_left() {
            monoio::time::sleep(TICK).await;
        }
    }

    /// Closes everything without a word, as the end of the process would.
    pub fn abort(self) {
        self.shell.abort();
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
    State::new(core, instance, settings.ring.clone(), seed)
}

async fn tick(shell: Shell) {
    while !shell.exited() {
        monoio::time::sleep(TICK).await;
        shell.apply(Event::Tick);
    }
}

async fn probe_streams(shell: Shell) {
    while !shell.exited() {
        monoio::time::sleep(STREAM_PROBE).await;
        shell.probe_streams();
    }
}
