//! The RPC service that peers call.

use std::net::AddrParseError;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::capability::Rc as CapRc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use futures::future::select;
use hornbeamtiller_http::accept::Acceptor;
use hornbeamtiller_http::socket::{self, Listener};
use hornbeamtiller_relay::cap::Ask;
use hornbeamtiller_relay::event::Event;
use hornbeamtiller_relay::limit::Asker;
use hornbeamtiller_relay::member;
use hornbeamtiller_relay::origin::{Key, Question};
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_wire::fleet_capnp::fleet;
use hornbeamtiller_wire::io::Connection;
use hornbeamtiller_wire::{allocation, cap, origin, overload, view};
use monoio::io::IntoPollIo as _;
use monoio::net::TcpStream;

use crate::driver::Driver;
use crate::protocol::Protocol;

use super::{reader_options, UNACKNOWLEDGED_TIMEOUT};

/// A connection from a peer is closed after an interval of this length without a call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of concurrent connections from peers.
const CONNECTIONS_MAX: usize = 1_024;

/// Starts the listener for peers.
pub fn spawn<P: Protocol>(listener: Listener, driver: Driver<P>) -> Acceptor {
    Acceptor::spawn(listener, CONNECTIONS_MAX, move |stream| {
        serve(stream, driver.clone())
    })
}

async fn serve<P: Protocol>(stream: TcpStream, driver: Driver<P>) {
    if socket::configure(&stream, Some(UNACKNOWLEDGED_TIMEOUT)).is_err() {
        return;
    }
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let options = reader_options();
    let connection = Connection::new(stream, driver.connections().sent.clone());
    let network = VatNetwork::new(connection.clone(), connection, Side::Server, options);
    let calls = Rc::new(std::cell::Cell::new(0_u64));
    let service = FleetService {
        driver,
        calls: calls.clone(),
    };
    let client: fleet::Client = capnp_rpc::new_client(service);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let idle = std::pin::pin!(async move {
        loop {
            let before = calls.get();
            monoio::time::sleep(IDLE_TIMEOUT).await;
            if calls.get() == before {
                return;
            }
        }
    });
    select(system, idle).await;
}

/// The RPC service that peers call.
struct FleetService<P> {
    driver: Driver<P>,
    calls: Rc<std::cell::Cell<u64>>,
}

