//! Small stand-ins for the scripts of this review, with the standard library alone: the platform's store, plain
//! runners, clients, and the start and end of the project's own processes. Everything is on loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = std::fs::File::create(format!("{folder}/record.txt")).expect("record.txt");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {}", self.now(), text.as_ref());
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} s  {}", self.now(), text.as_ref());
        self.line(text);
    }
}

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Ends with the code for a case that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    std::process::exit(2);
}

pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().unwrap()
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// One message read from a connection: first line, header fields in lower case, and body.
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            fields.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message { first: first.trim_end().to_owned(), fields, body: Vec::new() }))
}

/// Reads a complete message, whose body has a length or chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.field("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.field("content-length").and_then(|text| text.parse::<usize>().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// The platform's store: it can only be read. Its operator and runners write to it directly.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Items>, Condvar)>,
}

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Key, revision, and the value unless it was deleted.
    changes: Vec<(String, u64, Option<Vec<u8>>)>,
    is_closed: bool,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().unwrap();
        let items = Items { revision: 10, ..Items::default() };
        let store = Self { address, state: Arc::new((Mutex::new(items), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_closed() {
                    return;
                }
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.state.0.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.items.insert(key.to_owned(), (value.as_bytes().to_vec(), revision));
        items.changes.push((key.to_owned(), revision, Some(value.as_bytes().to_vec())));
        self.state.1.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut items = self.state.0.lock().unwrap();
        if items.items.remove(key).is_none() {
            return;
        }
        items.revision += 1;
        let revision = items.revision;
        items.changes.push((key.to_owned(), revision, None));
        self.state.1.notify_all();
    }

    /// Ends all connections and takes no further ones.
    pub fn close(&self) {
        self.state.0.lock().unwrap().is_closed = true;
        self.state.1.notify_all();
        // The listener sees that it is closed.
        let _ = TcpStream::connect(self.address);
    }

    fn is_closed(&self) -> bool {
        self.state.0.lock().unwrap().is_closed
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        loop {
            // A request is one packet here, so a timeout comes between two of them.
            match reader.fill_buf() {
                Ok([]) => return,
                Ok(_) => {}
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    if self.is_closed() {
                        return;
                    }
                    continue;
                }
                Err(_) => return,
            }
            let Ok(Some(request)) = read_message(&mut reader) else {
                return;
            };
            let Some(body) = self.answer(request.path()) else {
                return;
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> Option<String> {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let find = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/")).next()
        };
        let prefix = find("path_prefix").unwrap_or_default();
        let mut items = self.state.0.lock().unwrap();
        if items.is_closed {
            return None;
        }
        if path == "/kv-range" {
            let list = items.items.iter().filter(|(key, _)| key.starts_with(&prefix));
            let list: Vec<String> = list
                .map(|(key, (value, revision))| describe(key, *revision, Some(value)))
                .collect();
            let revision = items.revision;
            return Some(format!(
                "{{\"items\":[{}],\"truncated\":false,\"store_revision\":{revision}}}",
                list.join(",")
            ));
        }
        let after: u64 = find("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait: u64 = find("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let changes = items.changes.iter();
            let changes = changes.filter(|(key, revision, _)| key.starts_with(&prefix) && *revision > after);
            let changes: Vec<String> = changes
                .map(|(key, revision, value)| describe(key, *revision, value.as_deref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let revision = items.revision;
                return Some(format!(
                    "{{\"events\":[{}],\"store_revision\":{revision}}}",
                    changes.join(",")
                ));
            }
            items = self.state.1.wait_timeout(items, left).unwrap().0;
            if items.is_closed {
                return None;
            }
        }
    }
}

fn describe(key: &str, revision: u64, value: Option<&[u8]>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value)
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

/// The entry of a plain runner in the store.
pub fn runner_entry(service: &str, address: SocketAddr, state: &str, born: u64, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
    )
}

/// A route of a manifest.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"app.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":{attempts}}}"
    )
}

/// A manifest with the limits of the operators' example.
pub fn manifest(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_check_path\":\"/healthz\",\"max_connections\":100,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// The addresses of one entry VM.
#[derive(Clone)]
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
}

