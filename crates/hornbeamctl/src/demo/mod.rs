//! A tour of the system: a fleet and its stand-ins in one process, and requests of each kind.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt as _};
use hornbeamtiller_http::client::Client;
use hornbeamtiller_standin::deployment::{Deployment, SERVICE_TIME};
use hornbeamtiller_standin::fixture;
use http::Method;
use serde_json::json;

use crate::caller::{self, Ask, Entry, Streamed};
use crate::cli::DemoFlags;
use crate::commands::timeline;
use crate::error::{Error, Result};
use crate::fleet::Fleet;

/// Entries of the time line that are shown.
const TIMELINE_SHOWN: usize = 40;
/// Tokens of the long answer.
const LONG_TOKENS: u64 = 60;

/// Runs the demo.
///
/// # Errors
///
/// Where a part does not start, or an answer is not what a caller may expect.
pub fn run(flags: &DemoFlags) -> Result<()> {
    let deployment: Deployment = flags.deployment.into();
    let standins = fixture::Settings {
        deployment,
        listen: SocketAddr::from(([127, 0, 1, 1], 0)),
        service_time: SERVICE_TIME,
        relays: 0,
        configure_engine: |_| {},
    };
    let fleet = Fleet::open(flags.nodes, standins)?;
    let shown = crate::block_on(show(&fleet, flags.stay));
    fleet.close();
    shown
}

async fn show(fleet: &Fleet, stay: bool) -> Result<()> {
    let client = Client::new(Default::default());
    fleet.settle(&client).await?;
    println!(
        "{} entry VMs and the {} stand-ins are up",
        fleet.members.len(),
        fleet.deployment
    );
    let first = fleet
        .members
        .first()
        .ok_or_else(|| Report::new(Error::Start("no entry VM")))?;
    let entries = caller::entries(&client, first.caller).await?;
    println!("\nGET /v1/entries (keep for {} ms):", entries.keep_ms);
    for entry in &entries.entries {
        println!("  vm {} at {} in {}", entry.vm, entry.address, entry.zone);
    }
    let entry = entries
        .entries
        .first()
        .ok_or_else(|| Report::new(Error::Start("no entries")))?;
    let id = call_services(&client, fleet, entry).await?;
    call_models(&client, fleet, entry).await?;
    show_fleet(&client, fleet, &id).await?;
    if stay {
        println!("\nstaying up until interrupted");
        futures::future::pending::<()>().await;
    }
    Ok(())
}

/// Sends a read, a call that may run only once, and its repeats.
async fn call_services(client: &Client, fleet: &Fleet, entry: &Entry) -> Result<String> {
    let (read, once) = fleet.deployment.service_paths();
    let service = format!("/v1/services/{}", fleet.deployment.service());
    let answer = send(
        client,
        entry.address,
        &Ask::get(&format!("{service}{read}")),
    )
    .await?;
    println!(
        "\nGET {service}{read}: {} in {:.1?}\n  {}",
        answer.head.status,
        answer.took,
        text(&answer.body)
    );
    let id = format!("{}.demo-1", entry.token);
    let ask = Ask::new(Method::POST, &format!("{service}{once}"))
        .header("idempotency-key", &id)
        .body("{\"amount\":100}")
        .fresh();
    let first = send(client, entry.address, &ask).await?;
    println!(
        "\nPOST {service}{once}: {} in {:.1?}\n  {}",
        first.head.status,
        first.took,
        text(&first.body)
    );
    let again = send(client, entry.address, &ask).await?;
    expect(again.body == first.body, "a repeat got another answer")?;
    println!(
        "the same id again: {} (replayed: {})",
        again.head.status,
        again.head.headers.contains_key("idempotent-replayed")
    );
    if let Some(other) = fleet.members.iter().find(|member| member.vm != entry.vm) {
        let elsewhere = send(client, other.caller, &ask).await?;
        expect(
            elsewhere.body == first.body,
            "a repeat at another VM got another answer",
        )?;
        println!(
            "the same id at vm {}: {}, passed on to vm {}",
            other.vm, elsewhere.head.status, entry.vm
        );
    }
    let observed = fleet.observed(client).await?;
    println!(
        "executions at the service: {:?}",
        observed.executions.get(&id)
    );
    expect(
        observed.executions.get(&id) == Some(&1),
        "the call did not run once",
    )?;
    Ok(id)
}

