//! The control API: reads the stand-ins' counters, injects faults and changes the platform's data.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_http::body::{self, Never, Outgoing};
use hornbeamtiller_http::server::{Handler, Limits, Server};
use http::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

use crate::fault::Fault;
use crate::fixture::Fixture;
use crate::json;
use crate::platform::{Faults, Vm};
use crate::relay::Impairment;

/// Largest request body, in bytes.
const BODY_BYTES_MAX: usize = 4 << 20;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the control listener.
///
/// # Errors
///
/// Returns the OS error if the address can't be bound.
pub fn bind(address: SocketAddr, fixture: Rc<Fixture>) -> io::Result<Server> {
    Server::bind(address, Limits::default(), Api(fixture))
}

#[derive(Clone)]
struct Api(Rc<Fixture>);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultRequest {
    runner: String,
    fault: Fault,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RelayRequest {
    vm: u32,
    #[serde(default)]
    target: Option<SocketAddr>,
    #[serde(default)]
    passage: Option<Impairment>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketRequest {
    items: Value,
}

type HttpResponse = Response<Outgoing<Never>>;

impl Handler for Api {
    type Source = Never;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> HttpResponse {
        let (head, body) = request.into_parts();
        let Ok(body) = body::read(body, BODY_BYTES_MAX, BODY_TIMEOUT).await else {
            return json::error(StatusCode::BAD_REQUEST, "body");
        };
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/observed") => json::response(StatusCode::OK, &self.0.observed()),
            (&Method::POST, "/control/fault") => with_json(&body, |request| self.inject(&request)),
            (&Method::POST, "/control/relay") => with_json(&body, |request: RelayRequest| {
                if self
                    .0
                    .configure_relay(request.vm, request.target, request.passage)
                {
                    done()
                } else {
                    json::error(StatusCode::NOT_FOUND, "no such relay")
                }
            }),
            (&Method::POST, "/control/platform") => with_json(&body, |faults: Faults| {
                self.0.store().set_faults(faults);
                done()
            }),
            (&Method::POST, "/control/tickets") => with_json(&body, |request: TicketRequest| {
                let number = self.0.store().publish(request.items);
                json::response(StatusCode::OK, &serde_json::json!({ "number": number }))
            }),
            (&Method::PUT, "/control/vms") => with_json(&body, |vms: Vec<Vm>| {
                self.0.store().set_vms(vms);
                done()
            }),
            _ => json::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Api {
    fn inject(&self, request: &FaultRequest) -> HttpResponse {
        match self.0.set_fault(&request.runner, request.fault) {
            Ok(true) => done(),
            Ok(false) => json::error(StatusCode::NOT_FOUND, "no such runner"),
            Err(error) => json::error(StatusCode::CONFLICT, &error.to_string()),
        }
    }
}

fn with_json<T: DeserializeOwned>(body: &Bytes, f: impl FnOnce(T) -> HttpResponse) -> HttpResponse {
    match serde_json::from_slice(body) {
        Ok(request) => f(request),
        Err(error) => json::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn done() -> HttpResponse {
    json::response(StatusCode::OK, &serde_json::json!({ "done": true }))
}
