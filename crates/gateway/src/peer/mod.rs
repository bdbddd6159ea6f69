//! Connections to peers. Each view is sent as one RPC call on a persistent connection; [`service`] takes the
//! calls of peers.

pub mod service;

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use futures::channel::oneshot;
use futures::future::select;
use hornbeamtiller_http::socket;
use hornbeamtiller_relay::allocation::{Batch, Claim};
use hornbeamtiller_relay::cap::{self, Ask, Failure};
use hornbeamtiller_relay::event::Event;
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::limit::Asker;
use hornbeamtiller_relay::member;
use hornbeamtiller_relay::origin::{Answer, Key, Question, Record};
use hornbeamtiller_relay::overload::{Admission, Report};
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_wire::fleet_capnp::fleet;
use hornbeamtiller_wire::io::{Connection, WriteCounter};
use hornbeamtiller_wire::{allocation, cap as wire_cap, origin, overload, view};
use log::Level;
use monoio::io::IntoPollIo as _;
use monoio::net::TcpStream;

use crate::driver::Driver;
use crate::protocol::Protocol;

/// Timeout of a call to a peer, including the time to connect.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Least rate at which a manifest has to reach a peer: a tenth of a link of 10 Mbit/s.
const TRANSFER_BYTES_PER_SECOND: f64 = 125e3;
/// Maximum size of a message from a peer, in words of 8 bytes.
const MESSAGE_WORDS_MAX: usize = 1 << 20;
/// Timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a report to a monitor: another one is to take over while the last admission is still followed.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a view was not delivered.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    #[error("call: {0}")]
    Call(#[from] capnp::Error),
    #[error("answer: {0}")]
    Answer(#[from] view::Error),
    #[error("call timed out")]
    TimedOut,
}

impl Error {
    /// Whether the peer is of a release that does not know the call.
    fn is_unknown_call(&self) -> bool {
        matches!(self, Self::Call(error) if error.kind == capnp::ErrorKind::Unimplemented)
    }
}

/// An RPC session on an outgoing connection.
#[derive(Clone)]
struct Session {
    fleet: fleet::Client,
    /// Dropping the last clone closes the connection.
    _close: Rc<oneshot::Sender<()>>,
}

/// The outgoing connections to peers.
#[derive(Default)]
pub struct Connections {
    sessions: RefCell<HashMap<SocketAddr, Session>>,
    sent: WriteCounter,
}

impl Connections {
    /// Closes all outgoing connections.
    pub fn close(&self) {
        let sessions = std::mem::take(&mut *self.sessions.borrow_mut());
        drop(sessions);
    }

    /// Sends a view to a peer. If the connection or the call fails, or the peer does not respond in
    /// time, it closes the connection and reports the peer to the reducer as unresponsive.
    pub fn publish<P: Protocol>(
        &self,
        driver: &Driver<P>,
        address: SocketAddr,
        view: member::View,
    ) {
        let driver = driver.clone();
        let view = encode(view);
        monoio::spawn(async move {
            let timeout = CALL_TIMEOUT + transfer_time(&view);
            let sent = monoio::time::timeout(timeout, send_view(&driver, address, &view)).await;
            let Err(error) = sent.unwrap_or(Err(Error::TimedOut)) else {
                return;
            };
            let session = driver.connections().sessions.borrow_mut().remove(&address);
            drop(session);
            log::info!(peer:% = address, error:% = error; "peer_silent");
            driver.apply(Event::PeerUnresponsive { address });
        });
    }

    /// Sends a claim to an allocator. If it is not acknowledged in time, the allocator is reported to the
    /// reducer as unresponsive; its connection stays, since it may only be slow.
    pub fn send_claim<P: Protocol>(&self, driver: &Driver<P>, address: SocketAddr, claim: Claim) {
        let driver = driver.clone();
        monoio::spawn(async move {
            let sent = monoio::time::timeout(CLAIM_TIMEOUT, call_claim(&driver, address, &claim));
            let Err(error) = sent.await.unwrap_or(Err(Error::TimedOut)) else {
                return driver.apply(Event::ClaimAcknowledged { address });
            };
            driver.connections().forget_broken(address, &error);
            log::info!(peer:% = address, error:% = error; "allocator_silent");
            driver.apply(Event::AllocatorUnresponsive { address });
        });
    }

    /// Sends grants to a VM. Grants that are lost are given back by the VM's next claim.
    pub fn send_grants<P: Protocol>(&self, driver: &Driver<P>, address: SocketAddr, batch: Batch) {
        let driver = driver.clone();
        monoio::spawn(async move {
            let call = call_grant(&driver, address, &batch);
            finish(&driver, address, call, Level::Info, "grants_lost").await;
        });
    }

    /// Tells a peer where streams began. Records that are not acknowledged in time are returned to the
    /// reducer.
    pub fn tell_origins<P: Protocol>(
        &self,
        driver: &Driver<P>,
        address: SocketAddr,
        records: Vec<Record>,
        is_retold: bool,
    ) {
        let driver = driver.clone();
        monoio::spawn(async move {
            let told = call_record_origins(&driver, address, &records);
            let told = monoio::time::timeout(CALL_TIMEOUT, told).await;
            if let Err(error) = told.unwrap_or(Err(Error::TimedOut)) {
                driver.connections().forget_broken(address, &error);
                log::info!(peer:% = address, error:% = error; "origins_undelivered");
                driver.apply(Event::OriginsUndelivered {
                    address,
                    records,
                    is_retold,
                });
            }
        });
    }

    /// Asks a peer where a stream began, for a call that is to go on with it.
    pub fn ask_origin<P: Protocol>(
        &self,
        driver: &Driver<P>,
        address: SocketAddr,
        call: id::Call,
        question: Question,
    ) {
        let driver = driver.clone();
        monoio::spawn(async move {
            let asked = call_find_origin(&driver, address, &question);
            let asked = monoio::time::timeout(CALL_TIMEOUT, asked).await;
            let answer = asked
                .unwrap_or(Err(Error::TimedOut))
                .unwrap_or_else(|error| {
                    driver.connections().forget_broken(address, &error);
                    log::info!(peer:% = address, error:% = error; "origin_unanswered");
                    Answer::Unresponsive
                });
            driver.apply(Event::OriginAnswered {
                call,
                address,
                answer,
            });
        });
    }

    /// Asks a peer for a permit. One that does not come is asked for again.
    pub fn ask_permit<P: Protocol>(
        &self,
        driver: &Driver<P>,
        address: SocketAddr,
        instance: Instance,
        asker: Asker,
    ) {
        let driver = driver.clone();
        monoio::spawn(async move {
            let call = call_ask_permit(&driver, address, &instance, &asker);
            finish(&driver, address, call, Level::Info, "permit_not_asked").await;
        });
    }

    /// Sends a permit, or gives one back. One that is lost is not used.
    pub fn send_permit<P: Protocol>(
        &self,
        driver: &Driver<P>,
        address: SocketAddr,
        instance: Instance,
        is_returned: bool,
    ) {
        let driver = driver.clone();
        monoio::spawn(async move {
            let call = call_permit(&driver, address, &instance, is_returned);
            finish(&driver, address, call, Level::Info, "permit_lost").await;
        });
    }

    /// Sends a granter an ask, and tells the reducer whether it was taken. Its answers come as a call the other way.
    pub fn ask_credit<P: Protocol>(&self, driver: &Driver<P>, address: SocketAddr, ask: Ask) {
        let driver = driver.clone();
        monoio::spawn(async move {
            let asked = call_ask_credit(&driver, address, &ask);
            let asked = monoio::time::timeout(CALL_TIMEOUT, asked).await;
            let Err(error) = asked.unwrap_or(Err(Error::TimedOut)) else {
                return driver.apply(Event::CreditAskTaken { address, ask });
            };
            let failure = match error.is_unknown_call() {
                true => Failure::Unsupported,
                false => Failure::Silent,
            };
            driver.connections().forget_broken(address, &error);
            log::info!(peer:% = address, error:% = error; "credit_not_asked");
            driver.apply(Event::CreditAskFailed {
                address,
                ask,
                failure,
            });
        });
    }

    /// Reports what this VM sees of an endpoint to its monitor, and takes the answer. A monitor that does not answer in
    /// time, or is of a release that has none, is reported to the reducer as unresponsive.
    pub fn report_load<P: Protocol>(
        &self,
        driver: &Driver<P>,
        address: SocketAddr,
        report: Report,
    ) {
        let driver = driver.clone();
        monoio::spawn(async move {
            let answered = call_report_load(&driver, address, &report);
            let answered = monoio::time::timeout(REPORT_TIMEOUT, answered).await;
            let endpoint = report.endpoint.clone();
            driver.apply(match answered.unwrap_or(Err(Error::TimedOut)) {
                Ok(admission) => Event::AdmissionAnswered {
                    endpoint,
                    admission,
                },
                Err(error) => {
                    driver.connections().forget_broken(address, &error);
                    log::info!(peer:% = address, error:% = error; "monitor_silent");
                    Event::MonitorUnresponsive { address, endpoint }
                }
            });
        });
    }

    /// Answers a VM that has asked for the cost of requests. An answer that is lost counts as none.
    pub fn send_credit<P: Protocol>(
        &self,
        driver: &Driver<P>,
        address: SocketAddr,
        answers: Vec<cap::Answer>,
    ) {
        let driver = driver.clone();
        monoio::spawn(async move {
            let call = call_credit(&driver, address, &answers);
            finish(&driver, address, call, Level::Info, "credit_lost").await;
        });
    }

    /// Tells a VM what to admit to an endpoint. One that is not reached finds out by itself.
    pub fn tell_admission<P: Protocol>(
        &self,
        driver: &Driver<P>,
        address: SocketAddr,
        endpoint: id::Endpoint,
        admission: Option<Admission>,
    ) {
        let driver = driver.clone();
        monoio::spawn(async move {
            let call = call_tell_admission(&driver, address, &endpoint, admission.as_ref());
            finish(&driver, address, call, Level::Debug, "admission_untold").await;
        });
    }

    /// Closes a connection after a failure other than a timeout, or a call that a peer of an older release does not
    /// know.
    fn forget_broken(&self, address: SocketAddr, error: &Error) {
        if !matches!(error, Error::TimedOut) && !error.is_unknown_call() {
            let session = self.sessions.borrow_mut().remove(&address);
            drop(session);
        }
    }

    fn session(&self, address: SocketAddr) -> Option<Session> {
        self.sessions.borrow().get(&address).cloned()
    }
}

/// Waits for a call whose loss needs no more than a log line.
async fn finish<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    call: impl Future<Output = Result<(), Error>>,
    level: Level,
    lost: &str,
) {
    let done = monoio::time::timeout(CALL_TIMEOUT, call).await;
    if let Err(error) = done.unwrap_or(Err(Error::TimedOut)) {
        driver.connections().forget_broken(address, &error);
        log::log!(level, peer:% = address, error:% = error; "{lost}");
    }
}