impl Vm {
    pub fn new(number: u8) -> Self {
        let ip = format!("127.0.0.{}", 10 + number);
        Self {
            name: format!("front-{number}"),
            zone: format!("zone-{}", char::from(b'a' + (number - 1) % 3)),
            front: free_address(&ip),
            ready: free_address(&ip),
            control: free_address(&ip),
            directory: free_address(&ip),
        }
    }

    /// The settings of a process, with the bounds of Myto Szlak.
    pub fn settings(&self, seeds: &[SocketAddr], store: SocketAddr, memory_mb: u32) -> String {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "{{\"node_name\":\"{}\",\"role\":\"entry\",\"machine_class\":\"front\",\
             \"serves\":[\"front\",\"control\",\"directory\"],\"ip\":\"{}\",\"zone\":\"{}\",\"region\":\"r\",\
             \"listen\":{{\"front\":\"{}\",\"ready\":\"{}\",\"control\":\"{}\",\"directory\":\"{}\"}},\
             \"port_range\":[7660,7675],\"seeds\":[{}],\"bootstrap\":true,\
             \"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":{memory_mb},\"max_fds\":4100,\
             \"link_mbps\":1000.0,\"disk_mb\":0}},\"data_dir\":null,\"discovery\":\"platform\",\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\
             \"engine\",\"platform\"],\
             \"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stability_window_ms\":3000,\"ack_timeout_ms\":4000,\
             \"catch_up_s\":4,\"drain_timeout_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,\
             \"downgrade_slack_ms\":250,\"max_skew_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\
             \"budget_slack\":54,\"recovery_s\":12,\"transit_ms\":120,\"reuse_window_s\":3,\"enforce_fencing\":true,\
             \"lease_ms\":3000,\"thaw_slack_ms\":300,\"ttl_max_s\":5}},\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"read\",\"writes_per_s\":400,\"reads_per_s\":2000,\
             \"history_s\":20,\"value_bytes\":1048576,\"ttl_min_ms\":1000}}}}",
            self.name,
            self.front.ip(),
            self.zone,
            self.front,
            self.ready,
            self.control,
            self.directory,
            seeds.join(",")
        )
    }
}

/// A process of the deploy file.
pub struct Process {
    pub child: Child,
    pub settings: String,
    drained: Arc<AtomicU64>,
}

