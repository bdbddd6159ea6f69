//! Operator API: metrics, health, status, time line, and drain.

use hornbeamtiller_core::event::Event;
use hornbeamtiller_core::message;
use hornbeamtiller_core::refusal::{Reason, Refusal};
use hornbeamtiller_core::state::{Lifecycle, State};
use hornbeamtiller_core::timeline::Entry;
use hornbeamtiller_http::body::{Never, Outgoing};
use hornbeamtiller_http::server::Handler;
use http::header::{HeaderValue, AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::caller::render;
use crate::driver::Driver;

type OperatorResponse = Response<Outgoing<Never>>;

/// Handles requests on the operator listener.
#[derive(Debug, Clone)]
pub struct Api {
    driver: Driver,
}

#[derive(Serialize)]
struct Status {
    vm: u32,
    incarnation: String,
    zone: String,
    lifecycle: &'static str,
    not_ready: Option<String>,
    ticket: u64,
    items: Vec<Item>,
    members: Vec<Member>,
    requests_active: usize,
    requests_kept: usize,
    witness_records: usize,
    cancels_pending: usize,
    timeline_dropped: u64,
}

#[derive(Serialize)]
struct Item {
    name: String,
    ticket: u64,
}

#[derive(Serialize)]
struct Member {
    vm: u32,
    incarnation: String,
    zone: String,
    standing: String,
    caller: String,
}

#[derive(Serialize)]
struct Health {
    alive: bool,
}

#[derive(Serialize)]
struct Readiness {
    ready: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

#[derive(Serialize)]
struct Timeline {
    vm: u32,
    dropped: u64,
    entries: Vec<Entry>,
}

#[derive(Serialize)]
struct Drain {
    leaving: bool,
}

impl Handler for Api {
    type Source = Never;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> OperatorResponse {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/healthz") => render::json(StatusCode::OK, &Health { alive: true }),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/admin/v1/status") => self.status(),
            (&Method::GET, "/admin/v1/timeline") => self.timeline(),
            (&Method::POST, "/admin/v1/drain") => self.drain(&request),
            _ => render::refusal(&Refusal::not_run(Reason::NotFound), &[]),
        }
    }
}

impl Api {
    /// Creates the handler.
    pub fn new(driver: Driver) -> Self {
        Self { driver }
    }

    fn metrics(&self) -> OperatorResponse {
        let up = self.driver.now().up;
        let text = self
            .driver
            .with_state(|state| self.driver.metrics().render(state, self.driver.links(), up));
        let mut response = Response::new(Outgoing::full(text));
        response.headers_mut().insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/plain; version=0.0.4"),
        );
        response
    }

    fn readiness(&self) -> OperatorResponse {
        let up = self.driver.now().up;
        let reason = self
            .driver
            .with_state(|state| state.unready_reason(up))
            .map(|reason| reason.to_string());
        let status = if reason.is_none() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        render::json(
            status,
            &Readiness {
                ready: reason.is_none(),
                reason,
            },
        )
    }

    fn status(&self) -> OperatorResponse {
        let dropped = self.driver.with_timeline(|ring| ring.dropped());
        let up = self.driver.now().up;
        let status = self.driver.with_state(|state| status(state, up, dropped));
        render::json(StatusCode::OK, &status)
    }

    fn timeline(&self) -> OperatorResponse {
        let vm = self.driver.settings().flags.vm;
        let out = self.driver.with_timeline(|ring| Timeline {
            vm,
            dropped: ring.dropped(),
            entries: ring.entries().collect(),
        });
        render::json(StatusCode::OK, &out)
    }

    fn drain(&self, request: &Request<hyper::body::Incoming>) -> OperatorResponse {
        if !self.is_authorized(request) {
            return render::refusal(&Refusal::not_run(Reason::Forbidden), &[]);
        }
        self.driver.apply(Event::Leave);
        render::json(StatusCode::ACCEPTED, &Drain { leaving: true })
    }

    /// Returns whether a request carries the operator token. Digests are compared, so that the time
    /// taken reveals nothing about the token.
    fn is_authorized(&self, request: &Request<hyper::body::Incoming>) -> bool {
        let header = request.headers().get(AUTHORIZATION);
        let presented = header.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        let token = self.driver.settings().flags.operator_token.as_bytes();
        presented.is_some_and(|presented| blake3::hash(presented) == blake3::hash(token))
    }
}

fn status(state: &State, up: std::time::Duration, timeline_dropped: u64) -> Status {
    let members = state
        .members
        .iter()
        .map(|member| Member {
            vm: member.descriptor.vm,
            incarnation: format!("{:016x}", member.descriptor.incarnation),
            zone: member.descriptor.zone.to_string(),
            standing: if member.listed_leaving {
                message::Status::Leaving
            } else {
                member.descriptor.status
            }
            .to_string(),
            caller: member.descriptor.caller_address.to_string(),
        })
        .collect();
    let items = state
        .table
        .versions()
        .map(|(name, ticket)| Item {
            name: name.to_owned(),
            ticket,
        })
        .collect();
    Status {
        vm: state.instance.vm,
        incarnation: format!("{:016x}", state.instance.incarnation),
        zone: state.settings.zone.to_string(),
        lifecycle: match state.lifecycle {
            Lifecycle::Running => "running",
            Lifecycle::Leaving { .. } => "leaving",
            Lifecycle::Ended => "ended",
        },
        not_ready: state.unready_reason(up).map(|reason| reason.to_string()),
        ticket: state.table.newest(),
        items,
        members,
        requests_active: state.active.len(),
        requests_kept: state.requests.len(),
        witness_records: state.witness_records.len(),
        cancels_pending: state.pending_cancels.len(),
        timeline_dropped,
    }
}