/// The time that the manifest of a view may take on its way.
fn transfer_time(view: &view::View) -> Duration {
    let bytes = view.manifest.as_ref().map_or(0, |bytes| bytes.len());
    Duration::from_secs_f64(bytes as f64 / TRANSFER_BYTES_PER_SECOND)
}

async fn send_view<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    view: &view::View,
) -> Result<(), Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.tell_request();
    view::write(view, request.get().init_view());
    request.send().promise.await?;
    Ok(())
}

async fn call_claim<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    claim: &Claim,
) -> Result<(), Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.claim_request();
    allocation::write_claim(claim, request.get().init_claim());
    request.send().promise.await?;
    Ok(())
}

async fn call_grant<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    batch: &Batch,
) -> Result<(), Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.grant_request();
    allocation::write_batch(batch, request.get().init_batch());
    request.send().promise.await?;
    Ok(())
}

async fn call_record_origins<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    records: &[Record],
) -> Result<(), Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.record_origins_request();
    let out = request.get().init_records(records.len() as u32);
    origin::write_records(records, out);
    request.send().promise.await?;
    Ok(())
}

async fn call_find_origin<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    question: &Question,
) -> Result<Answer, Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.find_origin_request();
    let mut params = request.get();
    params.set_endpoint(&*question.endpoint);
    match question.key {
        Key::Stream(stream) => params.set_stream(origin::write_stream(stream)),
        Key::Part(part) => {
            params.set_asks_engines(true);
            params.set_part(part);
        }
        Key::Session(session) => {
            params.set_asks_session(true);
            params.set_part(session);
        }
    }
    let response = request.send().promise.await?;
    Ok(origin::read_answer(response.get()?.get_answer()?)?)
}

