//! Outgoing links: one connection per peer, on which all messages due go in one call.
//!
//! A call that is not answered in time ends the connection, so that one that has gone silent is
//! replaced and not waited for. Messages of a failed call are dropped: the reducer repeats what
//! matters.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use futures::channel::oneshot;
use futures::future::select;
use hornbeamtiller_core::event::Event;
use hornbeamtiller_core::id::Vm;
use hornbeamtiller_core::message::Message;
use hornbeamtiller_core::token::{Instance, Keyring};
use hornbeamtiller_http::cancel;
use hornbeamtiller_wire::convert;
use hornbeamtiller_wire::handshake::{self, Nonce, Part};
use hornbeamtiller_wire::peer_capnp::{gate, inbox};
use monoio::io::IntoPollIo as _;
use monoio::net::TcpStream;

use crate::shell::Shell;
use hornbeamtiller_wire::io::{Half, Sent};

/// Messages that may wait for a link; the oldest go first.
const QUEUE_MAX: usize = 4_096;
/// Messages in one call.
const BATCH_MAX: usize = 256;
/// Time for a connection and its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a call to be answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long messages that nobody waits for may wait for others.
const LAZY_DELAY: Duration = Duration::from_millis(20);
/// Pause after a failed connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);

/// Why a link's connection ended.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    #[error("call: {0}")]
    Call(#[from] capnp::Error),
    #[error("answer: {0}")]
    Convert(#[from] convert::Error),
    #[error("no answer in time")]
    TimedOut,
    #[error("the peer did not prove the shared key")]
    Forged,
}

/// What the links have carried.
#[derive(Debug, Default, Clone, Copy)]
pub struct Carried {
    /// Calls made.
    pub calls: u64,
    /// Messages sent in them.
    pub messages: u64,
    /// Messages dropped.
    pub dropped: u64,
    /// Connections made.
    pub connections: u64,
}

/// All outgoing links of a process.
pub struct Links {
    ring: Keyring,
    instance: Instance,
    links: RefCell<HashMap<Vm, (Rc<Link>, cancel::Guard)>>,
    carried: Cell<Carried>,
    sent: Sent,
}

struct Link {
    address: RefCell<SocketAddr>,
    queue: RefCell<VecDeque<Message>>,
    wake: RefCell<Option<oneshot::Sender<()>>>,
    /// Whether what waits is to be sent now.
    ready: Cell<bool>,
    /// Whether a later wake is under way.
    due: Cell<bool>,
}

impl Links {
    /// Makes the links of a process; each connects when it has something to send.
    pub fn open(ring: Keyring, instance: Instance) -> Self {
        Self {
            ring,
            instance,
            links: RefCell::default(),
            carried: Cell::default(),
            sent: Sent::default(),
        }
    }

    /// What all connections with peers have sent, in both roles.
    pub fn sent(&self) -> &Sent {
        &self.sent
    }

    /// Closes all links at once.
    pub fn abort(&self) {
        self.links.borrow_mut().clear();
    }

    /// What the links have carried.
    pub fn carried(&self) -> Carried {
        self.carried.get()
    }

    fn count(&self, f: impl FnOnce(&mut Carried)) {
        let mut carried = self.carried.get();
        f(&mut carried);
        self.carried.set(carried);
    }

    /// Takes what is due to a peer, to go in the return of a call that it made.
    pub fn take_due(&self, to: Vm) -> Vec<Message> {
        let links = self.links.borrow();
        let Some((link, _)) = links.get(&to) else {
            return Vec::new();
        };
        let batch = link.take_batch();
        self.count(|carried| carried.messages += batch.len() as u64);
        batch
    }

    /// Queues a message to a peer.
    pub fn send(&self, shell: &Shell, to: Vm, address: SocketAddr, message: Message) {
        let link = self.link(shell, to, address);
        *link.address.borrow_mut() = address;
        let mut queue = link.queue.borrow_mut();
        if queue.len() >= QUEUE_MAX {
            queue.pop_front();
            self.count(|carried| carried.dropped += 1);
        }
        let urgent = message.is_urgent();
        queue.push_back(message);
        drop(queue);
        if urgent {
            link.wake();
        } else {
            link.wake_later();
        }
    }

    fn link(&self, shell: &Shell, to: Vm, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let (link, _) = links.entry(to).or_insert_with(|| {
            let link = Rc::new(Link {
                address: RefCell::new(address),
                queue: RefCell::default(),
                wake: RefCell::default(),
                ready: Cell::new(false),
                due: Cell::new(false),
            });
            let (guard, token) = cancel::Guard::new();
            let running = run(
                shell.clone(),
                link.clone(),
                self.ring.clone(),
                self.instance,
            );
            monoio::spawn(async move {
                _ = token.run_until_cancelled(running).await;
            });
            (link, guard)
        });
        link.clone()
    }
}

impl Link {
    fn wake(&self) {
        self.ready.set(true);
        let wake = self.wake.borrow_mut().take();
        if let Some(wake) = wake {
            _ = wake.send(());
        }
    }

    /// Wakes after a short while, so that what nobody waits for goes in few calls.
    fn wake_later(self: &Rc<Self>) {
        if self.due.replace(true) {
            return;
        }
        let link = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(LAZY_DELAY).await;
            link.due.set(false);
            link.wake();
        });
    }

    /// Waits until there is something to send.
    async fn wait(&self) {
        if self.ready.get() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        self.wake.borrow_mut().replace(wake);
        _ = woken.await;
    }

    fn take_batch(&self) -> Vec<Message> {
        let mut queue = self.queue.borrow_mut();
        let count = queue.len().min(BATCH_MAX);
        self.ready.set(queue.len() > count);
        queue.drain(..count).collect()
    }
}

