//! A plain service that counts executions by request ID.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_http::body::{self, Channel, Outgoing};
use hornbeamtiller_http::server::{Handler, Limits, Server};
use http::{Request, Response, StatusCode};
use serde::Serialize;

use crate::fault::{Fault, Switch};
use crate::json;

/// Largest request body, in bytes.
const BODY_BYTES_MAX: usize = 4 << 20;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Header with the request ID.
const ID_HEADER: &str = "idempotency-key";

/// Number of executions by request ID, shared by all runners of all services.
pub type Executions = Rc<RefCell<BTreeMap<String, u64>>>;

/// One runner of a plain service.
pub struct Service {
    name: String,
    address: SocketAddr,
    fault_switch: Switch,
    handler: Api,
    server: RefCell<Option<Server>>,
}

#[derive(Clone)]
struct Api {
    name: Rc<str>,
    fault_switch: Switch,
    service_time: Duration,
    executions: Executions,
    requests: Rc<Cell<u64>>,
}

#[derive(Serialize)]
struct Receipt<'a> {
    done: bool,
    id: &'a str,
    runner: &'a str,
    method: &'a str,
    path: &'a str,
    body_bytes: usize,
    execution: u64,
}

impl Service {
    /// Starts a runner that listens at `address`.
    ///
    /// # Errors
    ///
    /// Returns the OS error if the address can't be bound.
    pub fn bind(
        name: &str,
        address: SocketAddr,
        service_time: Duration,
        executions: Executions,
    ) -> io::Result<Self> {
        let fault_switch = Switch::default();
        let handler = Api {
            name: name.into(),
            fault_switch: fault_switch.clone(),
            service_time,
            executions,
            requests: Rc::default(),
        };
        let server = Server::bind(address, Limits::default(), handler.clone())?;
        let address = server.address();
        Ok(Self {
            name: name.to_owned(),
            address,
            fault_switch,
            handler,
            server: RefCell::new(Some(server)),
        })
    }

    /// Returns the runner's ID.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests received.
    pub fn requests(&self) -> u64 {
        self.handler.requests.get()
    }

    /// Sets the fault; [`Fault::Crash`] closes the listener until another fault is set.
    ///
    /// # Errors
    ///
    /// Returns the OS error if the listener can't be bound again after a crash.
    pub fn set_fault(&self, fault: Fault) -> io::Result<()> {
        self.fault_switch.set(fault);
        let mut server = self.server.borrow_mut();
        if fault == Fault::Crash {
            if let Some(server) = server.take() {
                server.abort();
            }
        } else if server.is_none() {
            *server = Some(Server::bind(
                self.address,
                Limits::default(),
                self.handler.clone(),
            )?);
        }
        Ok(())
    }
}

impl Handler for Api {
    type Source = Channel;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> Response<Outgoing<Channel>> {
        let (head, body) = request.into_parts();
        let Ok(body) = body::read(body, BODY_BYTES_MAX, BODY_TIMEOUT).await else {
            return json::error(StatusCode::BAD_REQUEST, "body");
        };
        self.requests.set(self.requests.get() + 1);
        if self.fault_switch.get() == Fault::Refuse {
            return json::error(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        self.fault_switch.wait_while(Fault::Stall).await;
        let response = self.execute(&head, &body);
        if !self.service_time.is_zero() {
            monoio::time::sleep(self.service_time).await;
        }
        match self.fault_switch.get() {
            Fault::DropAnswer => truncated_response(),
            Fault::Silent => {
                self.fault_switch.wait_while(Fault::Silent).await;
                truncated_response()
            }
            _ => response,
        }
    }
}

impl Api {
    fn execute(&self, head: &http::request::Parts, body: &Bytes) -> Response<Outgoing<Channel>> {
        let id = head
            .headers
            .get(ID_HEADER)
            .and_then(|id| id.to_str().ok())
            .unwrap_or("none");
        let mut executions = self.executions.borrow_mut();
        let count = executions.entry(id.to_owned()).or_default();
        *count += 1;
        let receipt = Receipt {
            done: true,
            id,
            runner: &self.name,
            method: head.method.as_str(),
            path: head.uri.path(),
            body_bytes: body.len(),
            execution: *count,
        };
        json::response(StatusCode::OK, &receipt)
    }
}

/// A response whose body is interrupted, which closes the connection.
pub(crate) fn truncated_response() -> Response<Outgoing<Channel>> {
    let (sender, channel) = Channel::new();
    _ = sender.unbounded_send(Err(body::Truncated));
    Response::new(Outgoing::Stream(channel))
}
