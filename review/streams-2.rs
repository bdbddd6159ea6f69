//! Engines of several software versions that stream and list what they hold, and clients that take streams up again.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// Events of a short answer, and of a long one.
pub const SHORT: u64 = 5;
pub const LONG: u64 = 60;
const EVENT_PAUSE: Duration = Duration::from_millis(180);
/// The time limit of a client, from its first request.
const TIME_LIMIT: Duration = Duration::from_secs(14);
/// A client leaves a stream after four times the objective without an event.
const PATIENCE: Duration = Duration::from_millis(3_600);

/// A manifest with one service of engines and a resumable route to it.
pub fn summary_manifest() -> String {
    let summary = "{\"name\":\"summary\",\"host\":\"app.example\",\"path_prefix\":\"/summary/\",\"kind\":\"streaming\",\
        \"timeout_ms\":14000,\"target_latency_ms\":900,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\
        \"sticky_sessions\":true,\"resumable\":true,\"gap_target_ms\":300}";
    let llm = "\"services\":[{\"name\":\"llm\",\"health_check_path\":\"/healthz\",\"max_connections\":360,\
        \"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":101752,\
        \"kv_token_bytes\":35136,\"link_mbps\":2900000.0,\"kv_ttl_s\":0.5}},";
    manifest(7, &[summary.to_owned()], &["app"]).replace("\"services\":[", llm)
}

/// Starts engines of one version and has them listed.
pub fn start_engines(store: &Store, name: &str, version: &'static str, count: usize, record: &Record) -> Vec<Engine> {
    let engines: Vec<Engine> =
        (0..count).map(|number| Engine::start(&format!("i-{name}-{number}"), version, record)).collect();
    engines.iter().for_each(|engine| store.put(&format!("servers/{}", engine.id), &engine.entry()));
    engines
}

/// What a client has got of its stream, over all its tries.
pub struct Outcome {
    pub versions: BTreeSet<String>,
    pub is_whole: bool,
    /// The status of each try after the first, and when it was sent.
    pub taken_up: Vec<(Instant, u16)>,
}

pub struct Client {
    record: Record,
    fronts: Vec<SocketAddr>,
    session: usize,
    name: &'static str,
    events: u64,
}

impl Client {
    pub fn new(record: &Record, fronts: &[SocketAddr], session: usize, name: &'static str, events: u64) -> Self {
        Self { record: record.clone(), fronts: fronts.to_vec(), session, name, events }
    }

    /// Reads the stream, and takes it up again where its channel breaks.
    pub fn run(&self, pauses: &[Duration]) -> Outcome {
        let began = Instant::now();
        let mut outcome = Outcome { versions: BTreeSet::new(), is_whole: false, taken_up: Vec::new() };
        let first_id = format!("{}-{}-0", self.name, self.session);
        let mut last = 0;
        for attempt in 0..=pauses.len() {
            let left = TIME_LIMIT.saturating_sub(began.elapsed());
            if left < Duration::from_millis(500) {
                break;
            }
            let resumes = if last > 0 {
                format!("Last-Event-Id: {last}\r\nResumes: {first_id}\r\n")
            } else {
                String::new()
            };
            // The first part is shared by all, the last one belongs to the session.
            let request = format!(
                "POST /summary/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {}-{}-{attempt}\r\nModel: m\r\n\
                 Token-Counts: 600,{}\r\nPrompt-Prefix: 5c1e07a2:200,{:x}:400\r\n{resumes}Deadline-Ms: {}\r\n\
                 Content-Length: 2\r\n\r\n{{}}",
                self.name,
                self.session,
                self.events,
                0xa000 + self.session,
                left.as_millis()
            );
            let front = self.fronts[(self.session + attempt) % self.fronts.len()];
            let sent_at = Instant::now();
            let (status, ended) = self.read(front, &request, &mut last, &mut outcome);
            if attempt > 0 {
                outcome.taken_up.push((sent_at, status));
            }
            self.record.line(format!(
                "session {}, {} request, attempt {attempt}: {ended}, last event {last}",
                self.session, self.name
            ));
            if last >= self.events {
                outcome.is_whole = true;
                break;
            }
            if let Some(pause) = pauses.get(attempt) {
                thread::sleep(*pause);
            }
        }
        outcome
    }

