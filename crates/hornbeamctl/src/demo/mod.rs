//! A demonstration of the system: a fleet and its stand-ins in one process, with requests of each
//! kind.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt as _};
use hornbeamtiller_http::client::Client;
use hornbeamtiller_standin::deployment::{Deployment, SERVICE_TIME};
use hornbeamtiller_standin::fixture;
use http::Method;
use serde_json::json;

use crate::caller::{self, Entry, Request, StreamedResponse};
use crate::cli::DemoFlags;
use crate::commands::timeline;
use crate::error::{Error, Result};
use crate::fleet::Fleet;

/// Number of time line entries to print.
const TIMELINE_SHOWN: usize = 40;
/// Length of the streamed responses, in tokens.
const LONG_TOKENS: u64 = 60;

/// Runs the demo.
///
/// # Errors
///
/// [`Error::Start`] if a component doesn't start, [`Error::Unreachable`] or
/// [`Error::InvalidResponse`] if a request fails, and [`Error::Unexpected`] if a response breaks
/// what callers are promised.
pub fn run(flags: &DemoFlags) -> Result<()> {
    let deployment: Deployment = flags.deployment.into();
    let standins = fixture::Settings {
        deployment,
        listen: SocketAddr::from(([127, 0, 1, 1], 0)),
        service_time: SERVICE_TIME,
        relays: 0,
        configure_engine: |_| {},
    };
    let fleet = Fleet::start(flags.nodes, standins)?;
    let result = crate::block_on(run_requests(&fleet, flags.stay));
    fleet.stop();
    result
}

async fn run_requests(fleet: &Fleet, stay: bool) -> Result<()> {
    let client = Client::new(Default::default());
    fleet.register_and_wait(&client).await?;
    println!(
        "{} entry VMs and the {} stand-ins are up",
        fleet.members.len(),
        fleet.deployment
    );
    let first = fleet
        .members
        .first()
        .ok_or_else(|| Report::new(Error::Start("the demo: the fleet has no entry VM")))?;
    let entries = caller::fetch_entries(&client, first.caller).await?;
    println!("\nGET /v1/entries (keep for {} ms):", entries.keep_ms);
    for entry in &entries.entries {
        println!("  vm {} at {} in {}", entry.vm, entry.address, entry.zone);
    }
    let entry = entries
        .entries
        .first()
        .ok_or_else(|| Report::new(Error::Start("the demo: /v1/entries returned no entries")))?;
    let id = call_services(&client, fleet, entry).await?;
    call_models(&client, fleet, entry).await?;
    print_fleet(&client, fleet, &id).await?;
    if stay {
        println!("\nrunning until interrupted");
        futures::future::pending::<()>().await;
    }
    Ok(())
}