async fn call_ask_permit<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    instance: &Instance,
    asker: &Asker,
) -> Result<(), Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.ask_permit_request();
    let mut params = request.get();
    params.set_runner(&*instance.runner);
    params.set_born(instance.started_at_ms);
    params.set_vm(&*asker.vm);
    params.set_peer_address(asker.address.to_string().as_str());
    request.send().promise.await?;
    Ok(())
}

async fn call_permit<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    instance: &Instance,
    is_returned: bool,
) -> Result<(), Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.permit_request();
    request.get().set_is_returned(is_returned);
    request.get().set_runner(&*instance.runner);
    request.get().set_born(instance.started_at_ms);
    request.send().promise.await?;
    Ok(())
}

async fn call_ask_credit<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    ask: &Ask,
) -> Result<(), Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.ask_credit_request();
    let mut params = request.get();
    params.set_peer_address(ask.address.to_string().as_str());
    let out = params.init_entries(ask.entries.len() as u32);
    wire_cap::write_entries(&ask.entries, out);
    request.send().promise.await?;
    Ok(())
}

async fn call_credit<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    answers: &[cap::Answer],
) -> Result<(), Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.credit_request();
    let out = request.get().init_answers(answers.len() as u32);
    wire_cap::write_answers(answers, out);
    request.send().promise.await?;
    Ok(())
}

