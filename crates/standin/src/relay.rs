//! A stretch of network between two processes that can be cut or go silent.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::{select, Either};
use hornbeamtiller_http::socket;
use monoio::io::{AsyncWriteRentExt as _, Splitable as _};
use monoio::net::{TcpListener, TcpStream};
use serde::{Deserialize, Serialize};

/// Bytes moved at a time.
const BUFFER: usize = 16 << 10;
/// Pause after an error of `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What becomes of bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Impairment {
    /// They pass.
    #[default]
    #[serde(rename = "open")]
    None,
    /// Connections that are open stay open and silent; new ones work.
    OldSilent,
    /// Nothing passes, on old or new connections.
    Silent,
    /// Requests pass, but nothing comes back.
    OneWay,
    /// Everything passes a while later.
    Late,
}

/// How much later bytes come.
const LATE: Duration = Duration::from_millis(120);

/// The way that bytes go.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Out,
    Back,
}

#[derive(Default)]
struct Inner {
    impairment: Cell<Impairment>,
    /// Connections older than this number are silent for good.
    silent_below: Cell<u64>,
    last: Cell<u64>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    /// Dropping an end resets its connection.
    open: RefCell<Vec<oneshot::Sender<()>>>,
}

/// A running stretch.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    inner: Rc<Inner>,
}

impl Relay {
    /// Listens at an address and connects each connection there with the target.
    ///
    /// # Errors
    ///
    /// The system's error where the address can't be listened at.
    pub fn bind(address: SocketAddr, target: Rc<Cell<SocketAddr>>) -> io::Result<Self> {
        let listener = socket::listen(address)?;
        let address = listener.local_addr()?;
        let inner = Rc::new(Inner::default());
        monoio::spawn(accept(listener, target, inner.clone()));
        Ok(Self { address, inner })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what becomes of bytes.
    pub fn set_impairment(&self, impairment: Impairment) {
        if impairment == Impairment::OldSilent {
            self.inner.silent_below.set(self.inner.last.get() + 1);
        }
        self.inner.impairment.set(impairment);
        self.inner
            .waiting
            .borrow_mut()
            .drain(..)
            .for_each(|waiting| _ = waiting.send(()));
    }

    /// Ends all connections that are open.
    pub fn reset(&self) {
        self.inner.open.borrow_mut().clear();
    }
}

impl Inner {
    /// Waits as long as a connection's bytes may not pass.
    async fn wait_open(&self, number: u64, way: Way) {
        if self.impairment.get() == Impairment::Late {
            monoio::time::sleep(LATE).await;
        }
        while self.is_shut(number, way) {
            let (sender, changed) = oneshot::channel();
            self.waiting.borrow_mut().push(sender);
            _ = changed.await;
        }
    }

    fn is_shut(&self, number: u64, way: Way) -> bool {
        match self.impairment.get() {
            Impairment::Silent => true,
            Impairment::OneWay if way == Way::Back => true,
            _ => number < self.silent_below.get(),
        }
    }
}

async fn accept(listener: TcpListener, target: Rc<Cell<SocketAddr>>, inner: Rc<Inner>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            monoio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let number = inner.last.get() + 1;
        inner.last.set(number);
        monoio::spawn(join(stream, target.get(), number, inner.clone()));
    }
}

async fn join(near: TcpStream, target: SocketAddr, number: u64, inner: Rc<Inner>) {
    inner.wait_open(number, Way::Out).await;
    let Ok(far) = TcpStream::connect_addr(target).await else {
        return;
    };
    _ = near.set_nodelay(true);
    _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let out = pin!(copy(near_read, far_write, (number, Way::Out), &inner));
    let back = pin!(copy(far_read, near_write, (number, Way::Back), &inner));
    let (end, ended) = oneshot::channel::<()>();
    {
        let mut open = inner.open.borrow_mut();
        open.retain(|end| !end.is_canceled());
        open.push(end);
    }
    // The end of one direction ends the connection.
    match select(select(out, back), ended).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

async fn copy<R, W>(mut from: R, mut to: W, (number, way): (u64, Way), inner: &Inner)
where
    R: monoio::io::AsyncReadRent,
    W: monoio::io::AsyncWriteRent,
{
    let mut buffer = vec![0; BUFFER];
    loop {
        let (read, mut filled) = from.read(buffer).await;
        let Ok(count @ 1..) = read else {
            return;
        };
        inner.wait_open(number, way).await;
        filled.truncate(count);
        let (written, mut emptied) = to.write_all(filled).await;
        if written.is_err() {
            return;
        }
        emptied.resize(BUFFER, 0);
        buffer = emptied;
    }
}
