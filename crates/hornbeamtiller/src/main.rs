//! The process of one entry VM: with the flags below before this project's own callers, or, as
//! `gateway`, on the operators' platform.
//!
//! Exit codes: 0 after a graceful leave, 2 for wrong flags, 3 for settings that fail their check,
//! 4 where the process can't start.

mod logging;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use error_stack::{Report, ResultExt as _};
use hornbeamtiller_node::{Flags, Node, Settings};
use hornbeamtiller_platform::Process;
use logging::Output;

/// Exit code for settings that fail their check.
const EXIT_SETTINGS: u8 = 3;
/// Exit code where the process can't start.
const EXIT_START: u8 = 4;
/// Interval at which signals are looked at.
const SIGNAL_CHECK: Duration = Duration::from_millis(50);
/// Interval at which the settings file is looked at, since it may change without a signal.
const SETTINGS_CHECK: Duration = Duration::from_secs(3);
/// Time for the last bytes of replies to go out after all work has ended.
const LAST_WRITES: Duration = Duration::from_millis(300);

/// Routes model requests between prefill and decode pools, and calls to plain services.
///
/// SIGTERM and SIGINT begin a graceful leave; a second one ends the process at once.
#[derive(Debug, Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true,
    after_help = "Exit codes: 0 left gracefully, 2 wrong flags, 3 settings fail their check, \
                                 4 can't start."
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    flags: Option<Flags>,
}

/// Other ways to run than before this project's own callers.
#[derive(Debug, Subcommand)]
enum Command {
    /// Runs on the operators' platform, which gives the settings as a file.
    Gateway {
        /// The settings file.
        #[arg(long, env = "HORNBEAMTILLER_SETTINGS")]
        settings: PathBuf,
    },
    /// Checks the platform's settings file and names all its faults.
    Check {
        /// The settings file.
        #[arg(long, env = "HORNBEAMTILLER_SETTINGS")]
        settings: PathBuf,
    },
}

/// Why the process ended in failure.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// Logs can't be written.
    #[error("can't set up logs")]
    Logging,
    /// Signals can't be received.
    #[error("can't receive signals")]
    Signals,
    /// The runtime can't be made.
    #[error("can't make the runtime")]
    Runtime,
    /// The listeners can't be opened.
    #[error("can't start")]
    Start,
}

/// Small allocations of many sizes are most of a request's cost; this allocator halves it.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let ended = match (cli.command, cli.flags) {
        (Some(Command::Gateway { settings }), _) => run_gateway(&settings),
        (Some(Command::Check { settings }), _) => return check(&settings),
        (None, Some(flags)) => match flags.check() {
            Ok(settings) => run_node(settings),
            Err(faults) => {
                faults
                    .iter()
                    .for_each(|fault| eprintln!("hornbeamtiller: {fault}"));
                return ExitCode::from(EXIT_SETTINGS);
            }
        },
        (None, None) => {
            eprintln!("hornbeamtiller: flags are missing; see --help");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("hornbeamtiller: {report:#}");
            ExitCode::from(EXIT_START)
        }
    }
}

/// Names all faults of a settings file of the platform.
fn check(path: &Path) -> ExitCode {
    let faults = match std::fs::read(path) {
        Ok(text) => hornbeamtiller_platform::settings::find_faults(&text),
        Err(error) => vec![format!("can't read {}: {error}", path.display())],
    };
    if faults.is_empty() {
        println!("{}: no faults", path.display());
        return ExitCode::SUCCESS;
    }
    faults
        .iter()
        .for_each(|fault| eprintln!("hornbeamtiller: {fault}"));
    ExitCode::from(EXIT_SETTINGS)
}

fn run_node(settings: Settings) -> Result<(), Report<Error>> {
    logging::open(Output::Stderr).change_context(Error::Logging)?;
    let stop = receive_signals().change_context(Error::Signals)?;
    hornbeamtiller_http::runtime::block_on(serve(settings, stop)).change_context(Error::Runtime)?
}

fn run_gateway(settings: &Path) -> Result<(), Report<Error>> {
    logging::open(Output::Stdout).change_context(Error::Logging)?;
    let stop = receive_signals().change_context(Error::Signals)?;
    let reload = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, reload.clone())
        .change_context(Error::Signals)?;
    hornbeamtiller_http::runtime::block_on(serve_gateway(settings, stop, reload))
        .change_context(Error::Runtime)?
}

async fn serve_gateway(
    settings: &Path,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
) -> Result<(), Report<Error>> {
    let process = Process::open(settings).change_context(Error::Start)?;
    log::info!("started");
    let mut looked = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        monoio::time::sleep(SIGNAL_CHECK).await;
        let due = looked.elapsed() >= SETTINGS_CHECK;
        if due {
            looked = Instant::now();
        }
        if reload.swap(false, Ordering::Relaxed) || (due && process.settings_changed()) {
            process.reload();
        }
    }
    process.leave();
    while !process.has_left() {
        monoio::time::sleep(SIGNAL_CHECK).await;
    }
    process.close();
    monoio::time::sleep(LAST_WRITES).await;
    Ok(())
}

/// Sets a flag at the first signal and ends the process at the second.
fn receive_signals() -> std::io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register_conditional_shutdown(signal, 1, stop.clone())?;
        signal_hook::flag::register(signal, stop.clone())?;
    }
    Ok(stop)
}

async fn serve(settings: Settings, stop: Arc<AtomicBool>) -> Result<(), Report<Error>> {
    let node = Node::open(settings).change_context(Error::Start)?;
    log::info!(
        "serving callers at {}, peers at {}, operators at {}",
        node.caller_address(),
        node.peer_address(),
        node.operator_address()
    );
    while !stop.load(Ordering::Relaxed) && !node.has_left() {
        monoio::time::sleep(SIGNAL_CHECK).await;
    }
    node.leave();
    node.left().await;
    node.close();
    monoio::time::sleep(LAST_WRITES).await;
    log::info!("left");
    Ok(())
}
