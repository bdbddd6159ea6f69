//! A small fleet on loopback addresses within this process, with one thread per entry VM and one
//! for the stand-ins.

use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::thread::JoinHandle;
use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use hornbeamtiller_http::client::Client;
use hornbeamtiller_node::{Flags, Node};
use hornbeamtiller_standin::control;
use hornbeamtiller_standin::deployment::{Deployment, SERVICE_TIME};
use hornbeamtiller_standin::fixture::{self, Fixture};
use hornbeamtiller_standin::observed::Observed;
use hornbeamtiller_standin::platform::Vm;
use http::Method;

use crate::caller::{self, Request};
use crate::error::{Error, Result};

/// Fleet key; the fleet exists for one run and listens on loopback addresses only.
const LOOPBACK_KEY: &str = "key of a fleet on loopback addresses";
/// Operator token of the fleet.
pub const OPERATOR_TOKEN: &str = "operator of a loopback fleet";
/// Interval at which threads check their stop flag, and waits check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for a component of the fleet to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// One entry VM of the fleet.
pub struct Member {
    /// Number of the VM.
    pub vm: u32,
    /// Zone of the VM.
    pub zone: String,
    /// Address of the caller listener.
    pub caller: SocketAddr,
    /// Address of the peer listener.
    pub peer: SocketAddr,
    /// Address of the operator listener.
    pub operator: SocketAddr,
    /// CPU clock of the VM's thread.
    pub cpu_clock: ThreadClock,
    signals: Arc<Signals>,
    thread: Option<JoinHandle<()>>,
}

/// Requests from the fleet to the thread of a member.
#[derive(Debug, Default)]
struct Signals {
    stop: AtomicBool,
    /// Time for which to block the thread, in milliseconds, like a paused process; 0 for none.
    pause_ms: AtomicU64,
}

/// CPU clock of a thread, which any thread can read.
#[derive(Debug, Clone, Copy)]
pub struct ThreadClock(libc::clockid_t);

impl ThreadClock {
    /// Returns the clock of the calling thread.
    pub fn current() -> Self {
        let mut clock = 0;
        // SAFETY: The handle is that of the calling thread, and `clock` is valid for writes.
        unsafe { libc::pthread_getcpuclockid(libc::pthread_self(), &mut clock) };
        Self(clock)
    }

    /// Returns the CPU time that the thread has used, or zero once it has ended.
    pub fn read(self) -> Duration {
        let mut time = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `time` is valid for writes; the clock of an ended thread returns an error without
        // writing.
        unsafe { libc::clock_gettime(self.0, &mut time) };
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}

/// The stand-ins of the fleet.
pub struct Standins {
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Name and address of each runner.
    pub runners: Vec<(String, SocketAddr)>,
    /// Addresses of the fault-injecting relays in front of the peer listeners, VM 1 first; empty if
    /// peers connect directly.
    pub relays: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// A running fleet.
pub struct Fleet {
    /// Deployment that the stand-ins represent.
    pub deployment: Deployment,
    /// The entry VMs.
    pub members: Vec<Member>,
    /// The stand-ins.
    pub standins: Standins,
}

impl Fleet {
    /// Starts the stand-ins and `nodes` entry VMs. The platform doesn't list the VMs until
    /// [`Fleet::register_and_wait`].
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if a component doesn't start.
    pub fn start(nodes: u32, settings: fixture::Settings) -> Result<Self> {
        let deployment = settings.deployment;
        let standins = Standins::start(settings)?;
        let mut members = Vec::new();
        for vm in 1..=nodes {
            members.push(Member::start(vm, deployment, &standins)?);
        }
        Ok(Self {
            deployment,
            members,
            standins,
        })
    }