/// Sends a read and a call that may run only once, then repeats the call at the same VM and at
/// another. Returns the id of the call.
async fn call_services(client: &Client, fleet: &Fleet, entry: &Entry) -> Result<String> {
    let (read, once) = fleet.deployment.service_paths();
    let service = format!("/v1/services/{}", fleet.deployment.service());
    let response = send(
        client,
        entry.address,
        &Request::get(&format!("{service}{read}")),
    )
    .await?;
    println!(
        "\nGET {service}{read}: {} in {:.1?}\n  {}",
        response.head.status,
        response.elapsed,
        lossy_text(&response.body)
    );
    let id = format!("{}.demo-1", entry.token);
    let request = Request::new(Method::POST, &format!("{service}{once}"))
        .header("idempotency-key", &id)
        .body("{\"amount\":100}")
        .on_new_connection();
    let first = send(client, entry.address, &request).await?;
    println!(
        "\nPOST {service}{once}: {} in {:.1?}\n  {}",
        first.head.status,
        first.elapsed,
        lossy_text(&first.body)
    );
    let repeat = send(client, entry.address, &request).await?;
    expect(
        repeat.body == first.body,
        "a repeat got a different response",
    )?;
    println!(
        "the same id again: {} (replayed: {})",
        repeat.head.status,
        repeat.head.headers.contains_key("idempotent-replayed")
    );
    if let Some(other) = fleet.members.iter().find(|member| member.vm != entry.vm) {
        let forwarded = send(client, other.caller, &request).await?;
        expect(
            forwarded.body == first.body,
            "a repeat at another VM got a different response",
        )?;
        println!(
            "the same id at vm {}: {}, forwarded to vm {}",
            other.vm, forwarded.head.status, entry.vm
        );
    }
    let observed = fleet.fetch_observed(client).await?;
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
    let response = send(
        client,
        entry.address,
        &Request::post("/v1/completions", &body),
    )
    .await?;
    println!(
        "\nPOST /v1/completions: {} in {:.1?}, {} bytes",
        response.head.status,
        response.elapsed,
        response.body.len()
    );
    expect(
        response.head.status.is_success(),
        "the completion was refused",
    )?;
    let messages = json!([{ "role": "user", "content": prompt }]);
    let body = json!({
        "model": fleet.deployment.model(), "messages": messages, "max_tokens": LONG_TOKENS, "stream": true,
    });
    let request = Request::post("/v1/chat/completions", &body);
    let streamed = stream(client, entry.address, &request).await?;
    print_stream("POST /v1/chat/completions (stream)", &streamed);
    expect(streamed.is_complete(), "the stream is not complete")?;
    let partial = stream_up_to(client, entry.address, &request, 10).await?;
    let (Some(id), Some(last)) = (partial.id.clone(), partial.positions.last()) else {
        return Err(Report::new(Error::Unexpected(
            "a stream without an id".to_owned(),
        )));
    };
    let request = request
        .header("idempotency-key", &id)
        .header("last-event-id", &last.to_string());
    let remainder = stream(client, entry.address, &request).await?;
    println!(
        "disconnected after token {last} and resumed the stream: tokens {:?} to {:?}",
        remainder.positions.first(),
        remainder.positions.last()
    );
    expect(
        remainder.positions.first() == Some(&(last + 1)) && remainder.done,
        "the stream was not resumed",
    )?;
    let unknown = json!({ "model": "no-such-model", "prompt": "x" });
    let refused = send(
        client,
        entry.address,
        &Request::post("/v1/completions", &unknown),
    )
    .await?;
    println!(
        "\nan unknown model: {} {}",
        refused.head.status,
        lossy_text(&refused.body)
    );
    Ok(())
}

async fn print_fleet(client: &Client, fleet: &Fleet, id: &str) -> Result<()> {
    let key = hornbeamtiller_core::id::Key::of(id).to_string();
    let filter = timeline::Filter {
        request: Some(key),
        ..Default::default()
    };
    println!("\nmerged time line of the call that ran once:");
    let entries = timeline::fetch_merged(client, &fleet.operators(), &filter).await;
    entries
        .iter()
        .take(TIMELINE_SHOWN)
        .for_each(|entry| println!("  {}", timeline::format_entry(entry)));
    println!("\nmetrics:");
    for member in &fleet.members {
        println!("  vm {}: http://{}/metrics", member.vm, member.operator);
    }
    let observed = fleet.fetch_observed(client).await?;
    println!(
        "stand-ins: {} prompt tokens computed, {} cached, {} wasted; {} pieces held",
        observed.prefill_tokens_done,
        observed.prefill_tokens_cached,
        observed.prefill_tokens_wasted,
        observed.pieces_held
    );
    Ok(())
}

fn print_stream(what: &str, streamed: &StreamedResponse) {
    let mut intervals = streamed.intervals.clone();
    intervals.sort();
    let median = intervals
        .get(intervals.len() / 2)
        .copied()
        .unwrap_or_default();
    println!(
        "{what}: {} tokens, first after {:.1?}, then one every {median:.1?} (median)",
        streamed.positions.len(),
        streamed.first_token
    );
}

async fn send(client: &Client, address: SocketAddr, request: &Request) -> Result<caller::Response> {
    caller::send(client, address, request)
        .await
        .change_context(Error::Unreachable(address))
}

async fn stream(
    client: &Client,
    address: SocketAddr,
    request: &Request,
) -> Result<StreamedResponse> {
    stream_up_to(client, address, request, usize::MAX).await
}

async fn stream_up_to(
    client: &Client,
    address: SocketAddr,
    request: &Request,
    tokens_max: usize,
) -> Result<StreamedResponse> {
    caller::stream(client, address, request, tokens_max)
        .await
        .change_context(Error::Unreachable(address))
}

fn lossy_text(body: &[u8]) -> String {
    String::from_utf8_lossy(body).into_owned()
}

fn expect(condition: bool, what: &str) -> Result<()> {
    if condition {
        Ok(())
    } else {
        Err(Report::new(Error::Unexpected(what.to_owned())))
    }
}
