//! Command-line tool for operators and developers of hornbeamtiller.
//!
//! Exit codes: 0 on success, 1 if a check failed, a bound was violated or nothing was found, 2 for
//! invalid flags, 3 if a process can't be reached or started or a file can't be read.

mod bench;
mod caller;
mod cli;
mod commands;
mod demo;
mod error;
mod fleet;

use std::process::ExitCode;

use clap::Parser as _;

use cli::{Cli, Command};
use error::Error;

/// Small allocations of many sizes make up most of the cost of a request; mimalloc halves it.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("hornbeamctl: {report:#}");
            ExitCode::from(report.current_context().exit_code())
        }
    }
}

fn run(command: Command) -> error::Result<()> {
    match command {
        Command::Demo(flags) => demo::run(&flags),
        Command::Bench(flags) => bench::run(&flags),
        Command::Standin(flags) => commands::standin::run(&flags),
        Command::Entries(flags) => commands::operator::entries(&flags),
        Command::Status(flags) => commands::operator::status(&flags),
        Command::Timeline(flags) => commands::timeline::run(&flags),
        Command::Explain(flags) => commands::explain::run(&flags),
        Command::Ticket(flags) => commands::ticket::run(&flags),
        Command::Drain(flags) => commands::operator::drain(&flags),
    }
}

/// Runs a future to completion on a runtime of this thread.
///
/// # Errors
///
/// [`Error::Runtime`] if the runtime can't be created, and the errors of the future.
fn block_on<T>(future: impl std::future::Future<Output = error::Result<T>>) -> error::Result<T> {
    use error_stack::ResultExt as _;
    hornbeamtiller_http::runtime::block_on(future).change_context(Error::Runtime)?
}