async fn call_report_load<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    report: &Report,
) -> Result<Option<Admission>, Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.report_load_request();
    overload::write_report(report, request.get().init_report());
    let response = request.send().promise.await?;
    Ok(overload::read_admission(response.get()?.get_admission()?)?)
}

async fn call_tell_admission<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
    endpoint: &id::Endpoint,
    admission: Option<&Admission>,
) -> Result<(), Error> {
    let session = open_session(driver, address).await?;
    let mut request = session.fleet.tell_admission_request();
    let mut params = request.get();
    params.set_endpoint(&**endpoint);
    overload::write_admission(admission, params.init_admission());
    request.send().promise.await?;
    Ok(())
}

/// The session with a peer, opened if there is none.
async fn open_session<P: Protocol>(
    driver: &Driver<P>,
    address: SocketAddr,
) -> Result<Session, Error> {
    if let Some(session) = driver.connections().session(address) {
        return Ok(session);
    }
    let session = connect(address, driver.connections().sent.clone()).await?;
    let mut sessions = driver.connections().sessions.borrow_mut();
    sessions.insert(address, session.clone());
    Ok(session)
}

async fn connect(address: SocketAddr, sent: WriteCounter) -> Result<Session, Error> {
    let stream = TcpStream::connect_addr(address).await?;
    socket::configure(&stream, Some(UNACKNOWLEDGED_TIMEOUT))?;
    let connection = Connection::new(stream.into_poll_io()?, sent);
    let options = reader_options();
    let network = VatNetwork::new(connection.clone(), connection, Side::Client, options);
    let mut system = RpcSystem::new(Box::new(network), None);
    let fleet: fleet::Client = system.bootstrap(Side::Server);
    let (close, closed) = oneshot::channel::<()>();
    monoio::spawn(async move {
        select(system, closed).await;
    });
    Ok(Session {
        fleet,
        _close: Rc::new(close),
    })
}

/// Limits of the messages that peers send.
fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS_MAX));
    options
}

fn encode(view: member::View) -> view::View {
    let source = view
        .manifest
        .as_ref()
        .map(|manifest| manifest.source.clone());
    view.with_manifest(source)
}
