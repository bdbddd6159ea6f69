//! Runners that send bytes without end, which are no answer, until their connection is closed.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::AsyncWriteRentExt as _;
use monoio::net::TcpStream;

use support::runner::Runner;
use support::{with_fleet, Fleet};

/// Time after which a runner that sends without end gives up, so that a test ends even if timers do not fire.
const FLOOD_TIME_MAX: Duration = Duration::from_secs(20);
/// How often a timer has to fire beside a flood.
const BEATS: u32 = 20;

/// Sends interim heads until told to stop, the connection is closed, or too long.
async fn send_flood(mut stream: TcpStream, is_over: Rc<Cell<bool>>) {
    let piece = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1 << 10).into_bytes();
    let started_at = Instant::now();
    while !is_over.get() && started_at.elapsed() < FLOOD_TIME_MAX {
        if stream.write_all(piece.clone()).await.0.is_err() {
            return;
        }
    }
}

/// Counts how often a timer fires while a flood goes on.
async fn count_beats(is_over: &Cell<bool>) -> u32 {
    for beat in 0..BEATS {
        monoio::time::sleep(Duration::from_millis(1)).await;
        if is_over.get() {
            return beat;
        }
    }
    BEATS
}

async fn flood(fleet: &Fleet) -> u32 {
    let runner = Runner::open_with(fleet, FLOOD_TIME_MAX).await;
    let is_over = Rc::new(Cell::new(false));
    let id = format!("{}.a", fleet.token(0).await);
    let beside = async {
        let stream = runner.accept().await;
        let sending = async {
            send_flood(stream, is_over.clone()).await;
            is_over.set(true);
        };
        let counting = async {
            let beats = count_beats(&is_over).await;
            is_over.set(true);
            beats
        };
        futures::join!(sending, counting).1
    };
    futures::join!(fleet.top_up(0, &id), beside).1
}

/// Guards against a process whose timers stand still for as long as one runner sends.
#[test]
fn endless_bytes_timers_fire() {
    with_fleet(1, |fleet| async move {
        assert_eq!(flood(&fleet).await, BEATS);
    });
}
