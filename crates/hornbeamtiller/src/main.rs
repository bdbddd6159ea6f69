//! The process of one entry VM: serves this project's own callers with the flags below, or runs on
//! the operators' platform as `gateway`.
//!
//! Exit codes: 0 after a graceful leave, 1 if a second signal ended it, 2 for invalid flags, 3 for settings that fail
//! validation, 4 if the process can't start.

mod allocator;
mod logging;
mod stop;

use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use error_stack::{Report, ResultExt as _};
use hornbeamtiller_http::server::{STOP_LOG_TARGET, UNREAD_TIMEOUT};
use hornbeamtiller_node::{Flags, Node, Settings};
use hornbeamtiller_platform::Process;
use hornbeamtiller_relay::policy::{self, Policy};
use logging::{Output, Writer};
use stop::{Blocked, Ending, Grace, Hangup, Signals, SIGNAL_POLL_INTERVAL};

/// Exit code for settings that fail validation.
const EXIT_INVALID_SETTINGS: u8 = 3;
/// Exit code if the process can't start.
const EXIT_START_FAILED: u8 = 4;
/// Interval at which the settings file is polled, since it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// How long before the end of the grace period the last clients are waited for. The rest is for the log and the exit.
const KILL_MARGIN: Duration = Duration::from_millis(250);

/// Routes model requests between prefill and decode pools, and calls to plain services.
///
/// SIGTERM and SIGINT start a graceful leave. A second SIGINT ends the process immediately; a second SIGTERM changes
/// nothing.
#[derive(Debug, Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true,
    after_help = "Exit codes: 0 after a graceful leave, 1 ended by a second signal, 2 invalid flags, \
                  3 invalid settings, 4 can't start."
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    flags: Option<Flags>,
}

/// Modes other than serving this project's own callers.
#[derive(Debug, Subcommand)]
enum Command {
    /// Runs on the operators' platform, which supplies the settings as a file.
    Gateway {
        /// The settings file.
        #[arg(long, env = "HORNBEAMTILLER_SETTINGS")]
        settings: PathBuf,
        /// Secret text, the same on all VMs, under which requests are hashed: log lines name requests by these
        /// hashes.
        #[arg(
            long,
            env = "HORNBEAMTILLER_KEY",
            hide_env_values = true,
            default_value = ""
        )]
        key: String,
        /// Changes a parameter of the decisions, as NAME=VALUE; for experiments only.
        #[arg(long, value_name = "NAME=VALUE", hide = true)]
        experiment: Vec<String>,
    },
    /// Validates the platform's settings file and lists all faults.
    Check {
        /// The settings file.
        #[arg(long, env = "HORNBEAMTILLER_SETTINGS")]
        settings: PathBuf,
    },
}

/// Why the process failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// Logging can't be set up.
    #[error("can't set up logging")]
    Logging,
    /// Signal handlers can't be installed.
    #[error("can't install signal handlers")]
    Signals,
    /// The runtime can't be created.
    #[error("can't create the runtime")]
    Runtime,
    /// The process can't start, for example because it can't listen at an address.
    #[error("can't start")]
    Start,
}

