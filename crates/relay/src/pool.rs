//! The runners as the configuration service lists them and as traffic shows them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::id;
use crate::judge::Judge;

/// Part of a model engine in the pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// It reads prompts.
    Prefill,
    /// It generates tokens.
    Decode,
}

/// A runner as the list describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Card {
    /// Name of this start of the runner.
    pub runner: id::Runner,
    /// The endpoint that it belongs to.
    pub endpoint: id::Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to end.
    pub draining: bool,
    /// Its part, where it is a model engine.
    pub role: Option<Role>,
    /// Start of the runner, in milliseconds since the Unix epoch; tells two starts of one name apart.
    pub born: u64,
    /// Position of this entry in the list's history.
    pub revision: id::Revision,
}

/// Load as the runner itself told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// Work under way at a runner, as the VMs that sent it count it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Tokens of KV memory that they take at their longest.
    pub tokens: u64,
    /// Tokens of their prompts that are still to be read there.
    pub unread: u64,
}

impl Load {
    /// Adds work.
    pub fn add(&mut self, other: Load) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.unread += other.unread;
    }

    /// Takes work away.
    pub fn sub(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.unread = self.unread.saturating_sub(other.unread);
    }
}

/// Whether a runner takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It does.
    Ready,
    /// It is about to end, or its entry is gone.
    Leaving {
        /// When this process learned that.
        since: Duration,
    },
}

/// One runner.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Its entry.
    pub card: Card,
    /// Whether it takes new work.
    pub standing: Standing,
    /// What traffic showed.
    pub judge: Judge,
    /// Work of this VM under way there.
    pub own: Load,
    /// Work of the other VMs there, as they last told it.
    pub others: Load,
    /// Tokens that it reads in a millisecond, as far as that was seen.
    pub speed: Option<f64>,
    /// Its last word on its load, and when it came.
    pub told: Option<(Told, Duration)>,
    /// When it last refused for lack of room.
    pub full_at: Option<Duration>,
    /// When this VM last heard of it: an event, an answer or a refusal.
    pub heard_at: Option<Duration>,
    /// Until when its KV caches are not counted on.
    pub kv_rest_until: Duration,
    /// Another runner answered at its address.
    pub displaced: bool,
}

/// Tokens that a runner is taken to read in a millisecond before one was seen to.
const SPEED_UNKNOWN: f64 = 40.0;
/// How much slower a decode runner reads a prompt than a prefill runner.
const OWN_READING_TIMES: f64 = 2.0;
/// Weight of one reading in the usual speed.
const SPEED_WEIGHT: f64 = 0.2;

impl Runner {
    /// All work that is known to be under way there.
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    /// Time in which it reads so many tokens.
    pub fn reading_time(&self, tokens: u64) -> Duration {
        let speed = self.speed.unwrap_or(SPEED_UNKNOWN);
        Duration::from_secs_f64(tokens as f64 / speed / 1e3)
    }

    /// Time in which it reads so many tokens where it generates streams too.
    pub fn own_reading_time(&self, tokens: u64) -> Duration {
        self.reading_time(tokens).mul_f64(OWN_READING_TIMES)
    }

    /// Takes how long it took to read so many tokens.
    pub fn read(&mut self, tokens: u64, took: Duration) {
        let millis = (took.as_secs_f64() * 1e3).max(1.0);
        let speed = tokens as f64 / millis;
        let old = self.speed.unwrap_or(speed);
        self.speed = Some(old + SPEED_WEIGHT * (speed - old));
    }

    fn new(card: Card, now: Duration) -> Self {
        let standing = standing(&card, now);
        Self {
            card,
            standing,
            judge: Judge::default(),
            own: Load::default(),
            others: Load::default(),
            speed: None,
            told: None,
            full_at: None,
            heard_at: None,
            kv_rest_until: Duration::ZERO,
            displaced: false,
        }
    }
}

fn standing(card: &Card, now: Duration) -> Standing {
    if card.draining {
        Standing::Leaving { since: now }
    } else {
        Standing::Ready
    }
}

/// All runners of all endpoints.
#[derive(Debug, Default)]
pub struct Pool {
    runners: HashMap<id::Runner, Runner>,
    endpoints: BTreeMap<id::Endpoint, Vec<id::Runner>>,
    /// Position up to which the list is known.
    pub revision: id::Revision,
    /// Position of the last change that is known.
    pub changed: id::Revision,
    /// Work of the other VMs, also at runners that are not known here yet: a VM that was cut off from
    /// the list learns of a runner later than others.
    elsewhere: HashMap<id::Runner, Load>,
    /// Revisions at which entries ended, so that an older entry does not bring one back.
    ended: HashMap<id::Runner, id::Revision>,
}

/// How long the end of an entry is remembered.
const ENDED_MAX: usize = 4096;

impl Pool {
    /// Finds a runner.
    pub fn get(&self, runner: &id::Runner) -> Option<&Runner> {
        self.runners.get(runner)
    }

    /// Finds a runner to change it.
    pub fn get_mut(&mut self, runner: &id::Runner) -> Option<&mut Runner> {
        self.runners.get_mut(runner)
    }

