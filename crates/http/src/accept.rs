//! A listener that runs a task for each connection, up to a bound, until it is closed.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::{select, Either, Shared};
use futures::FutureExt as _;
use monoio::net::{TcpListener, TcpStream};

use crate::socket::Listener;

/// Pause after an error of `accept`, such as having no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type Stopped = Shared<oneshot::Receiver<()>>;

/// A running listener.
#[derive(Debug)]
pub struct Acceptor {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
}

impl Acceptor {
    /// Begins to accept. A connection over `connections` at a time is closed at once.
    pub fn spawn<F, T>(bound: Listener, connections: usize, serve: F) -> Self
    where
        F: Fn(TcpStream) -> T + 'static,
        T: Future<Output = ()> + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        let address = bound.address();
        let stopped = stopped.shared();
        monoio::spawn(accept(bound.into_listener(), connections, serve, stopped));
        Self { address, stop }
    }

    /// The address listened at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections.
    pub fn close(self) {
        // The other end is gone only if the listener has ended already.
        _ = self.stop.send(());
    }
}

async fn accept<F, T>(listener: TcpListener, connections: usize, serve: F, stopped: Stopped)
where
    F: Fn(TcpStream) -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let open = Rc::new(());
    loop {
        let next = pin!(listener.accept());
        match select(next, stopped.clone()).await {
            Either::Left((Ok((stream, _)), _)) if Rc::strong_count(&open) <= connections => {
                let (open, stopped, served) = (open.clone(), stopped.clone(), serve(stream));
                monoio::spawn(async move {
                    select(pin!(served), stopped).await;
                    drop(open);
                });
            }
            Either::Left((Ok(_), _)) => log::warn!("too_many_connections"),
            Either::Left((Err(error), _)) => {
                log::warn!(error:% = error; "accept_failed");
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
            Either::Right(_) => return,
        }
    }
}
