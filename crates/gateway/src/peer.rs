//! Connections to peers: one call for each view that is told, on a connection that is kept.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::capability::Rc as CapRc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use futures::channel::oneshot;
use futures::future::select;
use hornbeamtiller_http::accept::Acceptor;
use hornbeamtiller_http::socket::{self, Listener};
use hornbeamtiller_relay::event::Event;
use hornbeamtiller_relay::member;
use hornbeamtiller_wire::fleet_capnp::fleet;
use hornbeamtiller_wire::io::{Half, Sent};
use hornbeamtiller_wire::view;
use monoio::io::IntoPollIo as _;
use monoio::net::TcpStream;

use crate::dialect::Dialect;
use crate::shell::Shell;

/// Time for a connection and one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(800);
/// Silence after which a peer's connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest message, in words of 8 bytes.
const MESSAGE_WORDS_MAX: usize = 1 << 20;
/// Connections of peers at a time.
const CONNECTIONS_MAX: usize = 1_024;

/// Why a view was not told.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    #[error("call: {0}")]
    Call(#[from] capnp::Error),
    #[error("no answer in time")]
    TimedOut,
}

/// A connection that this process has made.
#[derive(Clone)]
struct Session {
    fleet: fleet::Client,
    /// Dropping the last of these closes the connection.
    _open: Rc<oneshot::Sender<()>>,
}

/// The connections that this process has made.
#[derive(Default)]
pub struct Links {
    sessions: RefCell<HashMap<SocketAddr, Session>>,
    sent: Sent,
}

impl Links {
    /// Closes all connections.
    pub fn close(&self) {
        let sessions = std::mem::take(&mut *self.sessions.borrow_mut());
        drop(sessions);
    }

    /// Tells a peer a view; a peer that does not take it in time is reported to the reducer.
    pub fn tell<D: Dialect>(&self, shell: &Shell<D>, address: SocketAddr, view: member::View) {
        let shell = shell.clone();
        let view = encode(view);
        monoio::spawn(async move {
            let told = monoio::time::timeout(CALL_TIMEOUT, tell(&shell, address, &view)).await;
            let Err(error) = told.unwrap_or(Err(Error::TimedOut)) else {
                return;
            };
            let session = shell.links().sessions.borrow_mut().remove(&address);
            drop(session);
            log::info!(peer:% = address, error:% = error; "peer_silent");
            shell.apply(Event::PeerUnresponsive { address });
        });
    }

    fn session(&self, address: SocketAddr) -> Option<Session> {
        self.sessions.borrow().get(&address).cloned()
    }
}

async fn tell<D: Dialect>(
    shell: &Shell<D>,
    address: SocketAddr,
    view: &view::View,
) -> Result<(), Error> {
    let session = match shell.links().session(address) {
        Some(session) => session,
        None => {
            let session = connect(address, shell.links().sent.clone()).await?;
            let mut sessions = shell.links().sessions.borrow_mut();
            sessions.insert(address, session.clone());
            session
        }
    };
    let mut request = session.fleet.tell_request();
    view::write(view, request.get().init_view());
    request.send().promise.await?;
    Ok(())
}

async fn connect(address: SocketAddr, sent: Sent) -> Result<Session, Error> {
    let stream = TcpStream::connect_addr(address).await?;
    socket::configure(&stream, UNACKNOWLEDGED)?;
    let half = Half::new(stream.into_poll_io()?, sent);
    let network = VatNetwork::new(half.clone(), half, Side::Client, Default::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let fleet: fleet::Client = system.bootstrap(Side::Server);
    let (open, closed) = oneshot::channel::<()>();
    monoio::spawn(async move {
        select(system, closed).await;
    });
    Ok(Session {
        fleet,
        _open: Rc::new(open),
    })
}

fn encode(view: member::View) -> view::View {
    let source = view.manifest.as_ref().map(|known| known.source.clone());
    view.with_manifest(source)
}

/// Takes calls of peers.
pub fn spawn<D: Dialect>(bound: Listener, shell: Shell<D>) -> Acceptor {
    Acceptor::spawn(bound, CONNECTIONS_MAX, move |stream| {
        serve(stream, shell.clone())
    })
}

async fn serve<D: Dialect>(stream: TcpStream, shell: Shell<D>) {
    if socket::configure(&stream, UNACKNOWLEDGED).is_err() {
        return;
    }
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS_MAX));
    let half = Half::new(stream, shell.links().sent.clone());
    let network = VatNetwork::new(half.clone(), half, Side::Server, options);
    let calls = Rc::new(std::cell::Cell::new(0_u64));
    let inbox = Inbox {
        shell,
        calls: calls.clone(),
    };
    let client: fleet::Client = capnp_rpc::new_client(inbox);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let idle = std::pin::pin!(async move {
        loop {
            let before = calls.get();
            monoio::time::sleep(IDLE_TIMEOUT).await;
            if calls.get() == before {
                return;
            }
        }
    });
    select(system, idle).await;
}

/// What peers call.
struct Inbox<D> {
    shell: Shell<D>,
    calls: Rc<std::cell::Cell<u64>>,
}

impl<D: Dialect> fleet::Server for Inbox<D> {
    async fn tell(
        self: CapRc<Self>,
        params: fleet::TellParams,
        _results: fleet::TellResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let view = view::read(params.get()?.get_view()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let view = self.decode(view);
        self.shell.apply(Event::ViewReceived { view });
        Ok(())
    }
}

impl<D: Dialect> Inbox<D> {
    fn decode(&self, view: view::View) -> member::View {
        let known = self.shell.read(|state| {
            let manifest = state.manifest.as_ref();
            manifest.map_or(0, |manifest| manifest.version)
        });
        let news = view
            .manifest
            .as_ref()
            .filter(|_| view.manifest_version > known);
        let manifest = news.and_then(|bytes| self.shell.dialect().manifest(bytes));
        if manifest.is_none() && news.is_some() {
            log::warn!(peer = &*view.sender.vm, version = view.manifest_version; "manifest_unreadable");
        }
        view.with_manifest(manifest.map(Arc::new))
    }
}
