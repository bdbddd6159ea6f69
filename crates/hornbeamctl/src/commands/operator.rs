//! Commands that query or drain one process.

use std::net::SocketAddr;

use hornbeamtiller_http::client::Client;
use http::Method;
use serde_json::Value;

use crate::caller::{self, Request};
use crate::cli::{DrainFlags, EntriesFlags, OperatorFlags};
use crate::error::Result;

/// Prints the entry addresses that callers are given.
///
/// # Errors
///
/// Those of [`caller::send_for_json`], and [`Error::Runtime`](crate::error::Error::Runtime) if the
/// runtime can't be created.
pub fn entries(flags: &EntriesFlags) -> Result<()> {
    let path = match &flags.zone {
        Some(zone) => format!("/v1/entries?zone={zone}"),
        None => "/v1/entries".to_owned(),
    };
    print_json(flags.caller, Request::get(&path))
}

/// Prints the status of a process.
///
/// # Errors
///
/// As [`entries`].
pub fn status(flags: &OperatorFlags) -> Result<()> {
    print_json(flags.operator, Request::get("/admin/v1/status"))
}

/// Makes a process leave the fleet and prints its response.
///
/// # Errors
///
/// As [`entries`].
pub fn drain(flags: &DrainFlags) -> Result<()> {
    let authorization = format!("Bearer {}", flags.token);
    let request =
        Request::new(Method::POST, "/admin/v1/drain").header("authorization", &authorization);
    print_json(flags.operator, request)
}

fn print_json(address: SocketAddr, request: Request) -> Result<()> {
    crate::block_on(async move {
        let client = Client::new(Default::default());
        let value: Value = caller::send_for_json(&client, address, request).await?;
        println!("{value:#}");
        Ok(())
    })
}
