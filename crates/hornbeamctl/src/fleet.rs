//! A small fleet on loopback addresses in this process: a thread for each entry VM, and one for
//! the stand-ins.

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

use crate::caller::{self, Ask};
use crate::error::{Error, Result};

/// Key of a fleet that lives for one run on loopback addresses only.
const LOOPBACK_KEY: &str = "key of a fleet on loopback addresses";
/// Operator token of such a fleet.
pub const OPERATOR_TOKEN: &str = "operator of a loopback fleet";
/// Interval at which threads look whether to end.
const STOP_CHECK: Duration = Duration::from_millis(20);
/// Time for a part of the fleet to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// One entry VM of the fleet.
pub struct Member {
    /// Its number.
    pub vm: u32,
    /// Its zone.
    pub zone: String,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub operator: SocketAddr,
    /// Processor time of its thread.
    pub processor: ThreadClock,
    orders: Arc<Orders>,
    thread: Option<JoinHandle<()>>,
}

/// What a member's thread is to do besides its work.
#[derive(Debug, Default)]
struct Orders {
    stop: AtomicBool,
    /// Milliseconds for which the thread is to do nothing at all, as a paused process.
    pause_ms: AtomicU64,
}

/// The processor time of one thread, readable from others.
#[derive(Debug, Clone, Copy)]
pub struct ThreadClock(libc::clockid_t);

impl ThreadClock {
    /// The clock of the calling thread.
    pub fn current() -> Self {
        let mut clock = 0;
        // SAFETY: The handle is of the running thread, and `clock` is valid for writes.
        unsafe { libc::pthread_getcpuclockid(libc::pthread_self(), &mut clock) };
        Self(clock)
    }

    /// Processor time so far; zero once the thread has ended.
    pub fn read(self) -> Duration {
        let mut time = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `time` is valid for writes; an ended thread's clock gives an error and no write.
        unsafe { libc::clock_gettime(self.0, &mut time) };
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}

/// The stand-ins of the fleet.
pub struct Standins {
    /// Where their control listener is.
    pub control: SocketAddr,
    /// Where the platform is.
    pub platform: SocketAddr,
    /// Where each runner is.
    pub runners: Vec<(String, SocketAddr)>,
    /// Stretches of network before the peer listeners, VM 1 first.
    pub relays: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// A running fleet.
pub struct Fleet {
    /// Whose stand-ins it has.
    pub deployment: Deployment,
    /// The entry VMs.
    pub members: Vec<Member>,
    /// The stand-ins.
    pub standins: Standins,
}

impl Fleet {
    /// Starts the stand-ins and `nodes` entry VMs, and lists the VMs at the platform.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] where a part does not start.
    pub fn open(nodes: u32, settings: fixture::Settings) -> Result<Self> {
        let deployment = settings.deployment;
        let standins = Standins::open(settings)?;
        let mut members = Vec::new();
        for vm in 1..=nodes {
            members.push(Member::open(vm, deployment, &standins)?);
        }
        Ok(Self {
            deployment,
            members,
            standins,
        })
    }

    /// Puts the VMs on the platform's list and waits until each takes callers.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] where that takes too long.
    pub async fn settle(&self, client: &Client) -> Result<()> {
        order(client, self.standins.control, self.placement()).await?;
        let deadline = std::time::Instant::now() + START_TIMEOUT;
        for member in &self.members {
            loop {
                let entries = caller::entries(client, member.caller).await;
                if entries.is_ok_and(|entries| entries.entries.len() == self.members.len().min(8)) {
                    break;
                }
                if std::time::Instant::now() > deadline {
                    return Err(Report::new(Error::Start(
                        "the fleet: not all VMs see each other",
                    )));
                }
                monoio::time::sleep(STOP_CHECK).await;
            }
        }
        Ok(())
    }

    /// Puts another process in the place of one that has ended; [`Fleet::placement`] is to be sent
    /// after it.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] where it does not start.
    pub fn reopen(&mut self, at: usize) -> Result<()> {
        let vm = self.members[at].vm;
        self.members[at] = Member::open(vm, self.deployment, &self.standins)?;
        Ok(())
    }

    /// Orders to the stand-ins that say where all VMs are.
    pub fn placement(&self) -> Vec<Ask> {
        let mut asks = Vec::new();
        for member in self
            .members
            .iter()
            .filter(|_| !self.standins.relays.is_empty())
        {
            let order = serde_json::json!({ "vm": member.vm, "target": member.peer.to_string() });
            asks.push(Ask::post("/control/relay", &order));
        }
        let vms: Vec<Vm> = self
            .members
            .iter()
            .map(|member| self.listed(member))
            .collect();
        let body = serde_json::to_string(&vms).unwrap_or_default();
        asks.push(Ask::new(Method::PUT, "/control/vms").body(body));
        asks
    }

    fn listed(&self, member: &Member) -> Vm {
        let relay = self.standins.relays.get(member.vm as usize - 1).copied();
        Vm {
            id: member.vm,
            zone: member.zone.clone(),
            caller: member.caller,
            peer: relay.unwrap_or(member.peer),
            leaving: false,
        }
    }

    /// What the stand-ins saw.
    ///
    /// # Errors
    ///
    /// As [`caller::json`].
    pub async fn observed(&self, client: &Client) -> Result<Observed> {
        caller::json(client, self.standins.control, Ask::get("/observed")).await
    }

    /// Operator addresses of all VMs.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| member.operator).collect()
    }