async fn call_models(client: &Client, fleet: &Fleet, entry: &Entry) -> Result<()> {
    let prompt = "journey log of the haulier, one line a trip; ".repeat(200);
    let body = json!({ "model": fleet.deployment.model(), "prompt": prompt, "max_tokens": 20 });
    let answer = send(client, entry.address, &Ask::post("/v1/completions", &body)).await?;
    println!(
        "\nPOST /v1/completions: {} in {:.1?}, {} bytes",
        answer.head.status,
        answer.took,
        answer.body.len()
    );
    expect(
        answer.head.status.is_success(),
        "the completion was refused",
    )?;
    let messages = json!([{ "role": "user", "content": prompt }]);
    let body = json!({
        "model": fleet.deployment.model(), "messages": messages, "max_tokens": LONG_TOKENS, "stream": true,
    });
    let ask = Ask::post("/v1/chat/completions", &body);
    let streamed = stream(client, entry.address, &ask).await?;
    show_stream("POST /v1/chat/completions (stream)", &streamed);
    expect(streamed.is_whole(), "the stream is not whole")?;
    let started = stream_start(client, entry.address, &ask, 10).await?;
    let (Some(id), Some(last)) = (started.id.clone(), started.positions.last()) else {
        return Err(Report::new(Error::Unexpected(
            "a stream without an id".to_owned(),
        )));
    };
    let ask = ask
        .header("idempotency-key", &id)
        .header("last-event-id", &last.to_string());
    let rest = stream(client, entry.address, &ask).await?;
    println!(
        "left a stream after token {last} and came back: tokens {:?} to {:?}",
        rest.positions.first(),
        rest.positions.last()
    );
    expect(
        rest.positions.first() == Some(&(last + 1)) && rest.done,
        "the stream did not go on",
    )?;
    let unknown = json!({ "model": "no-such-model", "prompt": "x" });
    let refused = send(
        client,
        entry.address,
        &Ask::post("/v1/completions", &unknown),
    )
    .await?;
    println!(
        "\nan unknown model: {} {}",
        refused.head.status,
        text(&refused.body)
    );
    Ok(())
}

async fn show_fleet(client: &Client, fleet: &Fleet, id: &str) -> Result<()> {
    let key = hornbeamtiller_core::id::Key::of(id).to_string();
    let filter = timeline::Filter {
        request: Some(key),
        ..Default::default()
    };
    println!("\nmerged time line of the call that ran once:");
    let entries = timeline::merge(client, &fleet.operators(), &filter).await;
    entries
        .iter()
        .take(TIMELINE_SHOWN)
        .for_each(|entry| println!("  {}", timeline::line(entry)));
    println!("\nmetrics:");
    for member in &fleet.members {
        println!("  vm {}: http://{}/metrics", member.vm, member.operator);
    }
    let observed = fleet.observed(client).await?;
    println!(
        "stand-ins: {} prompt tokens computed, {} cached, {} wasted; {} pieces held",
        observed.prefill_tokens_done,
        observed.prefill_tokens_cached,
        observed.prefill_tokens_wasted,
        observed.pieces_held
    );
    Ok(())
}

fn show_stream(what: &str, streamed: &Streamed) {
    let mut intervals = streamed.intervals.clone();
    intervals.sort();
    let middle = intervals
        .get(intervals.len() / 2)
        .copied()
        .unwrap_or_default();
    println!(
        "{what}: {} tokens, first after {:.1?}, then one every {middle:.1?} (median)",
        streamed.positions.len(),
        streamed.first_token
    );
}

async fn send(client: &Client, address: SocketAddr, ask: &Ask) -> Result<caller::Answer> {
    caller::send(client, address, ask)
        .await
        .change_context(Error::Unreachable(address))
}

async fn stream(client: &Client, address: SocketAddr, ask: &Ask) -> Result<Streamed> {
    stream_start(client, address, ask, usize::MAX).await
}

async fn stream_start(
    client: &Client,
    address: SocketAddr,
    ask: &Ask,
    tokens: usize,
) -> Result<Streamed> {
    caller::stream(client, address, ask, tokens)
        .await
        .change_context(Error::Unreachable(address))
}

fn text(body: &[u8]) -> String {
    String::from_utf8_lossy(body).into_owned()
}

fn expect(holds: bool, what: &str) -> Result<()> {
    if holds {
        Ok(())
    } else {
        Err(Report::new(Error::Unexpected(what.to_owned())))
    }
}
