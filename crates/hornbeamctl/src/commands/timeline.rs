//! The merged time line of several processes.

use std::net::SocketAddr;

use hornbeamtiller_core::id::Key;
use hornbeamtiller_core::timeline::Entry;
use hornbeamtiller_http::client::Client;
use serde::Deserialize;

use crate::caller::{self, Ask};
use crate::cli::TimelineFlags;
use crate::error::Result;

#[derive(Deserialize)]
struct Answer {
    vm: u32,
    dropped: u64,
    entries: Vec<Entry>,
}

/// Which entries to show.
#[derive(Debug, Default)]
pub struct Filter {
    /// Digest of a request's id.
    pub request: Option<String>,
    /// Name of a runner.
    pub runner: Option<String>,
    /// A VM.
    pub vm: Option<u32>,
    /// A ticket.
    pub ticket: Option<u64>,
}

impl Filter {
    fn takes(&self, entry: &Entry) -> bool {
        let request = self.request.is_none() || self.request == entry.request;
        let runner = self.runner.is_none() || self.runner == entry.subject;
        let vm = self.vm.is_none_or(|vm| vm == entry.vm);
        let ticket = self.ticket.is_none() || self.ticket == entry.ticket;
        request && runner && vm && ticket
    }
}

/// Shows the merged time line. Processes that can't be reached are named and left out.
///
/// # Errors
///
/// Only where the runtime can't be made.
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
        for entry in merge(&client, &flags.operators, &filter).await {
            if flags.json {
                println!("{}", serde_json::to_string(&entry).unwrap_or_default());
            } else {
                println!("{}", line(&entry));
            }
        }
        Ok(())
    })
}

/// Reads and merges time lines. The stamps order them: no effect stands before its cause.
pub async fn merge(client: &Client, operators: &[SocketAddr], filter: &Filter) -> Vec<Entry> {
    let mut all = Vec::new();
    for operator in operators {
        match caller::json::<Answer>(client, *operator, Ask::get("/admin/v1/timeline")).await {
            Ok(answer) => {
                if answer.dropped > 0 {
                    eprintln!(
                        "vm {} has dropped its first {} entries",
                        answer.vm, answer.dropped
                    );
                }
                all.extend(answer.entries);
            }
            Err(error) => eprintln!("{operator}: {error}"),
        }
    }
    all.retain(|entry| filter.takes(entry));
    all.sort_by_key(|entry| (entry.stamp, entry.vm));
    all
}

/// One entry as a line of text.
pub fn line(entry: &Entry) -> String {
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
