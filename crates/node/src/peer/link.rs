//! Outgoing links: one connection per peer, with queued messages sent in batches.
//!
//! A call that times out closes the connection, so that an unresponsive connection is replaced.
//! Messages of a failed call are dropped: the reducer retries those that matter.

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
use hornbeamtiller_wire::handshake::{self, Nonce, Role};
use hornbeamtiller_wire::peer_capnp::{gate, inbox};
use monoio::io::IntoPollIo as _;
use monoio::net::TcpStream;

use crate::driver::Driver;
use hornbeamtiller_wire::io::{Connection, WriteCounter};

/// Maximum number of messages queued on a link; when it is reached, the oldest is dropped.
const QUEUE_MESSAGES_MAX: usize = 4_096;
/// Maximum number of messages in one call.
const BATCH_MESSAGES_MAX: usize = 256;
/// Timeout for connecting to a peer, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long messages that aren't urgent are held back to be batched.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Delay before reconnecting after a failed connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);

/// Why a connection to a peer failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    #[error("call: {0}")]
    Call(#[from] capnp::Error),
    #[error("reply: {0}")]
    Convert(#[from] convert::Error),
    #[error("call timed out")]
    TimedOut,
    #[error("the peer did not prove the shared key")]
    Unauthenticated,
}

/// Totals of all links.
#[derive(Debug, Default, Clone, Copy)]
pub struct Stats {
    /// Calls made.
    pub calls: u64,
    /// Messages sent, also those in replies to peers' calls.
    pub messages: u64,
    /// Messages dropped.
    pub dropped: u64,
    /// Connections made.
    pub connections: u64,
}

/// All outgoing links of a process.
pub struct Links {
    keyring: Keyring,
    instance: Instance,
    links: RefCell<HashMap<Vm, (Rc<Link>, cancel::Guard)>>,
    stats: Cell<Stats>,
    sent: WriteCounter,
}

struct Link {
    address: RefCell<SocketAddr>,
    queue: RefCell<VecDeque<Message>>,
    wake: RefCell<Option<oneshot::Sender<()>>>,
    /// Whether queued messages are to be sent now.
    flush_ready: Cell<bool>,
    /// Whether a delayed wake-up is scheduled.
    wake_scheduled: Cell<bool>,
}

impl Links {
    /// Creates the links of a process. Each connects when it first has a message to send.
    pub fn new(keyring: Keyring, instance: Instance) -> Self {
        Self {
            keyring,
            instance,
            links: RefCell::default(),
            stats: Cell::default(),
            sent: WriteCounter::default(),
        }
    }

    /// Bytes and writes sent on all peer connections, outgoing and incoming.
    pub fn sent(&self) -> &WriteCounter {
        &self.sent
    }

    /// Closes all links immediately.
    pub fn close(&self) {
        self.links.borrow_mut().clear();
    }

    /// Totals of all links.
    pub fn stats(&self) -> Stats {
        self.stats.get()
    }

    fn update_stats(&self, f: impl FnOnce(&mut Stats)) {
        let mut stats = self.stats.get();
        f(&mut stats);
        self.stats.set(stats);
    }

    /// Takes the messages queued for a peer, to send them in the reply to its call.
    pub fn take_reply_batch(&self, to: Vm) -> Vec<Message> {
        let links = self.links.borrow();
        let Some((link, _)) = links.get(&to) else {
            return Vec::new();
        };
        let batch = link.take_batch();
        self.update_stats(|stats| stats.messages += batch.len() as u64);
        batch
    }

    /// Queues a message to a peer.
    pub fn send(&self, driver: &Driver, to: Vm, address: SocketAddr, message: Message) {
        let link = self.link(driver, to, address);
        *link.address.borrow_mut() = address;
        let mut queue = link.queue.borrow_mut();
        if queue.len() >= QUEUE_MESSAGES_MAX {
            queue.pop_front();
            self.update_stats(|stats| stats.dropped += 1);
        }
        let urgent = message.is_urgent();
        queue.push_back(message);
        drop(queue);
        if urgent {
            link.wake();
        } else {
            link.schedule_wake();
        }
    }

    fn link(&self, driver: &Driver, to: Vm, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let (link, _) = links.entry(to).or_insert_with(|| {
            let link = Rc::new(Link {
                address: RefCell::new(address),
                queue: RefCell::default(),
                wake: RefCell::default(),
                flush_ready: Cell::new(false),
                wake_scheduled: Cell::new(false),
            });
            let (guard, token) = cancel::Guard::new();
            let running = run(
                driver.clone(),
                link.clone(),
                self.keyring.clone(),
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
        self.flush_ready.set(true);
        let wake = self.wake.borrow_mut().take();
        if let Some(wake) = wake {
            _ = wake.send(());
        }
    }

    /// Schedules a wake-up after [`BATCH_DELAY`], so that messages that aren't urgent share calls.
    fn schedule_wake(self: &Rc<Self>) {
        if self.wake_scheduled.replace(true) {
            return;
        }
        let link = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(BATCH_DELAY).await;
            link.wake_scheduled.set(false);
            link.wake();
        });
    }

    /// Waits until queued messages are to be sent.
    async fn wait_for_messages(&self) {
        if self.flush_ready.get() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        self.wake.borrow_mut().replace(wake);
        _ = woken.await;
    }

    fn take_batch(&self) -> Vec<Message> {
        let mut queue = self.queue.borrow_mut();
        let count = queue.len().min(BATCH_MESSAGES_MAX);
        self.flush_ready.set(queue.len() > count);
        queue.drain(..count).collect()
    }
}

/// Runs one link until it is cancelled: connects, sends batches, and reconnects after errors.
async fn run(driver: Driver, link: Rc<Link>, keyring: Keyring, instance: Instance) {
    loop {
        link.wait_for_messages().await;
        let address = *link.address.borrow();
        let connected = monoio::time::timeout(
            CONNECT_TIMEOUT,
            Session::connect(address, &keyring, instance, driver.links().sent().clone()),
        )
        .await;
        let session = match connected {
            Ok(Ok(session)) => session,
            _ => {
                let dropped = link.take_batch().len() as u64;
                driver
                    .links()
                    .update_stats(|stats| stats.dropped += dropped);
                monoio::time::sleep(RECONNECT_DELAY).await;
                continue;
            }
        };
        driver.links().update_stats(|stats| stats.connections += 1);
        while *link.address.borrow() == address {
            link.wait_for_messages().await;
            if session.deliver(&driver, &link).await.is_err() {
                break;
            }
        }
    }
}

/// An authenticated connection.
struct Session {
    inbox: inbox::Client,
    /// The peer, as authenticated by the handshake.
    peer: Instance,
    /// Dropping this closes the connection.
    _close_on_drop: oneshot::Sender<()>,
}

impl Session {
    async fn connect(
        address: SocketAddr,
        keyring: &Keyring,
        instance: Instance,
        sent: WriteCounter,
    ) -> Result<Self, Error> {
        let stream = TcpStream::connect_addr(address).await?;
        stream.set_nodelay(true)?;
        let connection = Connection::new(stream.into_poll_io()?, sent);
        let network = VatNetwork::new(
            connection.clone(),
            connection,
            Side::Client,
            Default::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        let (close_on_drop, closed) = oneshot::channel::<()>();
        monoio::spawn(async move {
            select(system, closed).await;
        });
        let (inbox, peer) = authenticate(&gate, keyring, instance).await?;
        Ok(Self {
            inbox,
            peer,
            _close_on_drop: close_on_drop,
        })
    }

    async fn deliver(&self, driver: &Driver, link: &Link) -> Result<(), Error> {
        let batch = link.take_batch();
        if batch.is_empty() {
            return Ok(());
        }
        let mut request = self.inbox.deliver_request();
        convert::write_batch(request.get().init_batch(), driver.stamp(), &batch);
        driver.links().update_stats(|stats| {
            stats.calls += 1;
            stats.messages += batch.len() as u64;
        });
        let response = monoio::time::timeout(CALL_TIMEOUT, request.send().promise).await;
        let response = response.map_err(|_| Error::TimedOut)??;
        let (stamp, messages) = convert::read_batch(response.get()?.get_batch()?)?;
        driver.merge_stamp(stamp);
        for message in messages {
            driver.apply(Event::Received {
                from: self.peer,
                message,
            });
        }
        Ok(())
    }
}

/// Authenticates both sides with the shared key. Returns the peer's inbox and identity.
async fn authenticate(
    gate: &gate::Client,
    keyring: &Keyring,
    instance: Instance,
) -> Result<(inbox::Client, Instance), Error> {
    let local_nonce: Nonce = rand::random();
    let mut hello_request = gate.hello_request();
    hello_request.get().set_nonce(&local_nonce);
    let response = hello_request.send().promise.await?;
    let response = response.get()?;
    let peer_nonce = Nonce::try_from(response.get_nonce()?).map_err(|_| Error::Unauthenticated)?;
    let peer = Instance {
        vm: response.get_vm(),
        incarnation: response.get_incarnation(),
    };
    if !handshake::verify(
        keyring,
        Role::Responder,
        &peer_nonce,
        &local_nonce,
        peer,
        response.get_mac()?,
    ) {
        return Err(Error::Unauthenticated);
    }
    let mut enter_request = gate.enter_request();
    enter_request.get().set_vm(instance.vm);
    enter_request.get().set_incarnation(instance.incarnation);
    enter_request.get().set_mac(&handshake::sign(
        keyring,
        Role::Initiator,
        &local_nonce,
        &peer_nonce,
        instance,
    ));
    let response = enter_request.send().promise.await?;
    Ok((response.get()?.get_inbox()?, peer))
}
