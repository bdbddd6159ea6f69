//! The control listener: what the stand-ins saw, and orders to fail.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_http::body::{self, Never, Reply};
use hornbeamtiller_http::server::{Handler, Limits, Server};
use http::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

use crate::fault::Fault;
use crate::fixture::Fixture;
use crate::json;
use crate::platform::{Trouble, Vm};
use crate::relay::Impairment;

/// Largest order, in bytes.
const BODY_MAX: usize = 4 << 20;
/// Time for an order to come.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the control listener.
///
/// # Errors
///
/// The system's error where the address can't be listened at.
pub fn bind(address: SocketAddr, fixture: Rc<Fixture>) -> io::Result<Server> {
    Server::bind(address, Limits::default(), Control(fixture))
}

#[derive(Clone)]
struct Control(Rc<Fixture>);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultOrder {
    runner: String,
    fault: Fault,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RelayOrder {
    vm: u32,
    #[serde(default)]
    target: Option<SocketAddr>,
    #[serde(default)]
    passage: Option<Impairment>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketOrder {
    items: Value,
}

type Answer = Response<Reply<Never>>;

impl Handler for Control {
    type Source = Never;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let Ok(body) = body::read(body, BODY_MAX, BODY_TIMEOUT).await else {
            return json::error(StatusCode::BAD_REQUEST, "body");
        };
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/observed") => json::reply(StatusCode::OK, &self.0.observed()),
            (&Method::POST, "/control/fault") => with(&body, |order| self.fault(&order)),
            (&Method::POST, "/control/relay") => with(&body, |order: RelayOrder| {
                if self.0.set_relay(order.vm, order.target, order.passage) {
                    done()
                } else {
                    json::error(StatusCode::NOT_FOUND, "no such relay")
                }
            }),
            (&Method::POST, "/control/platform") => with(&body, |trouble: Trouble| {
                self.0.store().set_trouble(trouble);
                done()
            }),
            (&Method::POST, "/control/tickets") => with(&body, |order: TicketOrder| {
                let number = self.0.store().publish(order.items);
                json::reply(StatusCode::OK, &serde_json::json!({ "number": number }))
            }),
            (&Method::PUT, "/control/vms") => with(&body, |vms: Vec<Vm>| {
                self.0.store().set_vms(vms);
                done()
            }),
            _ => json::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Control {
    fn fault(&self, order: &FaultOrder) -> Answer {
        match self.0.set_fault(&order.runner, order.fault) {
            Ok(true) => done(),
            Ok(false) => json::error(StatusCode::NOT_FOUND, "no such runner"),
            Err(error) => json::error(StatusCode::CONFLICT, &error.to_string()),
        }
    }
}

fn with<T: DeserializeOwned>(body: &Bytes, f: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(order) => f(order),
        Err(error) => json::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn done() -> Answer {
    json::reply(StatusCode::OK, &serde_json::json!({ "done": true }))
}
