//! A fleet of which some VMs are cut off from runners.

use std::time::Duration;

use hornbeamtiller_relay::id;
use hornbeamtiller_relay::pool;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::fleet::{Barrier, Fleet};
use super::{descriptors, ms, IDEMPOTENT, NON_IDEMPOTENT, STREAM};

/// Time between two ticks of the VMs.
const TICK: Duration = Duration::from_millis(10);
/// How long after it is cut off a VM must serve as others do.
pub const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// VMs that are cut off for a while.
#[derive(Debug, Clone)]
pub struct Cut {
    pub vms: Vec<usize>,
    pub time: std::ops::Range<Duration>,
    pub barrier: Barrier,
    /// The runners, by the beginnings of their names.
    pub runners: Vec<&'static str>,
}

/// A play.
#[derive(Debug, Clone)]
pub struct Play {
    pub seed: u64,
    pub vms: usize,
    pub runners: Vec<pool::Descriptor>,
    /// Plain requests, and streams, a second at all VMs together.
    pub plain: f64,
    pub streams: f64,
    pub cuts: Vec<Cut>,
    /// VMs of the release before.
    pub older: Vec<usize>,
    /// VMs that are started anew, and when.
    pub restarts: Vec<(Duration, usize)>,
    pub length: Duration,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            seed: 1,
            vms: 8,
            runners: descriptors(),
            plain: 40.0,
            streams: 4.0,
            cuts: Vec::new(),
            older: Vec::new(),
            restarts: Vec::new(),
            length: ms(30_000),
        }
    }
}

/// All runners.
pub const ALL: &[&str] = &["pay", "read", "make"];

/// A request as it was sent.
pub struct Sent {
    pub vm: usize,
    pub call: id::Call,
    pub at: Duration,
    is_stream: bool,
}

/// What was seen.
pub struct Report {
    pub fleet: Fleet,
    pub sent: Vec<Sent>,
}

struct World {
    play: Play,
    rng: SmallRng,
    report: Report,
    last_call: id::Call,
}

/// Plays and reports.
pub fn play(play: &Play) -> Report {
    let mut world = World {
        play: play.clone(),
        rng: SmallRng::seed_from_u64(play.seed),
        report: Report {
            fleet: Fleet::with_engines(play.vms, play.runners.clone()),
            sent: Vec::new(),
        },
        last_call: 0,
    };
    world.report.fleet.older = play.older.iter().copied().collect();
    while world.report.fleet.now < play.length {
        world.step();
    }
    // What came last has time to end.
    let end = play.length + ms(5_000);
    while world.report.fleet.now < end {
        let next = world.report.fleet.now + TICK;
        world.report.fleet.run_until(next);
    }
    world.report
}

impl World {
    fn step(&mut self) {
        let now = self.report.fleet.now;
        let is_due = |at: Duration| at >= now && at < now + TICK;
        for cut in self.play.cuts.clone() {
            if is_due(cut.time.start) {
                self.cut(&cut);
            }
            if is_due(cut.time.end) {
                cut.vms.iter().for_each(|vm| self.report.fleet.heal(*vm));
            }
        }
        for (at, vm) in self.play.restarts.clone() {
            if is_due(at) {
                let runners = self.play.runners.clone();
                self.report.fleet.restart(vm, runners, 10);
            }
        }
        self.send_requests();
        self.report.fleet.run_until(now + TICK);
    }

    fn cut(&mut self, cut: &Cut) {
        let runners = self.play.runners.iter().map(|listed| listed.runner.clone());
        let is_cut =
            |runner: &id::Runner| cut.runners.iter().any(|start| runner.starts_with(start));
        let runners: Vec<id::Runner> = runners.filter(is_cut).collect();
        for vm in &cut.vms {
            self.report.fleet.cut_from(*vm, &runners, cut.barrier);
        }
    }

    fn draw_count(&mut self, rate: f64) -> u32 {
        let expected = rate * TICK.as_secs_f64();
        expected as u32 + u32::from(self.rng.random_bool(expected.fract()))
    }

    fn send_requests(&mut self) {
        for _ in 0..self.draw_count(self.play.plain) {
            let path = [IDEMPOTENT, NON_IDEMPOTENT][self.rng.random_range(0..2)];
            let (vm, call) = self.draw_call(false);
            self.report.fleet.arrive_asking(vm, call, path, call);
        }
        for _ in 0..self.draw_count(self.play.streams) {
            let (vm, call) = self.draw_call(true);
            self.report.fleet.arrive_at(vm, call, STREAM);
        }
    }

    fn draw_call(&mut self, is_stream: bool) -> (usize, id::Call) {
        self.last_call += 1;
        let (at, call) = (self.report.fleet.now, self.last_call);
        let vm = self.rng.random_range(0..self.play.vms);
        self.report.sent.push(Sent {
            vm,
            call,
            at,
            is_stream,
        });
        (vm, call)
    }
}

impl Report {
    pub fn is_served(&self, sent: &Sent) -> bool {
        let key = (sent.vm, sent.call);
        let stream = self.fleet.streams.get(&key);
        self.fleet.answered.contains_key(&key) || stream.is_some_and(|stream| stream.ended)
    }

    /// Requests that were served, and all, of those that came to VMs in a time.
    pub fn count_served(
        &self,
        time: std::ops::Range<Duration>,
        is_counted: impl Fn(usize) -> bool,
    ) -> (usize, usize) {
        let counted = self.sent.iter();
        let counted = counted.filter(|sent| time.contains(&sent.at) && is_counted(sent.vm));
        let counted: Vec<&Sent> = counted.collect();
        let served = counted.iter().filter(|sent| self.is_served(sent));
        (served.count(), counted.len())
    }

    /// Streams whose callers have events of them and that did not end as complete.
    pub fn count_broken_streams(&self) -> usize {
        let streams = self.sent.iter().filter(|sent| sent.is_stream);
        let of = |sent: &Sent| self.fleet.streams.get(&(sent.vm, sent.call));
        let broken = streams.filter(|sent| of(sent).is_some_and(|stream| !stream.ended));
        broken.count()
    }
}
