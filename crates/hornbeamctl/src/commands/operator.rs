//! Commands that ask one process.

use std::net::SocketAddr;

use hornbeamtiller_http::client::Client;
use http::Method;
use serde_json::Value;

use crate::caller::{self, Ask};
use crate::cli::{DrainFlags, EntriesFlags, OperatorFlags};
use crate::error::Result;

/// Shows which addresses callers are told to use.
///
/// # Errors
///
/// Where the process can't be reached or refuses.
pub fn entries(flags: &EntriesFlags) -> Result<()> {
    let path = match &flags.zone {
        Some(zone) => format!("/v1/entries?zone={zone}"),
        None => "/v1/entries".to_owned(),
    };
    show(flags.caller, Ask::get(&path))
}

/// Shows what a process knows.
///
/// # Errors
///
/// As [`entries`].
pub fn status(flags: &OperatorFlags) -> Result<()> {
    show(flags.operator, Ask::get("/admin/v1/status"))
}

/// Makes a process leave.
///
/// # Errors
///
/// As [`entries`].
pub fn drain(flags: &DrainFlags) -> Result<()> {
    let authorization = format!("Bearer {}", flags.token);
    let ask = Ask::new(Method::POST, "/admin/v1/drain").header("authorization", &authorization);
    show(flags.operator, ask)
}

fn show(address: SocketAddr, ask: Ask) -> Result<()> {
    crate::block_on(async move {
        let client = Client::new(Default::default());
        let value: Value = caller::json(&client, address, ask).await?;
        println!("{value:#}");
        Ok(())
    })
}