impl Process {
    /// Starts `target/release/hornbeamtiller gateway`, whose log goes to a file in the folder or is read at once.
    pub fn start(folder: &str, vm: &Vm, settings: &str) -> Self {
        let path = format!("{folder}/{}.json", vm.name);
        std::fs::write(&path, settings).expect("a settings file");
        let mut child = Command::new("target/release/hornbeamtiller")
            .arg("gateway")
            .env("HORNBEAMTILLER_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("target/release/hornbeamtiller: {error}")));
        let mut log = child.stdout.take().unwrap();
        let drained = Arc::new(AtomicU64::new(0));
        let count = drained.clone();
        let mut file = std::fs::File::create(format!("{folder}/{}.log", vm.name)).expect("a log file");
        let is_kept = std::env::var("KEEP_LOG").is_ok();
        thread::spawn(move || {
            let mut buffer = vec![0; 1 << 16];
            while let Ok(bytes @ 1..) = log.read(&mut buffer) {
                count.fetch_add(bytes as u64, Ordering::Relaxed);
                if is_kept {
                    let _ = file.write_all(&buffer[..bytes]);
                }
            }
        });
        Self { child, settings: path, drained }
    }

    /// Bytes of its log that were read.
    pub fn log_bytes(&self) -> u64 {
        self.drained.load(Ordering::Relaxed)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// A figure of `/proc/PID/status`, in KiB.
    pub fn memory_kib(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(name));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        number.unwrap_or(0)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a VM says that it is ready.
pub fn wait_until_ready(vm: &Vm) {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if exchange(vm.ready, request.as_bytes(), Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    cannot_run(&format!("{} does not get ready", vm.name));
}

/// Sends one request on a new connection and reads its answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A temporary folder that is removed when dropped.
pub struct Folder(pub String);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("hornbeamtiller-review-{}-{}", std::process::id(), unix_millis()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path.to_string_lossy().into_owned())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOG").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A request as it reached a runner.
pub struct Arrived {
    pub message: Message,
    pub at: Instant,
}

/// A plain runner. The handler gets each request that names this runner or none and returns the answer, or none to close
/// the connection.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    is_closed: Arc<AtomicBool>,
}

impl Runner {
    pub fn start(
        id: &str,
        ip: &str,
        handle: impl Fn(&Arrived) -> Option<String> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a runner");
        let address = listener.local_addr().unwrap();
        let is_closed = Arc::new(AtomicBool::new(false));
        let closed = is_closed.clone();
        let handle = Arc::new(handle);
        let name = id.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if closed.load(Ordering::Relaxed) {
                    return;
                }
                let (handle, name) = (handle.clone(), name.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut writer = stream.try_clone().unwrap();
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(message)) = read_message(&mut reader) {
                        let arrived = Arrived { message, at: Instant::now() };
                        let expected = arrived.message.field("expect-instance");
                        let answer = if expected.is_some_and(|expected| expected != name) {
                            let request = arrived.message.field("request-id").unwrap_or("");
                            Some(format!(
                                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                            ))
                        } else {
                            handle(&arrived)
                        };
                        let Some(answer) = answer else {
                            return;
                        };
                        if writer.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { id: id.to_owned(), address, born: unix_millis(), is_closed }
    }

    pub fn entry(&self, service: &str, state: &str, sequence: u64) -> String {
        runner_entry(service, self.address, state, self.born, sequence)
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.is_closed.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

/// The answer of a runner that has run a request.
pub fn answer(message: &Message, status: &str, body: &str) -> String {
    let request = message.field("request-id").unwrap_or("");
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {request}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
         Server-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The answer of a runner that has not run a request.
pub fn declined(message: &Message, extra: &str) -> String {
    let request = message.field("request-id").unwrap_or("");
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\n{extra}Content-Length: 0\r\n\r\n"
    )
}

/// How long a top-up takes; the sheet has 450 ms at most.
const TOPUP_WORK: Duration = Duration::from_millis(250);

/// Ordinary callers, each on a channel that it keeps, one request after the other.
#[derive(Clone, Default)]
pub struct Callers {
    served: Arc<AtomicU64>,
    /// Requests on kept channels that were closed without an answer.
    unanswered: Arc<Mutex<Vec<String>>>,
    /// Requests that the runner has begun.
    pub begun: Arc<Mutex<std::collections::HashSet<String>>>,
    is_over: Arc<AtomicBool>,
}

impl Callers {
    /// A sound runner for them.
    pub fn start_runner(&self, id: &str) -> Runner {
        let begun = self.begun.clone();
        Runner::start(id, "127.0.0.3", move |arrived| {
            let request = arrived.message.field("request-id").unwrap_or("");
            begun.lock().unwrap().insert(request.to_owned());
            thread::sleep(TOPUP_WORK);
            Some(answer(&arrived.message, "200 OK", "booked"))
        })
    }

    pub fn start(&self, front: SocketAddr, count: usize) {
        for caller in 0..count {
            let callers = self.clone();
            thread::spawn(move || callers.run(front, caller));
            // Spread over the time that a top-up takes.
            thread::sleep(TOPUP_WORK / count as u32);
        }
    }

    fn run(&self, front: SocketAddr, caller: usize) {
        let mut number = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(front) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let _ = stream.set_nodelay(true);
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut is_kept = false;
            while !self.is_over.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("ordinary-{caller}-{number}");
                let request = format!(
                    "POST /topup/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
                     Content-Length: 4\r\n\r\n5 zl"
                );
                let written = stream.write_all(request.as_bytes());
                match written.and_then(|()| read_message(&mut reader)) {
                    Ok(Some(answer)) if answer.status() == 200 => {
                        self.served.fetch_add(1, Ordering::Relaxed);
                        is_kept = true;
                    }
                    Ok(Some(_)) => {}
                    Ok(None) | Err(_) => {
                        if is_kept {
                            self.unanswered.lock().unwrap().push(id);
                        }
                        break;
                    }
                }
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Requests that were passed from a kept channel on to the runner and got no answer.
    pub fn lost(&self) -> usize {
        let begun = self.begun.lock().unwrap();
        self.unanswered.lock().unwrap().iter().filter(|id| begun.contains(*id)).count()
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}
