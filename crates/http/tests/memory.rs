//! The memory budget: it is never exceeded, and everything is given back.

use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_http::memory::{Budget, Exhausted, Guard, Holder, Incoming};
use hornbeamtiller_http::runtime::block_on;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CAPACITY: usize = 8 << 20;
const BODY_BYTES_MAX: usize = 4 << 20;
const CASES_DEFAULT: u32 = 256;

const HOLDERS: [Holder; 5] = [
    Holder::Incoming,
    Holder::Request,
    Holder::Response,
    Holder::Stream,
    Holder::Control,
];

/// A step of a random history. Numbers of guards and bodies are taken modulo how many there are.
#[derive(Debug, Clone)]
enum Step {
    Take(usize, usize),
    Resize(usize, usize),
    Drop(usize),
    Receive(Option<usize>),
    Push(usize, usize),
    Finish(usize),
    Abandon(usize),
    Release(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let bytes = prop_oneof![0..100_usize, 0..CAPACITY * 2];
    let length = || 0..BODY_BYTES_MAX;
    prop_oneof![
        (0..HOLDERS.len(), bytes.clone()).prop_map(|(holder, bytes)| Step::Take(holder, bytes)),
        (any::<usize>(), bytes).prop_map(|(guard, bytes)| Step::Resize(guard, bytes)),
        any::<usize>().prop_map(Step::Drop),
        proptest::option::of(length()).prop_map(Step::Receive),
        (any::<usize>(), 0..200_000_usize).prop_map(|(body, bytes)| Step::Push(body, bytes)),
        any::<usize>().prop_map(Step::Finish),
        any::<usize>().prop_map(Step::Abandon),
        any::<usize>().prop_map(Step::Release),
    ]
}

/// What a history holds.
#[derive(Default)]
struct Held {
    guards: Vec<Guard>,
    incoming: Vec<Incoming>,
    complete: Vec<Bytes>,
}

fn remove<T>(items: &mut Vec<T>, number: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.remove(number % items.len()))
}

impl Held {
    fn apply(&mut self, budget: &Budget, step: Step) {
        match step {
            Step::Take(holder, bytes) => self.guards.extend(budget.take(HOLDERS[holder], bytes)),
            Step::Resize(number, bytes) => {
                if let Some(mut guard) = remove(&mut self.guards, number) {
                    let before = guard.bytes();
                    let resized = budget.resize(&mut guard, bytes);
                    let expected = if resized.is_ok() { bytes } else { before };
                    assert_eq!(guard.bytes(), expected);
                    self.guards.push(guard);
                }
            }
            Step::Drop(number) => drop(remove(&mut self.guards, number)),
            Step::Receive(declared) => self.incoming.extend(budget.receive(declared)),
            Step::Push(number, bytes) => {
                if let Some(incoming) = remove(&mut self.incoming, number) {
                    let fits = incoming.received() + bytes <= BODY_BYTES_MAX;
                    if fits && incoming.push(&vec![0; bytes], BODY_BYTES_MAX).is_ok() {
                        self.incoming.push(incoming);
                    }
                }
            }
            Step::Finish(number) => {
                let finished = remove(&mut self.incoming, number).map(Incoming::finish);
                self.complete.extend(finished.and_then(Result::ok));
            }
            Step::Abandon(number) => drop(remove(&mut self.incoming, number)),
            Step::Release(number) => drop(remove(&mut self.complete, number)),
        }
    }
}

