//! One pass over the calls that wait.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::credit::Credits;
use super::share::Organisation;
use super::{Entry, History, Refusal, Urgency, Work};

/// Time by which a call goes behind others for each token of its work, in microseconds.
const WORK_DELAY_MICROS: u64 = 20;
/// Expected wait at which a call is refused, as a multiple of its patience: the rate is known roughly, as streams that
/// began together end together, and a call that is refused for an error of it is lost.
const WAIT_ERROR: f64 = 1.5;
/// How long a call is taken to wait that does not state how long.
const PATIENCE_DEFAULT: Duration = Duration::from_secs(2);

/// Calls that are ordered against each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Their place is fixed: streams that have begun, or all calls without overload.
    First,
    /// They can meet their target.
    InTime,
    /// They can't any more.
    Late,
}

/// The calls of one organisation in a level.
#[derive(Debug, Clone, Default)]
struct Lane {
    tag: Work,
    calls: VecDeque<(usize, Work)>,
}

/// The calls of one priority.
#[derive(Debug, Clone, Default)]
struct Level {
    lanes: BTreeMap<Organisation, Lane>,
    /// The organisations with calls, that with the lowest tag first.
    turns: BTreeSet<(Work, Organisation)>,
}

impl Level {
    fn push(&mut self, organisation: Organisation, tag: Work, call: (usize, Work)) {
        let lane = self.lanes.entry(organisation.clone()).or_default();
        if lane.calls.is_empty() {
            lane.tag = tag;
            self.turns.insert((tag, organisation));
        }
        lane.calls.push_back(call);
    }

    /// Work of the call that is next.
    fn first(&self) -> Option<Work> {
        let (_, organisation) = self.turns.first()?;
        let lane = self.lanes.get(organisation)?;
        lane.calls.front().map(|(_, work)| *work)
    }

    fn pop(&mut self) -> Option<usize> {
        let (_, organisation) = self.turns.pop_first()?;
        let lane = self.lanes.get_mut(&organisation)?;
        let (index, work) = lane.calls.pop_front()?;
        lane.tag += work;
        if !lane.calls.is_empty() {
            self.turns.insert((lane.tag, organisation));
        }
        Some(index)
    }
}

/// The calls that can meet their target, or those that can't.
#[derive(Debug, Clone, Default)]
struct Class {
    levels: BTreeMap<u8, Level>,
    credits: Credits,
}

impl Class {
    fn pop(&mut self) -> Option<usize> {
        let waiting = self.waiting();
        let due = waiting
            .iter()
            .find(|(priority, work)| self.credits.covers(*priority, *work));
        let (priority, work) = *due.or_else(|| waiting.first())?;
        let level = self.levels.get_mut(&priority)?;
        let index = level.pop();
        if level.turns.is_empty() {
            self.levels.remove(&priority);
        }
        self.credits.count(priority, work, &waiting);
        index
    }

    /// The priorities with calls, and the work of their next one.
    fn waiting(&self) -> Vec<(u8, Work)> {
        let levels = self.levels.iter();
        levels
            .filter_map(|(priority, level)| Some((*priority, level.first()?)))
            .collect()
    }
}

/// One pass over the calls that wait: says which is next, and at the end, which are refused.
///
/// A call that finds no capacity counts within the pass as if it had, so that calls of other organisations and
/// priorities are tried after it in turn; beyond the pass, only calls that found capacity count.
#[derive(Debug)]
pub struct Queue<'a> {
    history: &'a mut History,
    entries: Vec<Entry<'a>>,
    standings: Vec<Standing>,
    now: Duration,
    first: VecDeque<usize>,
    in_time: Class,
    late: Class,
    /// The calls without capacity, in their order.
    left: Vec<usize>,
}

impl<'a> Queue<'a> {
    /// Starts a pass.
    pub fn new(history: &'a mut History, entries: Vec<Entry<'a>>, now: Duration) -> Self {
        let is_plain = !history.is_pressed() && !has_classes(&entries);
        Self::start(history, entries, is_plain, now)
    }

    /// Starts a pass in which calls go by the time left alone, and none is refused.
    pub fn by_urgency(history: &'a mut History, entries: Vec<Entry<'a>>, now: Duration) -> Self {
        Self::start(history, entries, true, now)
    }

    fn start(
        history: &'a mut History,
        entries: Vec<Entry<'a>>,
        is_plain: bool,
        now: Duration,
    ) -> Self {
        let is_pressed = history.is_pressed();
        let standings: Vec<Standing> = entries
            .iter()
            .map(|entry| match is_plain {
                true => Standing::First,
                false => standing(entry, is_pressed),
            })
            .collect();
        let mut queue = Self {
            first: VecDeque::new(),
            in_time: Class::default(),
            late: Class::default(),
            left: Vec::new(),
            history,
            entries,
            standings,
            now,
        };
        queue.fill(is_plain, is_pressed);
        queue
    }