impl<P: Protocol> fleet::Server for FleetService<P> {
    async fn tell(
        self: CapRc<Self>,
        params: fleet::TellParams,
        _results: fleet::TellResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let view = view::read(params.get()?.get_view()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let view = self.decode(view);
        self.driver.apply(Event::ViewReceived { view: view.into() });
        Ok(())
    }

    async fn claim(
        self: CapRc<Self>,
        params: fleet::ClaimParams,
        _results: fleet::ClaimResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let claim = allocation::read_claim(params.get()?.get_claim()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        self.driver.apply(Event::ClaimReceived { claim });
        Ok(())
    }

    async fn grant(
        self: CapRc<Self>,
        params: fleet::GrantParams,
        _results: fleet::GrantResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let batch = allocation::read_batch(params.get()?.get_batch()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        self.driver.apply(Event::GrantsReceived { batch });
        Ok(())
    }

    async fn record_origins(
        self: CapRc<Self>,
        params: fleet::RecordOriginsParams,
        _results: fleet::RecordOriginsResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let records = origin::read_records(params.get()?.get_records()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        self.driver.apply(Event::OriginsReceived { records });
        Ok(())
    }

    async fn find_origin(
        self: CapRc<Self>,
        params: fleet::FindOriginParams,
        mut results: fleet::FindOriginResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let params = params.get()?;
        let key = if params.get_asks_engines() {
            Key::Part(params.get_part())
        } else if params.get_asks_session() {
            Key::Session(params.get_part())
        } else {
            Key::Stream(origin::read_stream(params.get_stream()))
        };
        let question = Question {
            key,
            endpoint: params.get_endpoint()?.to_str()?.into(),
        };
        if let Key::Part(part) = question.key {
            let endpoint = question.endpoint.clone();
            self.driver.apply(Event::EnginesAsked { endpoint, part });
        }
        let now = self.driver.now();
        let answer = self
            .driver
            .with_state(|state| state.answer_origin(now, &question));
        origin::write_answer(&answer, results.get().init_answer());
        Ok(())
    }

    async fn ask_permit(
        self: CapRc<Self>,
        params: fleet::AskPermitParams,
        _results: fleet::AskPermitResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let params = params.get()?;
        let address = params.get_peer_address()?.to_str()?.parse();
        let asker = Asker {
            vm: params.get_vm()?.to_str()?.into(),
            address: address
                .map_err(|error: AddrParseError| capnp::Error::failed(error.to_string()))?,
        };
        let instance = Instance {
            runner: params.get_runner()?.to_str()?.into(),
            started_at_ms: params.get_born(),
        };
        self.driver.apply(Event::PermitAsked { instance, asker });
        Ok(())
    }

    async fn permit(
        self: CapRc<Self>,
        params: fleet::PermitParams,
        _results: fleet::PermitResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let params = params.get()?;
        let instance = Instance {
            runner: params.get_runner()?.to_str()?.into(),
            started_at_ms: params.get_born(),
        };
        self.driver.apply(if params.get_is_returned() {
            Event::PermitReturned { instance }
        } else {
            Event::PermitReceived { instance }
        });
        Ok(())
    }

    async fn ask_credit(
        self: CapRc<Self>,
        params: fleet::AskCreditParams,
        _results: fleet::AskCreditResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let params = params.get()?;
        let address = params.get_peer_address()?.to_str()?.parse();
        let entries = cap::read_entries(params.get_entries()?);
        let ask = Ask {
            address: address
                .map_err(|error: AddrParseError| capnp::Error::failed(error.to_string()))?,
            entries: entries.map_err(|error| capnp::Error::failed(error.to_string()))?,
        };
        self.driver.apply(Event::CreditAsked { ask });
        Ok(())
    }

    async fn credit(
        self: CapRc<Self>,
        params: fleet::CreditParams,
        _results: fleet::CreditResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let answers = cap::read_answers(params.get()?.get_answers()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        self.driver.apply(Event::CreditReceived { answers });
        Ok(())
    }

    async fn report_load(
        self: CapRc<Self>,
        params: fleet::ReportLoadParams,
        mut results: fleet::ReportLoadResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let report = overload::read_report(params.get()?.get_report()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let endpoint = report.endpoint.clone();
        self.driver.apply(Event::LoadReported { report });
        self.driver.with_state(|state| {
            let admission = state.overload.admission(&endpoint);
            overload::write_admission(admission, results.get().init_admission());
        });
        Ok(())
    }

    async fn tell_admission(
        self: CapRc<Self>,
        params: fleet::TellAdmissionParams,
        _results: fleet::TellAdmissionResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let params = params.get()?;
        let endpoint = params.get_endpoint()?.to_str()?.into();
        let admission = overload::read_admission(params.get_admission()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        self.driver.apply(Event::AdmissionTold {
            endpoint,
            admission,
        });
        Ok(())
    }
}

impl<P: Protocol> FleetService<P> {
    fn decode(&self, view: view::View) -> member::View {
        let known_version = self.driver.with_state(|state| {
            let manifest = state.manifest.as_ref();
            manifest.map_or(0, |manifest| manifest.version)
        });
        let newer = view
            .manifest
            .as_ref()
            .filter(|_| view.manifest_version > known_version);
        let manifest = newer.and_then(|bytes| self.driver.protocol().parse_manifest(bytes));
        if manifest.is_none() && newer.is_some() {
            log::warn!(peer = &*view.sender.vm, version = view.manifest_version; "manifest_unreadable");
        }
        view.with_manifest(manifest.map(Arc::new))
    }
}