fn read_variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against bytes that are held without being counted, or counted after they were given back.
#[test]
fn budget_random_histories() {
    let cases = read_variable("HORNBEAMTILLER_CASES").map_or(CASES_DEFAULT, |cases| cases as u32);
    let mut seed = [0; 32];
    let number = read_variable("HORNBEAMTILLER_SEED").unwrap_or(1);
    seed[..8].copy_from_slice(&number.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(cases), rng);
    let histories = proptest::collection::vec(any_step(), 1..80);
    let outcome = runner.run(&histories, |steps| {
        let budget = Budget::new(CAPACITY);
        let mut held = Held::default();
        for step in steps {
            held.apply(&budget, step);
            prop_assert!(budget.used() <= CAPACITY, "{} used", budget.used());
            let sum: usize = budget.used_by_holder().map(|(_, used)| used).sum();
            prop_assert_eq!(sum, budget.used());
            let guards: usize = held.guards.iter().map(Guard::bytes).sum();
            prop_assert!(guards <= budget.used());
        }
        drop(held);
        prop_assert_eq!(budget.used(), 0);
        Ok(())
    });
    outcome.expect("the budget holds");
}

/// Guards against incomplete bodies that keep memory from work that has begun.
#[test]
fn take_evicts_incomplete_body() {
    let budget = Budget::new(CAPACITY);
    let body = budget.receive(Some(CAPACITY / 2)).expect("room");
    let cx = Context::from_waker(Waker::noop());
    assert!(body.poll_evicted(&cx).is_pending());
    let response = budget.take(Holder::Response, CAPACITY / 2);
    response.expect("the room of the incomplete body");
    assert_eq!(body.poll_evicted(&cx), Poll::Ready(Exhausted));
    assert_eq!(body.push(b"x", CAPACITY), Err(Exhausted));
    assert_eq!(body.finish(), Err(Exhausted));
    assert_eq!(budget.evicted(), 1);
}

/// Guards against bodies that evict each other again and again, so that none is ever complete.
#[test]
fn receive_keeps_progressing_body() {
    let budget = Budget::new(CAPACITY);
    let length = CAPACITY / 2;
    let first = budget.receive(Some(length)).expect("room");
    assert!(budget.receive(Some(length)).is_err());
    first.push(&vec![0; length], length).expect("still there");
    assert_eq!(first.finish().map(|body| body.len()), Ok(length));
}

/// Guards against large bodies that leave no room for small requests.
#[test]
fn receive_small_beside_large() {
    let budget = Budget::new(CAPACITY);
    let large = CAPACITY / 8;
    let bodies: Vec<_> = std::iter::from_fn(|| budget.receive(Some(large)).ok()).collect();
    assert_eq!(bodies.len(), 5);
    assert!(budget.receive(Some(2 << 10)).is_ok());
    assert!(budget.take(Holder::Request, 50 << 10).is_ok());
    assert_eq!(budget.evicted(), 0);
}

/// Guards against requests without a body that leave room for further ones, and none for small bodies.
#[test]
fn receive_small_beside_requests_without_body() {
    let budget = Budget::new(CAPACITY);
    let head = 44 << 10;
    let take = || budget.take(Holder::Request, head).ok();
    let mut requests: Vec<_> = std::iter::from_fn(take).collect();
    requests.pop();
    assert!(budget.take(Holder::Request, head).is_ok());
    assert!(budget.receive(Some(2 << 10)).is_ok());
}

/// Guards against small bodies that are refused at once, while the head of their request waits for memory.
#[test]
fn wait_to_receive_small_until_room() {
    block_on(async {
        let budget = Budget::new(CAPACITY);
        let all = budget.take(Holder::Control, CAPACITY).expect("room");
        let waiting = monoio::spawn({
            let budget = budget.clone();
            async move { budget.wait_to_receive(Some(2 << 10)).await.is_ok() }
        });
        monoio::time::sleep(Duration::ZERO).await;
        assert!(budget.receive(Some(2 << 10)).is_err());
        drop(all);
        assert!(waiting.await);
    })
    .expect("a runtime");
}

/// Guards against memory that is given back while a clone of the body is still held.
#[test]
fn finish_held_until_last_clone() {
    let budget = Budget::new(CAPACITY);
    let body = budget.receive(None).expect("room");
    body.push(&[1; 20_000], BODY_BYTES_MAX).expect("room");
    let body = body.finish().expect("a body");
    let part = body.slice(5..10);
    drop(body);
    assert!(budget.used() >= 20_000);
    drop(part);
    assert_eq!(budget.used(), 0);
}