/// Keeps one link going as long as the process lives.
async fn run(shell: Shell, link: Rc<Link>, ring: Keyring, instance: Instance) {
    loop {
        link.wait().await;
        let address = *link.address.borrow();
        let opened = monoio::time::timeout(
            CONNECT_TIMEOUT,
            Session::open(address, &ring, instance, shell.links().sent().clone()),
        )
        .await;
        let session = match opened {
            Ok(Ok(session)) => session,
            _ => {
                let dropped = link.take_batch().len() as u64;
                shell.links().count(|carried| carried.dropped += dropped);
                monoio::time::sleep(RECONNECT_PAUSE).await;
                continue;
            }
        };
        shell.links().count(|carried| carried.connections += 1);
        while *link.address.borrow() == address {
            link.wait().await;
            if session.deliver(&shell, &link).await.is_err() {
                break;
            }
        }
    }
}

/// A connection that has passed its handshake.
struct Session {
    inbox: inbox::Client,
    /// Who listens, as it has proved.
    peer: Instance,
    /// Dropping this closes the connection.
    _open: oneshot::Sender<()>,
}

impl Session {
    async fn open(
        address: SocketAddr,
        ring: &Keyring,
        instance: Instance,
        sent: Sent,
    ) -> Result<Self, Error> {
        let stream = TcpStream::connect_addr(address).await?;
        stream.set_nodelay(true)?;
        let half = Half::new(stream.into_poll_io()?, sent);
        let network = VatNetwork::new(half.clone(), half, Side::Client, Default::default());
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        let (open, closed) = oneshot::channel::<()>();
        monoio::spawn(async move {
            select(system, closed).await;
        });
        let (inbox, peer) = enter(&gate, ring, instance).await?;
        Ok(Self {
            inbox,
            peer,
            _open: open,
        })
    }

    async fn deliver(&self, shell: &Shell, link: &Link) -> Result<(), Error> {
        let batch = link.take_batch();
        if batch.is_empty() {
            return Ok(());
        }
        let mut request = self.inbox.deliver_request();
        convert::write_batch(request.get().init_batch(), shell.stamp(), &batch);
        shell.links().count(|carried| {
            carried.calls += 1;
            carried.messages += batch.len() as u64;
        });
        let answer = monoio::time::timeout(CALL_TIMEOUT, request.send().promise).await;
        let answer = answer.map_err(|_| Error::TimedOut)??;
        let (stamp, messages) = convert::read_batch(answer.get()?.get_batch()?)?;
        shell.merge_stamp(stamp);
        for message in messages {
            shell.apply(Event::Received {
                from: self.peer,
                message,
            });
        }
        Ok(())
    }
}

/// Proves the shared key to a listener, and has it prove the key.
async fn enter(
    gate: &gate::Client,
    ring: &Keyring,
    instance: Instance,
) -> Result<(inbox::Client, Instance), Error> {
    let own: Nonce = rand::random();
    let mut hello = gate.hello_request();
    hello.get().set_nonce(&own);
    let answer = hello.send().promise.await?;
    let answer = answer.get()?;
    let theirs = Nonce::try_from(answer.get_nonce()?).map_err(|_| Error::Forged)?;
    let peer = Instance {
        vm: answer.get_vm(),
        incarnation: answer.get_incarnation(),
    };
    if !handshake::verify(ring, Part::Listener, &theirs, &own, peer, answer.get_mac()?) {
        return Err(Error::Forged);
    }
    let mut enter = gate.enter_request();
    enter.get().set_vm(instance.vm);
    enter.get().set_incarnation(instance.incarnation);
    enter.get().set_mac(&handshake::sign(
        ring,
        Part::Initiator,
        &own,
        &theirs,
        instance,
    ));
    let answer = enter.send().promise.await?;
    Ok((answer.get()?.get_inbox()?, peer))
}
