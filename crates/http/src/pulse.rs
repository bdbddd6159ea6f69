//! Keeps timers running while peers send without end.
//!
//! The runtime looks at its timers only when no task is ready to run. Two tasks that wake each other for each few bytes
//! that a peer sends keep all timers of the thread from firing, for as long as the peer goes on. So a timer of the process
//! beats here; if it has not done so for some time, the tasks of connections wait until it has.

use std::cell::{Cell, RefCell};
use std::mem::ManuallyDrop;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Time without a beat after which timers are held to be kept from firing; two periods or more of the timer that beats.
const BEAT_TIMEOUT: Duration = Duration::from_millis(45);
/// Polls of a connection after which it looks at the clock again.
const POLLS_PER_CHECK: u32 = 16;

thread_local! {
    static LAST_BEAT: Cell<Option<Instant>> = const { Cell::new(None) };
    // Not dropped with the thread: the runtime, to which wakers belong, has ended by then.
    static WAITING: ManuallyDrop<RefCell<Vec<Waker>>> = const { ManuallyDrop::new(RefCell::new(Vec::new())) };
}

/// Tells that timers fire. To be called by a timer of this thread each 20 ms or less, from the first call on until
/// the process ends.
pub fn beat() {
    LAST_BEAT.set(Some(Instant::now()));
    let waiting = WAITING.with(|waiting| waiting.take());
    waiting.into_iter().for_each(Waker::wake);
}

/// Runs the timer that beats: `tick` each `period`, which is at most 20 ms, until that returns false. What ends the process
/// needs timers, too, so the timer goes on without it then, until the runtime ends.
pub async fn run(period: Duration, mut tick: impl FnMut() -> bool) {
    // Connections may have to wait for timers before the first one has fired.
    beat();
    loop {
        monoio::time::sleep(period).await;
        beat();
        if !tick() {
            break;
        }
    }
    drop(tick);
    loop {
        monoio::time::sleep(period).await;
        beat();
    }
}

/// Forgets what an earlier runtime of this thread left. To be called before a runtime starts.
pub(crate) fn reset() {
    LAST_BEAT.set(None);
    // Neither woken nor dropped: the runtime to which wakers belong has ended.
    std::mem::forget(WAITING.with(|waiting| waiting.take()));
}

/// Lets one connection wait for timers.
#[derive(Debug, Default)]
pub(crate) struct Pulse {
    polls: u32,
}

impl Pulse {
    /// Ready if the connection may go on. Else its task is woken once timers have fired.
    pub(crate) fn poll_beat(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.polls += 1;
        if self.polls < POLLS_PER_CHECK {
            return Poll::Ready(());
        }
        let is_late = LAST_BEAT
            .get()
            .is_some_and(|at| at.elapsed() >= BEAT_TIMEOUT);
        if is_late {
            WAITING.with(|waiting| waiting.borrow_mut().push(cx.waker().clone()));
            return Poll::Pending;
        }
        self.polls = 0;
        Poll::Ready(())
    }
}