    fn read(&self, front: SocketAddr, request: &str, last: &mut u64, outcome: &mut Outcome) -> (u16, String) {
        let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            return (0, "no channel".to_owned());
        };
        let _ = stream.set_read_timeout(Some(PATIENCE));
        if stream.write_all(request.as_bytes()).is_err() {
            return (0, "channel closed".to_owned());
        }
        let mut reader = BufReader::new(stream);
        let Ok(Some(head)) = read_head(&mut reader) else {
            return (0, "no answer".to_owned());
        };
        if head.status() != 200 {
            return (head.status(), format!("status {}", head.status()));
        }
        // Chunk sizes and blank lines are passed over.
        let mut lines = reader.lines();
        while let Some(Ok(line)) = lines.next() {
            if let Some(id) = line.strip_prefix("id: ") {
                *last = id.parse().unwrap_or(*last);
            }
            if let Some(version) = line.strip_prefix("data: ") {
                outcome.versions.insert(version.to_owned());
            }
            if line == "0" {
                return (200, "ended".to_owned());
            }
        }
        (200, "broken off".to_owned())
    }
}

/// A decode runner that tells which parts it holds.
pub struct Engine {
    pub id: String,
    version: &'static str,
    address: SocketAddr,
    born: u64,
    state: Arc<State>,
}

struct State {
    has_crashed: AtomicBool,
    held: Mutex<BTreeMap<String, String>>,
    open: Mutex<Vec<TcpStream>>,
}

impl Engine {
    pub fn start(id: &str, version: &'static str, record: &Record) -> Self {
        let listener = TcpListener::bind(("127.0.0.4", 0)).expect("a port for an engine");
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            has_crashed: AtomicBool::new(false),
            held: Mutex::default(),
            open: Mutex::default(),
        });
        let (serving, name, record) = (state.clone(), id.to_owned(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // With the listener new channels are refused.
                if serving.has_crashed.load(Ordering::Relaxed) {
                    return;
                }
                let (state, name, record) = (serving.clone(), name.clone(), record.clone());
                state.open.lock().unwrap().push(stream.try_clone().unwrap());
                thread::spawn(move || serve(stream, &state, &name, version, &record));
            }
        });
        Self { id: id.to_owned(), version, address, born: unix_millis(), state }
    }

    pub fn entry(&self) -> String {
        let entry = runner_entry("llm", self.address, "ready", self.born, 1);
        let entry = entry.replace("\"version\":\"v1\"", &format!("\"version\":\"{}\"", self.version));
        entry.replace("\"slots\":6,", "\"slots\":64,\"stage\":\"decode\",")
    }

    pub fn crash(&self) {
        self.state.has_crashed.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        for stream in self.state.open.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, state: &State, name: &str, version: &str, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = read_message(&mut reader) {
        if message.path().starts_with("/kv-list") {
            let held = state.held.lock().unwrap();
            let held: Vec<String> = held.iter().map(|(part, tokens)| format!("[\"\",\"{part}\",{tokens},\"m\"]")).collect();
            record.line(format!("{name} lists {} parts", held.len()));
            let body = format!("{{\"epoch\":1,\"next\":1,\"held\":[{}]}}", held.join(","));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let request = message.field("request-id").unwrap_or("").to_owned();
        let after: u64 = message.field("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        record.line(format!("{name} ({version}) runs {request} after event {after}"));
        for part in message.field("prompt-prefix").unwrap_or("").split(',') {
            if let Some((part, tokens)) = part.split_once(':') {
                state.held.lock().unwrap().insert(part.to_owned(), tokens.to_owned());
            }
        }
        let events = if request.starts_with("first") { SHORT } else { LONG };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        for id in after + 1..=events {
            thread::sleep(if events == SHORT { Duration::from_millis(5) } else { EVENT_PAUSE });
            let event = format!("id: {id}\ndata: {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            // A request whose channel has closed is dropped; its parts stay.
            if writer.write_all(chunk.as_bytes()).is_err() {
                record.line(format!("{name} drops {request}"));
                return;
            }
        }
        if writer.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
    let _ = reader.read(&mut [0]);
}
