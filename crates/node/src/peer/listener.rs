//! The peer listener: gives an inbox to peers that prove the shared key.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::Rc as CapRc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use futures::future::select;
use hornbeamtiller_core::event::Event;
use hornbeamtiller_core::token::Instance;
use hornbeamtiller_http::accept::Acceptor;
use hornbeamtiller_http::socket::Listener;
use hornbeamtiller_wire::convert;
use hornbeamtiller_wire::handshake::{self, Nonce, Role};
use hornbeamtiller_wire::peer_capnp::{gate, inbox};
use monoio::io::IntoPollIo as _;
use monoio::net::TcpStream;

use crate::driver::Driver;
use hornbeamtiller_wire::io::Connection;

/// Maximum size of a message from a peer, in words of 8 bytes.
const MESSAGE_WORDS_MAX: usize = 128 << 10;
/// Time in which a peer must prove the shared key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which a connection is closed. As it is checked once per this time, a connection
/// may be idle for up to twice as long. Links reconnect when they have messages to send.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Maximum number of concurrent connections from peers.
const CONNECTIONS_MAX: usize = 4_096;

/// Serves calls of peers.
pub fn spawn(listener: Listener, driver: Driver) -> Acceptor {
    Acceptor::spawn(listener, CONNECTIONS_MAX, move |stream| {
        serve(stream, driver.clone())
    })
}

async fn serve(stream: TcpStream, driver: Driver) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS_MAX));
    let connection = Connection::new(stream, driver.links().sent().clone());
    let network = VatNetwork::new(connection.clone(), connection, Side::Server, options);
    let activity = Rc::new(Activity::default());
    let gate = Gate {
        driver: driver.clone(),
        nonces: RefCell::default(),
        activity: activity.clone(),
    };
    let client: gate::Client = capnp_rpc::new_client(gate);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let idle = std::pin::pin!(activity.wait_until_idle());
    select(system, idle).await;
}

/// Detects connections that are not authenticated in time or stay idle.
#[derive(Default)]
struct Activity {
    authenticated: RefCell<bool>,
    calls: RefCell<u64>,
}

impl Activity {
    async fn wait_until_idle(&self) {
        monoio::time::sleep(HANDSHAKE_TIMEOUT).await;
        if !*self.authenticated.borrow() {
            return;
        }
        loop {
            let before = *self.calls.borrow();
            monoio::time::sleep(IDLE_TIMEOUT).await;
            if *self.calls.borrow() == before {
                return;
            }
        }
    }
}

/// The interface offered before the handshake.
struct Gate {
    driver: Driver,
    /// The peer's nonce and the local one, once exchanged.
    nonces: RefCell<Option<(Nonce, Nonce)>>,
    activity: Rc<Activity>,
}

impl gate::Server for Gate {
    async fn hello(
        self: CapRc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> Result<(), capnp::Error> {
        let peer_nonce = Nonce::try_from(params.get()?.get_nonce()?)
            .map_err(|_| rpc_error("nonce of a wrong length"))?;
        let local_nonce: Nonce = rand::random();
        let instance = self.driver.with_state(|state| state.instance);
        let keyring = &self.driver.settings().keyring;
        *self.nonces.borrow_mut() = Some((peer_nonce, local_nonce));
        let mut out = results.get();
        out.set_nonce(&local_nonce);
        out.set_vm(instance.vm);
        out.set_incarnation(instance.incarnation);
        out.set_mac(&handshake::sign(
            keyring,
            Role::Responder,
            &local_nonce,
            &peer_nonce,
            instance,
        ));
        Ok(())
    }

    async fn enter(
        self: CapRc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let instance = Instance {
            vm: params.get_vm(),
            incarnation: params.get_incarnation(),
        };
        let nonces = self.nonces.borrow_mut().take();
        let (peer_nonce, local_nonce) =
            nonces.ok_or_else(|| rpc_error("no nonce was exchanged"))?;
        let keyring = &self.driver.settings().keyring;
        if !handshake::verify(
            keyring,
            Role::Initiator,
            &peer_nonce,
            &local_nonce,
            instance,
            params.get_mac()?,
        ) {
            return Err(rpc_error("the shared key was not proved"));
        }
        *self.activity.authenticated.borrow_mut() = true;
        let inbox = Inbox {
            driver: self.driver.clone(),
            from: instance,
            activity: self.activity.clone(),
        };
        results.get().set_inbox(capnp_rpc::new_client(inbox));
        Ok(())
    }
}

/// The interface offered after the handshake.
struct Inbox {
    driver: Driver,
    from: Instance,
    activity: Rc<Activity>,
}

impl inbox::Server for Inbox {
    async fn deliver(
        self: CapRc<Self>,
        params: inbox::DeliverParams,
        mut results: inbox::DeliverResults,
    ) -> Result<(), capnp::Error> {
        *self.activity.calls.borrow_mut() += 1;
        let decoded = convert::read_batch(params.get()?.get_batch()?);
        let (stamp, messages) = decoded.map_err(|error| rpc_error(&error.to_string()))?;
        self.driver.merge_stamp(stamp);
        for message in messages {
            self.driver.apply(Event::Received {
                from: self.from,
                message,
            });
        }
        let batch = self.driver.links().take_reply_batch(self.from.vm);
        convert::write_batch(results.get().init_batch(), self.driver.stamp(), &batch);
        Ok(())
    }
}

fn rpc_error(message: &str) -> capnp::Error {
    capnp::Error::failed(message.to_owned())
}
