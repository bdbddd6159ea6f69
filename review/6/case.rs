//! A VM that reaches no runners has other VMs run its calls: a runner's failure without a seal is taken for "not run".

#[path = "../common-2.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::*;

const VMS: u8 = 3;
const RUNNERS: usize = 3;
const PAYMENTS: usize = 12;

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder")));
    let folder = Folder::create();
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    // A payment that is declined has run: the application has tried to book it.
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|number| {
            let (runs, record, name) = (runs.clone(), record.clone(), format!("i-{number}"));
            Runner::start(&name.clone(), "127.0.0.3", move |arrived| {
                let request = arrived.message.field("request-id").unwrap_or("").to_owned();
                thread::sleep(Duration::from_millis(40));
                if arrived.message.path().starts_with("/balance/") {
                    return Some(answer(&arrived.message, "200 OK", "balance"));
                }
                *runs.lock().unwrap().entry(request.clone()).or_default() += 1;
                record.line(format!("runner {name} runs {request} and answers 409"));
                let seal = if std::env::var("SEALED").is_ok() { "Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" } else { "" };
                let body = "declined";
                Some(format!(
                    "HTTP/1.1 409 Conflict\r\nRequest-Id: {request}\r\n{seal}Server-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                ))
            })
        })
        .collect();
    // The first VM reaches the runners through links that can be cut; the others reach them directly.
    let links: Vec<Link> = runners.iter().map(|runner| Link::start(runner.address)).collect();
    let routes = [
        route("pay", "/pay/", "non_idempotent", "app", 1_500, 1),
        route("balance", "/balance/", "idempotent", "app", 1_500, 2),
    ];
    let (near, far) = (Store::start("127.0.0.2"), Store::start("127.0.0.2"));
    for store in [&near, &far] {
        store.put("op/config", &manifest(7, &routes, &["app"]));
    }
    for (runner, link) in runners.iter().zip(&links) {
        near.put(&format!("servers/{}", runner.id), &runner.entry("app", "ready", 1));
        far.put(&format!("servers/{}", runner.id), &runner_entry("app", link.address, "ready", runner.born, 1));
    }

    let vms: Vec<Vm> = (1..=VMS).map(Vm::new).collect();
    let seeds: Vec<SocketAddr> = vms.iter().map(|vm| vm.control).collect();
    let processes: Vec<Process> = vms
        .iter()
        .enumerate()
        .map(|(number, vm)| {
            let store = if number == 0 { far.address } else { near.address };
            Process::start(&folder.0, vm, &vm.settings(&seeds, store, 110))
        })
        .collect();
    vms.iter().for_each(wait_until_ready);
    thread::sleep(Duration::from_secs(3));
    let first = &vms[0];
    for number in 0..10 {
        ask(&record, first, "GET /balance/x", &format!("before-{number}"));
    }
    if !is_calm() {
        record.say("the first VM is partitioned from all runners: its channels are reset, new ones are refused");
        links.iter().for_each(Link::cut);
    }
    for number in 0..10 {
        ask(&record, first, "GET /balance/x", &format!("after-{number}"));
        thread::sleep(Duration::from_millis(150));
    }
    let mut answers: BTreeMap<String, u16> = BTreeMap::new();
    for number in 0..PAYMENTS {
        let id = format!("payment-{number}");
        let status = ask(&record, first, "POST /pay/x", &id);
        answers.insert(id, status);
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(2));

    let runs = runs.lock().unwrap();
    let twice = runs.iter().filter(|(_, count)| **count > 1).count();
    let refused = answers.iter().filter(|(id, status)| matches!(status, 429 | 503 | 408 | 421) && runs.contains_key(*id));
    let refused = refused.count();
    for (id, count) in runs.iter() {
        record.line(format!("{id} ran {count} times, answered {}", answers.get(id).copied().unwrap_or(0)));
    }
    record.say(format!("{} of {PAYMENTS} payments ran, {twice} of them more than once", runs.len()));
    record.say(format!("{refused} ran and were answered with a status that says that they did not (REFUSED)"));
    if runs.is_empty() {
        cannot_run("no payment reached a runner");
    }
    record.say(if twice > 0 { "BROKEN: TWICE" } else { "held: nothing ran twice" });
    drop(processes);
    drop(folder);
    std::process::exit(i32::from(twice > 0));
}

/// Sends one request on a channel of its own; 0 if there is no answer.
fn ask(record: &Record, vm: &Vm, line: &str, id: &str) -> u16 {
    let length = if line.starts_with("POST") { "Content-Length: 4\r\n\r\n5 zl" } else { "\r\n" };
    let request = format!(
        "{line} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n{length}"
    );
    let answer = exchange(vm.front, request.as_bytes(), Duration::from_secs(3));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(format!("{} answers {id} with {status}", vm.name));
    status
}

/// The link from one VM to one runner.
struct Link {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    fn start(runner: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.5", 0)).expect("a port for a link");
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (cut, streams) = (is_cut.clone(), open.clone());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                // With the listener new channels are refused.
                if cut.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(far) = TcpStream::connect(runner) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let mut streams = streams.lock().unwrap();
                streams.extend([near.try_clone().unwrap(), far.try_clone().unwrap()]);
                for (from, to) in [(near.try_clone().unwrap(), far.try_clone().unwrap()), (far, near)] {
                    thread::spawn(move || copy(from, to));
                }
            }
        });
        Self { address, is_cut, open }
    }

    fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
        // The listener sees that it is cut.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; 1 << 16];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
