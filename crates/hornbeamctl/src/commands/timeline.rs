//! Merges the time lines of several processes.

use std::net::SocketAddr;

use hornbeamtiller_core::id::Key;
use hornbeamtiller_core::timeline::Entry;
use hornbeamtiller_http::client::Client;
use serde::Deserialize;

use crate::caller::{self, Request};
use crate::cli::TimelineFlags;
use crate::error::Result;

#[derive(Deserialize)]
struct Response {
    vm: u32,
    dropped: u64,
    entries: Vec<Entry>,
}

/// Selects entries; a field that is `None` accepts all.
#[derive(Debug, Default)]
pub struct Filter {
    /// Digest of the request id.
    pub request: Option<String>,
    /// Name of a runner.
    pub runner: Option<String>,
    /// Number of the VM.
    pub vm: Option<u32>,
    /// Number of the ticket.
    pub ticket: Option<u64>,
}

impl Filter {
    fn matches(&self, entry: &Entry) -> bool {
        let request = self.request.is_none() || self.request == entry.request;
        let runner = self.runner.is_none() || self.runner == entry.subject;
        let vm = self.vm.is_none_or(|vm| vm == entry.vm);
        let ticket = self.ticket.is_none() || self.ticket == entry.ticket;
        request && runner && vm && ticket
    }
}

/// Prints the merged time line. Processes that can't be reached are reported and skipped.
///
/// # Errors
///
/// [`Error::Runtime`](crate::error::Error::Runtime) if the runtime can't be created.
pub fn run(flags: &TimelineFlags) -> Result<()> {
    let request = flags.request.as_ref().map(|id| {
        if id.contains('.') {
            Key::of(id).to_string()
        } else {
            id.clone()
        }
    });
    let filter = Filter {
        request,
        runner: flags.runner.clone(),
        vm: flags.vm,
        ticket: flags.ticket,
    };
    crate::block_on(async move {
        let client = Client::new(Default::default());
        for entry in fetch_merged(&client, &flags.operators, &filter).await {
            if flags.json {
                println!("{}", serde_json::to_string(&entry).unwrap_or_default());
            } else {
                println!("{}", format_entry(&entry));
            }
        }
        Ok(())
    })
}

/// Fetches time lines and merges them in the order of their stamps, in which a cause comes before
/// its effects. Processes that can't be reached are reported to standard error and skipped.
pub async fn fetch_merged(
    client: &Client,
    operators: &[SocketAddr],
    filter: &Filter,
) -> Vec<Entry> {
    let mut entries = Vec::new();
    for operator in operators {
        match caller::send_for_json::<Response>(
            client,
            *operator,
            Request::get("/admin/v1/timeline"),
        )
        .await
        {
            Ok(response) => {
                if response.dropped > 0 {
                    eprintln!(
                        "vm {} has dropped its first {} entries",
                        response.vm, response.dropped
                    );
                }
                entries.extend(response.entries);
            }
            Err(error) => eprintln!("{operator}: {error}"),
        }
    }
    entries.retain(|entry| filter.matches(entry));
    entries.sort_by_key(|entry| (entry.stamp, entry.vm));
    entries
}

/// Formats an entry as a line of text.
pub fn format_entry(entry: &Entry) -> String {
    let second = entry.stamp.micros / 1_000_000;
    let mut line = format!(
        "{:02}:{:02}:{:02}.{:06} vm {:<3} {}",
        second / 3600 % 24,
        second / 60 % 60,
        second % 60,
        entry.stamp.micros % 1_000_000,
        entry.vm,
        entry.kind
    );
    if let Some(request) = &entry.request {
        line.push_str(&format!(" request {}", &request[..request.len().min(8)]));
    }
    if let Some(subject) = &entry.subject {
        line.push_str(&format!(" {subject}"));
    }
    if let Some(ticket) = entry.ticket {
        line.push_str(&format!(" ticket {ticket}"));
    }
    if let Some(detail) = &entry.detail {
        line.push_str(&format!(" ({detail})"));
    }
    line
}