    /// Ends all threads.
    pub fn close(self) {
        self.members.into_iter().for_each(Member::close);
        self.standins.close();
    }
}

/// Runs a function on a fleet that is shared by its tasks, and ends the fleet after it.
///
/// # Errors
///
/// Those of the function, and [`Error::Start`].
pub fn with_shared<T, F>(
    nodes: u32,
    settings: fixture::Settings,
    run: impl FnOnce(Rc<RefCell<Fleet>>) -> F,
) -> Result<T>
where
    F: std::future::Future<Output = Result<T>>,
{
    let fleet = Rc::new(RefCell::new(Fleet::open(nodes, settings)?));
    let outcome = crate::block_on(run(fleet.clone()));
    if let Ok(fleet) = Rc::try_unwrap(fleet) {
        fleet.into_inner().close();
    }
    outcome
}

/// Stand-ins of Myto Szlak on addresses that the system chooses, with a stretch of network before
/// each of `relays` VMs.
pub fn myto(relays: u32) -> fixture::Settings {
    fixture::Settings {
        deployment: Deployment::Myto,
        listen: SocketAddr::from(([127, 0, 1, 1], 0)),
        service_time: SERVICE_TIME,
        relays,
        configure_engine: |_| {},
    }
}

/// Gives the stand-ins orders.
///
/// # Errors
///
/// As [`caller::json`].
pub async fn order(client: &Client, control: SocketAddr, asks: Vec<Ask>) -> Result<()> {
    for ask in asks {
        caller::json::<serde_json::Value>(client, control, ask).await?;
    }
    Ok(())
}

impl Member {
    /// Starts one entry VM on a thread of its own.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] where it does not start.
    pub fn open(vm: u32, deployment: Deployment, standins: &Standins) -> Result<Self> {
        let zones = deployment.zones();
        let zone = zones[(vm as usize - 1) % zones.len()].to_owned();
        let mut flags = flags(vm, &zone, standins.platform);
        flags.peer_address = standins.relays.get(vm as usize - 1).copied();
        let orders = Arc::new(Orders::default());
        let given = orders.clone();
        let (sender, receiver) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(format!("vm-{vm}"))
            .spawn(move || run_node(flags, &given, &sender))
            .change_context(Error::Start("a thread"))?;
        let addresses = receiver
            .recv_timeout(START_TIMEOUT)
            .change_context(Error::Start("an entry VM"))?;
        let ([caller, peer, operator], processor) = addresses;
        Ok(Self {
            vm,
            zone,
            caller,
            peer,
            operator,
            processor,
            orders,
            thread: Some(thread),
        })
    }

    /// Ends the thread.
    pub fn close(mut self) {
        self.crash();
    }

    /// Ends the thread at once, as the end of the process would.
    pub fn crash(&mut self) {
        self.orders.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }

    /// Stops the thread for a while, as a paused process.
    pub fn pause(&self, time: Duration) {
        self.orders
            .pause_ms
            .store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Tells whether the thread has ended by itself, as it does after a graceful leave.
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

/// Flags of an entry VM on loopback addresses with ports that the system chooses.
pub fn flags(vm: u32, zone: &str, platform: SocketAddr) -> Flags {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, (vm >> 8) as u8, vm as u8));
    let any = SocketAddr::new(ip, 0);
    Flags {
        vm,
        zone: zone.to_owned(),
        caller_listen: any,
        peer_listen: any,
        operator_listen: any,
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

fn run_node(flags: Flags, orders: &Orders, started: &mpsc::Sender<([SocketAddr; 3], ThreadClock)>) {
    let Ok(settings) = flags.check() else {
        return;
    };
    let run = hornbeamtiller_http::runtime::block_on(async {
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
        _ = started.send((addresses, ThreadClock::current()));
        while !orders.stop.load(Ordering::Relaxed) && !node.has_left() {
            let pause = orders.pause_ms.swap(0, Ordering::Relaxed);
            // Blocks the whole thread, so that nothing of the process goes on.
            std::thread::sleep(Duration::from_millis(pause));
            monoio::time::sleep(STOP_CHECK).await;
        }
        if node.has_left() {
            node.close();
        } else {
            node.abort();
        }
        // The tasks end and close their sockets; the runtime does not do so by itself.
        monoio::time::sleep(5 * STOP_CHECK).await;
    });
    if let Err(error) = run {
        eprintln!("runtime: {error}");
    }
}

impl Standins {
    fn open(settings: fixture::Settings) -> Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let (sender, receiver) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("stand-ins".to_owned())
            .spawn(move || run_standins(&settings, &stopped, &sender))
            .change_context(Error::Start("a thread"))?;
        let started = receiver
            .recv_timeout(START_TIMEOUT)
            .change_context(Error::Start("the stand-ins"))?;
        let Started {
            control,
            platform,
            runners,
            relays,
        } = started;
        Ok(Self {
            control,
            platform,
            runners,
            relays,
            stop,
            thread: Some(thread),
        })
    }

    fn close(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

struct Started {
    control: SocketAddr,
    platform: SocketAddr,
    runners: Vec<(String, SocketAddr)>,
    relays: Vec<SocketAddr>,
}

fn run_standins(settings: &fixture::Settings, stop: &AtomicBool, started: &mpsc::Sender<Started>) {
    let run = hornbeamtiller_http::runtime::block_on(async {
        let fixture = Rc::new(Fixture::open(settings)?);
        let any = SocketAddr::new(settings.listen.ip(), 0);
        let control = control::bind(any, fixture.clone())?;
        let runners = fixture
            .runners()
            .iter()
            .map(|(runner, address)| (runner.id.clone(), *address))
            .collect();
        _ = started.send(Started {
            control: control.address(),
            platform: fixture.platform_address(),
            runners,
            relays: fixture.relay_addresses(),
        });
        while !stop.load(Ordering::Relaxed) {
            monoio::time::sleep(STOP_CHECK).await;
        }
        Ok::<_, std::io::Error>(())
    });
    if let Err(error) = run.and_then(|inner| inner) {
        eprintln!("stand-ins: {error}");
    }
}
