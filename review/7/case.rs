//! After the loss of all VMs, streams go on at another software version than the one that began them.

#[path = "../common-2.rs"]
mod common;
#[path = "../streams-2.rs"]
mod streams;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use common::*;
use streams::*;

const VMS: u8 = 2;
const SESSIONS: usize = 54;
/// Engines of v2, which serve first, and of v1, which come later: 9 in all, as on the sheet. One of v1 crashes.
const NEWER: usize = 3;
const OLDER: usize = 6;
/// Pauses before a client tries again.
const PAUSES: [Duration; 3] = [Duration::from_millis(1_200); 3];
/// The platform starts a killed process again after this.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// An entry goes after three status report intervals of silence.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder")));
    let folder = Folder::create();
    let store = Store::start("127.0.0.2");
    store.put("op/config", &summary_manifest());
    let _newer = start_engines(&store, "newer", "v2", NEWER, &record);

    let vms: Vec<Vm> = (1..=VMS).map(Vm::new).collect();
    let seeds: Vec<SocketAddr> = vms.iter().map(|vm| vm.control).collect();
    let start = |vm: &Vm| Process::start(&folder.0, vm, &vm.settings(&seeds, store.address, 110));
    let mut processes: Vec<Process> = vms.iter().map(start).collect();
    vms.iter().for_each(wait_until_ready);
    thread::sleep(Duration::from_secs(2));

    // The first request of each session, whose answer is complete.
    let fronts: Vec<SocketAddr> = vms.iter().map(|vm| vm.front).collect();
    for session in 0..SESSIONS {
        Client::new(&record, &fronts, session, "first", SHORT).run(&[]);
    }
    let older = start_engines(&store, "older", "v1", OLDER, &record);
    thread::sleep(Duration::from_secs(1));

    // The second one, whose answer takes long.
    let clients: Vec<_> = (0..SESSIONS)
        .map(|session| {
            let client = Client::new(&record, &fronts, session, "second", LONG);
            let running = thread::spawn(move || client.run(&PAUSES));
            thread::sleep(Duration::from_millis(25));
            running
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if !is_calm() {
        record.say("all processes of the system are killed, and an engine of v1 crashes");
        processes.clear();
        older[0].crash();
        thread::sleep(RESTART_DELAY);
        processes = vms.iter().map(start).collect();
        let (store, key) = (store.clone(), format!("servers/{}", older[0].id));
        thread::spawn(move || {
            thread::sleep(ENTRY_LIFETIME - RESTART_DELAY);
            store.delete(&key);
        });
    }
    let results: Vec<Outcome> = clients.into_iter().map(|client| client.join().unwrap()).collect();

    let begun = results.iter().filter(|result| !result.versions.is_empty()).count();
    let joined = results.iter().filter(|result| result.versions.len() > 1).count();
    let whole = results.iter().filter(|result| result.is_whole).count();
    for (session, result) in results.iter().enumerate() {
        record.line(format!("session {session}: events of {:?}, whole: {}", result.versions, result.is_whole));
    }
    record.say(format!("{begun} of {SESSIONS} streams begun, {whole} whole, {joined} with events of two versions"));
    if begun < SESSIONS / 2 || (is_calm() && whole < SESSIONS) {
        cannot_run("the streams were not served");
    }
    let broken = joined > 2;
    record.say(if broken { "BROKEN: ORDER, more than two streams" } else { "held" });
    drop(processes);
    drop(folder);
    std::process::exit(i32::from(broken));
}