/// Interval at which the allocator is told to look for unused memory; it does so by itself only when memory is freed.
const COLLECT_INTERVAL: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let hangup = Hangup::block();
    allocator::configure();
    let cli = Cli::parse();
    let result = match (cli.command, cli.flags) {
        (
            Some(Command::Gateway {
                settings,
                key,
                experiment,
            }),
            _,
        ) => match parse_policy(&experiment) {
            Ok(policy) => run_gateway(&settings, policy, &key, hangup),
            Err(fault) => {
                eprintln!("hornbeamtiller: --experiment: {fault}");
                return ExitCode::from(EXIT_INVALID_SETTINGS);
            }
        },
        (Some(Command::Check { settings }), _) => return check_settings(&settings),
        (None, Some(flags)) => match flags.check() {
            Ok(settings) => run_node(settings, hangup),
            Err(faults) => {
                faults
                    .iter()
                    .for_each(|fault| eprintln!("hornbeamtiller: {fault}"));
                return ExitCode::from(EXIT_INVALID_SETTINGS);
            }
        },
        (None, None) => {
            eprintln!("hornbeamtiller: flags are missing; see --help");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match result {
        Ok(Ending::Interrupted) => ExitCode::from(stop::EXIT_INTERRUPTED),
        Ok(Ending::AllReceived | Ending::GracePeriodOver) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("hornbeamtiller: {report:#}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn parse_policy(changes: &[String]) -> Result<Policy, policy::Error> {
    let mut policy = Policy::default();
    for change in changes {
        policy.set(change)?;
    }
    Ok(policy)
}

/// Prints all faults of a settings file of the platform.
fn check_settings(path: &Path) -> ExitCode {
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
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

fn run_node(settings: Settings, hangup: io::Result<Hangup>) -> Result<Ending, Report<Error>> {
    let hangup = hangup.change_context(Error::Signals)?;
    hangup.release().change_context(Error::Signals)?;
    let blocked = Blocked::block().change_context(Error::Signals)?;
    let log = logging::init(Output::Stderr).change_context(Error::Logging)?;
    let signals = blocked.handle().change_context(Error::Signals)?;
    run(serve_node(settings, signals), log)
}

fn run_gateway(
    settings: &Path,
    policy: Policy,
    key: &str,
    hangup: io::Result<Hangup>,
) -> Result<Ending, Report<Error>> {
    let hangup = hangup.change_context(Error::Signals)?;
    let blocked = Blocked::block().change_context(Error::Signals)?;
    let log = logging::init(Output::Stdout).change_context(Error::Logging)?;
    let signals = blocked.handle().change_context(Error::Signals)?;
    let reload_requested = hangup.handle().change_context(Error::Signals)?;
    let serving = serve_gateway(settings, policy, key, signals, reload_requested);
    run(serving, log)
}

/// Runs the process, and has its log written before it ends.
fn run(
    serving: impl Future<Output = Result<Ending, Report<Error>>>,
    log: Writer,
) -> Result<Ending, Report<Error>> {
    let result = hornbeamtiller_http::runtime::block_on(serving)
        .change_context(Error::Runtime)
        .and_then(|result| result);
    if let Err(report) = &result {
        log::error!(target: STOP_LOG_TARGET, error:? = report; "start_failed");
    }
    log.close();
    result
}

async fn serve_gateway(
    settings: &Path,
    policy: Policy,
    key: &str,
    signals: Signals,
    reload_requested: Arc<AtomicBool>,
) -> Result<Ending, Report<Error>> {
    let process = Process::open(settings, policy, key).change_context(Error::Start)?;
    log::info!("started");
    let mut last_poll = Instant::now();
    let mut last_collect = Instant::now();
    let mut unasked_at = signals.blocked_at();
    while !signals.look_for_stop(&mut unasked_at) {
        monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
        if last_collect.elapsed() >= COLLECT_INTERVAL {
            last_collect = Instant::now();
            allocator::collect();
        }
        let due = last_poll.elapsed() >= SETTINGS_POLL_INTERVAL;
        if due {
            last_poll = Instant::now();
        }
        if reload_requested.swap(false, Ordering::Relaxed) || (due && process.settings_changed()) {
            process.reload();
        }
    }
    let began_at = signals.stop_requested_at();
    let grace = Grace {
        began_at,
        last_moment: began_at + process.grace_period().saturating_sub(KILL_MARGIN),
    };
    process.leave(unasked_at.elapsed());
    stop::wait_until_left(|| process.has_left(), &signals).await;
    let closing = process.close();
    Ok(stop::wait_for_clients(&closing, grace, &signals).await)
}

async fn serve_node(settings: Settings, signals: Signals) -> Result<Ending, Report<Error>> {
    let node = Node::open(settings).change_context(Error::Start)?;
    log::info!(
        "serving callers at {}, peers at {}, operators at {}",
        node.caller_address(),
        node.peer_address(),
        node.operator_address()
    );
    while !signals.is_stop_requested() && !node.has_left() {
        monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
    }
    let began_at = Instant::now();
    node.leave();
    stop::wait_until_left(|| node.has_left(), &signals).await;
    let closing = node.close();
    let grace = Grace {
        began_at,
        last_moment: Instant::now() + UNREAD_TIMEOUT,
    };
    let ending = stop::wait_for_clients(&closing, grace, &signals).await;
    log::info!("left");
    Ok(ending)
}
