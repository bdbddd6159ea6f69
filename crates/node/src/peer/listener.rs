//! The peer listener: gives an inbox to whoever proves the shared key.

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
use hornbeamtiller_wire::handshake::{self, Nonce, Part};
use hornbeamtiller_wire::peer_capnp::{gate, inbox};
use monoio::io::IntoPollIo as _;
use monoio::net::TcpStream;

use crate::shell::Shell;
use hornbeamtiller_wire::io::Half;

/// Largest message, in words of 8 bytes.
const MESSAGE_WORDS_MAX: usize = 128 << 10;
/// Time within which a connection must prove the shared key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence after which a connection is closed. Links that have something to say reconnect.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Connections at a time.
const CONNECTIONS_MAX: usize = 4_096;

/// Takes calls of peers.
pub fn spawn(bound: Listener, shell: Shell) -> Acceptor {
    Acceptor::spawn(bound, CONNECTIONS_MAX, move |stream| {
        serve(stream, shell.clone())
    })
}

async fn serve(stream: TcpStream, shell: Shell) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS_MAX));
    let half = Half::new(stream, shell.links().sent().clone());
    let network = VatNetwork::new(half.clone(), half, Side::Server, options);
    let activity = Rc::new(Activity::default());
    let gate = Gate {
        shell: shell.clone(),
        nonces: RefCell::default(),
        activity: activity.clone(),
    };
    let client: gate::Client = capnp_rpc::new_client(gate);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let watch = std::pin::pin!(activity.watch());
    select(system, watch).await;
}

/// Says when a connection has been of no use for too long.
#[derive(Default)]
struct Activity {
    entered: RefCell<bool>,
    calls: RefCell<u64>,
}

impl Activity {
    async fn watch(&self) {
        monoio::time::sleep(HANDSHAKE_TIMEOUT).await;
        if !*self.entered.borrow() {
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

/// What a connection sees before its handshake.
struct Gate {
    shell: Shell,
    /// The caller's nonce and this side's, once exchanged.
    nonces: RefCell<Option<(Nonce, Nonce)>>,
    activity: Rc<Activity>,
}

impl gate::Server for Gate {
    async fn hello(
        self: CapRc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> Result<(), capnp::Error> {
        let theirs = Nonce::try_from(params.get()?.get_nonce()?)
            .map_err(|_| refused("nonce of a wrong length"))?;
        let own: Nonce = rand::random();
        let instance = self.shell.read(|state| state.instance);
        let ring = &self.shell.settings().ring;
        *self.nonces.borrow_mut() = Some((theirs, own));
        let mut out = results.get();
        out.set_nonce(&own);
        out.set_vm(instance.vm);
        out.set_incarnation(instance.incarnation);
        out.set_mac(&handshake::sign(
            ring,
            Part::Listener,
            &own,
            &theirs,
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
        let (theirs, own) = nonces.ok_or_else(|| refused("no nonce was exchanged"))?;
        let ring = &self.shell.settings().ring;
        if !handshake::verify(
            ring,
            Part::Initiator,
            &theirs,
            &own,
            instance,
            params.get_mac()?,
        ) {
            return Err(refused("the shared key was not proved"));
        }
        *self.activity.entered.borrow_mut() = true;
        let inbox = Inbox {
            shell: self.shell.clone(),
            from: instance,
            activity: self.activity.clone(),
        };
        results.get().set_inbox(capnp_rpc::new_client(inbox));
        Ok(())
    }
}

/// What a connection sees after its handshake.
struct Inbox {
    shell: Shell,
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
        let read = convert::read_batch(params.get()?.get_batch()?);
        let (stamp, messages) = read.map_err(|error| refused(&error.to_string()))?;
        self.shell.merge_stamp(stamp);
        for message in messages {
            self.shell.apply(Event::Received {
                from: self.from,
                message,
            });
        }
        let due = self.shell.links().take_due(self.from.vm);
        convert::write_batch(results.get().init_batch(), self.shell.stamp(), &due);
        Ok(())
    }
}

fn refused(why: &str) -> capnp::Error {
    capnp::Error::failed(why.to_owned())
}