    /// The runners of an endpoint.
    pub fn of<'a>(&'a self, endpoint: &id::Endpoint) -> impl Iterator<Item = &'a Runner> + 'a {
        self.endpoints
            .get(endpoint)
            .into_iter()
            .flatten()
            .filter_map(|runner| self.runners.get(runner))
    }

    /// Replaces what one VM told of its work by what it tells now.
    pub fn share<'a>(
        &mut self,
        before: impl Iterator<Item = &'a (id::Runner, Load)>,
        now: impl Iterator<Item = &'a (id::Runner, Load)>,
    ) {
        for (runner, load) in before {
            let sum = self.elsewhere.entry(runner.clone()).or_default();
            sum.sub(*load);
            if let Some(known) = self.runners.get_mut(runner) {
                known.others = *sum;
            }
            if sum.requests == 0 {
                self.elsewhere.remove(runner);
            }
        }
        for (runner, load) in now {
            let sum = self.elsewhere.entry(runner.clone()).or_default();
            sum.add(*load);
            if let Some(known) = self.runners.get_mut(runner) {
                known.others = *sum;
            }
        }
    }

    /// All runners.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// Takes an entry; an older one than the known changes nothing. Tells whether anything changed.
    pub fn set(&mut self, card: Card, now: Duration) -> bool {
        self.changed = self.changed.max(card.revision);
        if self
            .ended
            .get(&card.runner)
            .is_some_and(|ended| *ended >= card.revision)
        {
            return false;
        }
        let known = self.runners.get_mut(&card.runner);
        match known {
            Some(runner) if runner.card.revision >= card.revision => {
                if runner.card.revision == card.revision {
                    return Self::back(runner, now);
                }
                return false;
            }
            // The same start: what traffic showed stays.
            Some(runner)
                if runner.card.born == card.born && runner.card.address == card.address =>
            {
                if runner.card.draining != card.draining || !card.draining {
                    let standing = standing(&card, now);
                    let kept = matches!(
                        (runner.standing, standing),
                        (Standing::Leaving { .. }, Standing::Leaving { .. })
                    );
                    if !kept {
                        runner.standing = standing;
                    }
                }
                runner.displaced = false;
                runner.card = card;
                return true;
            }
            _ => {}
        }
        // Work under way at an earlier start of the runner is counted until it has ended.
        let own = self.runners.get(&card.runner).map(|known| known.own);
        let others = self.elsewhere.get(&card.runner).copied();
        self.remove(&card.runner.clone());
        self.endpoints
            .entry(card.endpoint.clone())
            .or_default()
            .push(card.runner.clone());
        let runner = Runner {
            own: own.unwrap_or_default(),
            others: others.unwrap_or_default(),
            ..Runner::new(card.clone(), now)
        };
        self.runners.insert(card.runner, runner);
        true
    }

    /// Takes back that an entry was missing.
    fn back(runner: &mut Runner, now: Duration) -> bool {
        let standing = standing(&runner.card, now);
        let changed = standing == Standing::Ready && runner.standing != Standing::Ready;
        if changed {
            runner.standing = Standing::Ready;
        }
        changed
    }

    /// Takes that an entry has ended. The runner gets work only where no other can.
    pub fn end(&mut self, runner: &id::Runner, revision: id::Revision, now: Duration) -> bool {
        self.changed = self.changed.max(revision);
        let newer = self
            .runners
            .get(runner)
            .is_some_and(|known| known.card.revision > revision);
        if newer {
            return false;
        }
        if self.ended.len() >= ENDED_MAX {
            self.ended.clear();
        }
        self.ended.insert(runner.clone(), revision);
        self.missing(runner, now)
    }

    /// Takes a whole list: entries that it lacks and that are no newer have ended.
    pub fn replace(&mut self, cards: Vec<Card>, revision: id::Revision, now: Duration) -> bool {
        let listed: std::collections::HashSet<id::Runner> =
            cards.iter().map(|card| card.runner.clone()).collect();
        let mut changed = false;
        for card in cards {
            changed |= self.set(card, now);
        }
        let gone: Vec<id::Runner> = self
            .runners
            .values()
            .filter(|runner| !listed.contains(&runner.card.runner))
            .filter(|runner| runner.card.revision <= revision)
            .map(|runner| runner.card.runner.clone())
            .collect();
        for runner in gone {
            changed |= self.missing(&runner, now);
        }
        self.revision = self.revision.max(revision);
        changed
    }

    fn missing(&mut self, runner: &id::Runner, now: Duration) -> bool {
        match self.runners.get_mut(runner) {
            Some(known) if known.standing == Standing::Ready => {
                known.standing = Standing::Leaving { since: now };
                true
            }
            _ => false,
        }
    }

    /// Forgets runners that have been leaving for so long that nothing of theirs can be under way.
    pub fn sweep(&mut self, now: Duration, after: Duration) {
        let old: Vec<id::Runner> = self
            .runners
            .values()
            .filter(|runner| runner.own.requests == 0)
            .filter(|runner| matches!(runner.standing, Standing::Leaving { since } if since + after < now))
            .map(|runner| runner.card.runner.clone())
            .collect();
        for runner in old {
            self.remove(&runner);
        }
    }

    fn remove(&mut self, runner: &id::Runner) {
        if let Some(old) = self.runners.remove(runner) {
            if let Some(list) = self.endpoints.get_mut(&old.card.endpoint) {
                list.retain(|other| other != runner);
            }
        }
    }
}