    fn fill(&mut self, is_plain: bool, is_pressed: bool) {
        let mut order: Vec<usize> = (0..self.entries.len()).collect();
        order.sort_by_cached_key(|index| {
            let entry = &self.entries[*index];
            let vm = entry.vm.clone();
            if is_plain {
                return (0, 0, Some(entry.urgency), entry.call, vm);
            }
            let (priority, wait) = match self.standings[*index] {
                Standing::First => (entry.priority, 0),
                standing => (0, wait_key(entry, standing, is_pressed)),
            };
            (priority, wait, None, entry.call, vm)
        });
        for index in order {
            let entry = &self.entries[index];
            let class = match self.standings[index] {
                Standing::First => {
                    self.first.push_back(index);
                    continue;
                }
                Standing::InTime => &mut self.in_time,
                Standing::Late => &mut self.late,
            };
            let organisation = entry.organisation.cloned();
            let tag = self.history.shares.tag(entry.priority, &organisation);
            let level = class.levels.entry(entry.priority).or_default();
            level.push(organisation, tag, (index, entry.work));
        }
        let history = &mut *self.history;
        let (in_time, late) = (&mut self.in_time, &mut self.late);
        history
            .in_time
            .retain(|level| in_time.levels.contains_key(&level));
        history
            .late
            .retain(|level| late.levels.contains_key(&level));
        in_time.credits = history.in_time.clone();
        late.credits = history.late.clone();
    }

    /// The call that is next, as its index in the entries. Either [`Self::place`] or [`Self::leave`] follows.
    pub fn pop(&mut self) -> Option<usize> {
        let first = self.first.pop_front();
        let first = first.or_else(|| self.in_time.pop());
        first.or_else(|| self.late.pop())
    }

    /// Records that a call got capacity.
    pub fn place(&mut self, index: usize) {
        let entry = &self.entries[index];
        let history = &mut *self.history;
        let organisation = entry.organisation.cloned();
        history
            .shares
            .charge(entry.priority, &organisation, entry.work);
        history.throughput.record(entry.work, self.now);
        let (credits, class) = match self.standings[index] {
            Standing::First => return,
            Standing::InTime => (&mut history.in_time, &self.in_time),
            Standing::Late => (&mut history.late, &self.late),
        };
        credits.count(entry.priority, entry.work, &class.waiting());
    }

    /// Records that a call found no capacity. Returns whether room is to be kept for it: calls that come after it and
    /// are smaller would take what becomes free, and it would never find room.
    pub fn leave(&mut self, index: usize) -> bool {
        self.left.push(index);
        self.standings[index] == Standing::InTime
    }

    /// Ends the pass: says which calls are refused, since they can't get capacity before their VMs give them up.
    pub fn finish(self) -> Vec<Refusal> {
        let Self {
            history,
            entries,
            standings,
            now,
            left,
            ..
        } = self;
        history.throughput.observe(!left.is_empty(), now);
        let smallest = left.iter().map(|index| entries[*index].work).min();
        let rate = smallest.and_then(|smallest| history.throughput.rate(smallest, now));
        let Some(rate) = rate else {
            return Vec::new();
        };
        let mut refusals = Vec::new();
        let mut ahead = 0;
        for index in left {
            let entry = &entries[index];
            let is_refusable = standings[index] != Standing::First;
            let wait = (ahead + entry.work) as f64 / rate;
            match entry.patience.filter(|_| is_refusable) {
                Some(patience) if wait > WAIT_ERROR * patience.as_secs_f64() => {
                    let retry_after = history.return_after(entry, ahead, rate, now);
                    refusals.push(Refusal { index, retry_after });
                }
                _ => ahead += entry.work,
            }
        }
        refusals
    }
}

/// The order of calls if all get capacity, as their indices.
pub fn arrange(history: &History, entries: Vec<Entry<'_>>, now: Duration) -> Vec<usize> {
    let mut history = history.clone();
    let mut queue = Queue::new(&mut history, entries, now);
    std::iter::from_fn(|| queue.pop()).collect()
}

/// Whether calls differ in priority, or have organisations.
fn has_classes(entries: &[Entry<'_>]) -> bool {
    let priority = entries.first().map(|entry| entry.priority);
    entries
        .iter()
        .any(|entry| entry.organisation.is_some() || Some(entry.priority) != priority)
}

/// With calls left over, one that can't meet its target any more with the time that it needs counts as late.
fn standing(entry: &Entry<'_>, is_pressed: bool) -> Standing {
    let urgency = match is_pressed {
        true => entry.urgency.less(entry.need),
        false => entry.urgency,
    };
    match urgency {
        Urgency::Started => Standing::First,
        Urgency::InTime(_) => Standing::InTime,
        Urgency::Late => Standing::Late,
    }
}

/// Time that a call has left, with what it needs and with the delay for its work; in microseconds.
fn wait_key(entry: &Entry<'_>, standing: Standing, is_pressed: bool) -> u64 {
    let left = match (standing, entry.urgency) {
        (Standing::InTime, Urgency::InTime(slack)) => slack,
        _ => entry.patience.unwrap_or(PATIENCE_DEFAULT),
    };
    if !is_pressed {
        return left.as_micros() as u64;
    }
    let left = left.saturating_sub(entry.need).as_micros() as u64;
    left + entry.work * WORK_DELAY_MICROS
}
