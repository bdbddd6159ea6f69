//! An accept loop that spawns a task per connection, up to a connection limit.

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

/// Delay after an error of `accept`, such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

type StopSignal = Shared<oneshot::Receiver<()>>;

/// Handle of a running accept loop.
#[derive(Debug)]
pub struct Acceptor {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
}

impl Acceptor {
    /// Starts to accept connections and runs `serve` for each. Connections beyond `connections_max`
    /// at a time are closed immediately.
    pub fn spawn<F, T>(listener: Listener, connections_max: usize, serve: F) -> Self
    where
        F: Fn(TcpStream) -> T + 'static,
        T: Future<Output = ()> + 'static,
    {
        let (stop, stop_signal) = oneshot::channel();
        let address = listener.address();
        let stop_signal = stop_signal.shared();
        monoio::spawn(accept(
            listener.into_listener(),
            connections_max,
            serve,
            stop_signal,
        ));
        Self { address, stop }
    }

    /// The local address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections.
    pub fn close(self) {
        // The receiver is dropped only if the accept loop has already ended.
        _ = self.stop.send(());
    }
}

async fn accept<F, T>(
    listener: TcpListener,
    connections_max: usize,
    serve: F,
    stop_signal: StopSignal,
) where
    F: Fn(TcpStream) -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let active = Rc::new(());
    loop {
        let next = pin!(listener.accept());
        match select(next, stop_signal.clone()).await {
            Either::Left((Ok((stream, _)), _)) if Rc::strong_count(&active) <= connections_max => {
                let (active, stop_signal, connection) =
                    (active.clone(), stop_signal.clone(), serve(stream));
                monoio::spawn(async move {
                    select(pin!(connection), stop_signal).await;
                    drop(active);
                });
            }
            Either::Left((Ok(_), _)) => log::warn!("too_many_connections"),
            Either::Left((Err(error), _)) => {
                log::warn!(error:% = error; "accept_failed");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Either::Right(_) => return,
        }
    }
}