    /// Registers the VMs with the platform and waits until each returns an entry for every VM, or 8
    /// entries, which is the most that a process returns.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if that takes longer than [`START_TIMEOUT`], and the errors of
    /// [`send_control_requests`].
    pub async fn register_and_wait(&self, client: &Client) -> Result<()> {
        send_control_requests(client, self.standins.control, self.address_updates()).await?;
        let deadline = std::time::Instant::now() + START_TIMEOUT;
        for member in &self.members {
            loop {
                let entries = caller::fetch_entries(client, member.caller).await;
                if entries.is_ok_and(|entries| entries.entries.len() == self.members.len().min(8)) {
                    break;
                }
                if std::time::Instant::now() > deadline {
                    return Err(Report::new(Error::Start(
                        "the fleet: not all VMs see each other",
                    )));
                }
                monoio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Starts another process in the place of one that has ended; send
    /// [`Fleet::address_updates`] to the stand-ins afterwards.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if it doesn't start.
    pub fn restart_member(&mut self, index: usize) -> Result<()> {
        let vm = self.members[index].vm;
        self.members[index] = Member::start(vm, self.deployment, &self.standins)?;
        Ok(())
    }

    /// Builds the control requests that give the stand-ins the addresses of all VMs.
    pub fn address_updates(&self) -> Vec<Request> {
        let mut requests = Vec::new();
        for member in self
            .members
            .iter()
            .filter(|_| !self.standins.relays.is_empty())
        {
            let update = serde_json::json!({ "vm": member.vm, "target": member.peer.to_string() });
            requests.push(Request::post("/control/relay", &update));
        }
        let vms: Vec<Vm> = self
            .members
            .iter()
            .map(|member| self.platform_entry(member))
            .collect();
        let body = serde_json::to_string(&vms).unwrap_or_default();
        requests.push(Request::new(Method::PUT, "/control/vms").body(body));
        requests
    }

    fn platform_entry(&self, member: &Member) -> Vm {
        let relay = self.standins.relays.get(member.vm as usize - 1).copied();
        Vm {
            id: member.vm,
            zone: member.zone.clone(),
            caller: member.caller,
            peer: relay.unwrap_or(member.peer),
            leaving: false,
        }
    }

    /// Fetches what the stand-ins have observed.
    ///
    /// # Errors
    ///
    /// As [`caller::send_for_json`].
    pub async fn fetch_observed(&self, client: &Client) -> Result<Observed> {
        caller::send_for_json(client, self.standins.control, Request::get("/observed")).await
    }

    /// Returns the operator addresses of all VMs.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| member.operator).collect()
    }

    /// Stops all threads and waits for them to end.
    pub fn stop(self) {
        self.members.into_iter().for_each(Member::stop);
        self.standins.stop();
    }
}

/// Starts a fleet, runs a function on it whose tasks share it, and then stops the fleet.
///
/// # Errors
///
/// Those of the function, and [`Error::Start`] if the fleet doesn't start.
pub fn run_with_fleet<T, F>(
    nodes: u32,
    settings: fixture::Settings,
    body: impl FnOnce(Rc<RefCell<Fleet>>) -> F,
) -> Result<T>
where
    F: std::future::Future<Output = Result<T>>,
{
    let fleet = Rc::new(RefCell::new(Fleet::start(nodes, settings)?));
    let outcome = crate::block_on(body(fleet.clone()));
    if let Ok(fleet) = Rc::try_unwrap(fleet) {
        fleet.into_inner().stop();
    }
    outcome
}

/// Returns settings for the stand-ins of Myto Szlak, with ports chosen by the system and a
/// fault-injecting relay in front of each of the first `relays` VMs.
pub fn myto_settings(relays: u32) -> fixture::Settings {
    fixture::Settings {
        deployment: Deployment::Myto,
        listen: SocketAddr::from(([127, 0, 1, 1], 0)),
        service_time: SERVICE_TIME,
        relays,
        configure_engine: |_| {},
    }
}

/// Sends requests to the control listener of the stand-ins, in order.
///
/// # Errors
///
/// As [`caller::send_for_json`].
pub async fn send_control_requests(
    client: &Client,
    control: SocketAddr,
    requests: Vec<Request>,
) -> Result<()> {
    for request in requests {
        caller::send_for_json::<serde_json::Value>(client, control, request).await?;
    }
    Ok(())
}

impl Member {
    /// Starts an entry VM on its own thread.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if it doesn't start.
    pub fn start(vm: u32, deployment: Deployment, standins: &Standins) -> Result<Self> {
        let zones = deployment.zones();
        let zone = zones[(vm as usize - 1) % zones.len()].to_owned();
        let mut flags = loopback_flags(vm, &zone, standins.platform);
        flags.peer_address = standins.relays.get(vm as usize - 1).copied();
        let signals = Arc::new(Signals::default());
        let thread_signals = signals.clone();
        let (sender, receiver) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(format!("vm-{vm}"))
            .spawn(move || run_node(flags, &thread_signals, &sender))
            .change_context(Error::Start("a thread"))?;
        let addresses = receiver
            .recv_timeout(START_TIMEOUT)
            .change_context(Error::Start("an entry VM"))?;
        let ([caller, peer, operator], cpu_clock) = addresses;
        Ok(Self {
            vm,
            zone,
            caller,
            peer,
            operator,
            cpu_clock,
            signals,
            thread: Some(thread),
        })
    }

    /// Stops the thread and waits for it to end.
    pub fn stop(mut self) {
        self.crash();
    }

    /// Stops the thread without a graceful leave, as a crash of the process would, and waits for it
    /// to end.
    pub fn crash(&mut self) {
        self.signals.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }

    /// Blocks the thread for `time`, like a paused process.
    pub fn pause(&self, time: Duration) {
        self.signals
            .pause_ms
            .store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Whether the thread has ended, which it does by itself after a graceful leave.
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

/// Returns the flags of an entry VM on a loopback address, with ports chosen by the system.
pub fn loopback_flags(vm: u32, zone: &str, platform: SocketAddr) -> Flags {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, (vm >> 8) as u8, vm as u8));
    let any_port = SocketAddr::new(ip, 0);
    Flags {
        vm,
        zone: zone.to_owned(),
        caller_listen: any_port,
        peer_listen: any_port,
        operator_listen: any_port,
        caller_address: None,
        peer_address: None,
        platform,
        key: LOOPBACK_KEY.to_owned(),
        previous_key: None,
        operator_token: OPERATOR_TOKEN.to_owned(),
        keep_entries_ms: 3_000,
        token_life_s: 600,
        body_bytes: 1 << 20,
        head_bytes: 16 << 10,
        head_timeout_ms: 30_000,
        body_timeout_ms: 20_000,
        answer_bytes: 4 << 20,
        connections: 10_000,
        timeline: 20_000,
        seed: Some(u64::from(vm)),
    }
}

fn run_node(
    flags: Flags,
    signals: &Signals,
    sender: &mpsc::Sender<([SocketAddr; 3], ThreadClock)>,
) {
    let Ok(settings) = flags.check() else {
        return;
    };
    let result = hornbeamtiller_http::runtime::block_on(async {
        let node = match Node::open(settings) {
            Ok(node) => node,
            Err(report) => {
                eprintln!("{report:?}");
                return;
            }
        };
        let addresses = [
            node.caller_address(),
            node.peer_address(),
            node.operator_address(),
        ];
        _ = sender.send((addresses, ThreadClock::current()));
        while !signals.stop.load(Ordering::Relaxed) && !node.has_left() {
            let pause = signals.pause_ms.swap(0, Ordering::Relaxed);
            // Blocks the thread so that none of the node's tasks run.
            std::thread::sleep(Duration::from_millis(pause));
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        if node.has_left() {
            node.close();
        } else {
            node.abort();
        }
        // Lets the tasks end and close their sockets, which the runtime doesn't do by itself.
        monoio::time::sleep(5 * POLL_INTERVAL).await;
    });
    if let Err(error) = result {
        eprintln!("can't create the runtime: {error}");
    }
}

impl Standins {
    fn start(settings: fixture::Settings) -> Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let thread_stop = stop.clone();
        let (sender, receiver) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("stand-ins".to_owned())
            .spawn(move || run_standins(&settings, &thread_stop, &sender))
            .change_context(Error::Start("a thread"))?;
        let addresses = receiver
            .recv_timeout(START_TIMEOUT)
            .change_context(Error::Start("the stand-ins"))?;
        let StandinAddresses {
            control,
            platform,
            runners,
            relays,
        } = addresses;
        Ok(Self {
            control,
            platform,
            runners,
            relays,
            stop,
            thread: Some(thread),
        })
    }

    fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

struct StandinAddresses {
    control: SocketAddr,
    platform: SocketAddr,
    runners: Vec<(String, SocketAddr)>,
    relays: Vec<SocketAddr>,
}

fn run_standins(
    settings: &fixture::Settings,
    stop: &AtomicBool,
    sender: &mpsc::Sender<StandinAddresses>,
) {
    let result = hornbeamtiller_http::runtime::block_on(async {
        let fixture = Rc::new(Fixture::open(settings)?);
        let any_port = SocketAddr::new(settings.listen.ip(), 0);
        let control = control::bind(any_port, fixture.clone())?;
        let runners = fixture
            .runners()
            .iter()
            .map(|(runner, address)| (runner.id.clone(), *address))
            .collect();
        _ = sender.send(StandinAddresses {
            control: control.address(),
            platform: fixture.platform_address(),
            runners,
            relays: fixture.relay_addresses(),
        });
        while !stop.load(Ordering::Relaxed) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Ok::<_, std::io::Error>(())
    });
    if let Err(error) = result.and_then(|inner| inner) {
        eprintln!("can't start the stand-ins: {error}");
    }
}
