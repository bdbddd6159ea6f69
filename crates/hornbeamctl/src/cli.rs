//! Flags of all commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use hornbeamtiller_standin::deployment::Deployment;

/// Operates, shows and measures hornbeamtiller.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 success, 1 a check or bound failed, 2 wrong flags, \
                                 3 a process can't be reached or started."
)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs a small fleet with stand-ins in this process and sends requests of each kind.
    Demo(DemoFlags),
    /// Measures; each kind prints its figures and fails where a stated bound is broken.
    Bench(BenchFlags),
    /// Runs a deployment's stand-ins alone.
    Standin(StandinFlags),
    /// Shows which addresses callers are told to use.
    Entries(EntriesFlags),
    /// Shows what a process knows.
    Status(OperatorFlags),
    /// Merges the time lines of processes in causal order.
    Timeline(TimelineFlags),
    /// Tells the story of one request, from the log files of processes.
    Explain(ExplainFlags),
    /// Checks and compares tickets.
    Ticket(TicketFlags),
    /// Makes a process leave without cutting a request.
    Drain(DrainFlags),
}

/// A deployment, by its short name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum DeploymentName {
    /// Myto Szlak sp. z o.o.
    Myto,
    /// Lakeshore Safelight Labs.
    Lakeshore,
}

impl From<DeploymentName> for Deployment {
    fn from(name: DeploymentName) -> Self {
        match name {
            DeploymentName::Myto => Deployment::Myto,
            DeploymentName::Lakeshore => Deployment::Lakeshore,
        }
    }
}

/// Flags of `demo`.
#[derive(Debug, Args)]
pub struct DemoFlags {
    /// Whose stand-ins to run.
    #[arg(
        long,
        env = "HORNBEAMCTL_DEPLOYMENT",
        value_enum,
        default_value = "myto"
    )]
    pub deployment: DeploymentName,
    /// Number of entry VM processes (threads here).
    #[arg(long, env = "HORNBEAMCTL_NODES", default_value_t = 8)]
    pub nodes: u32,
    /// Keeps everything up after the requests, until interrupted.
    #[arg(long, env = "HORNBEAMCTL_STAY")]
    pub stay: bool,
}

/// Flags of `standin`.
#[derive(Debug, Args)]
pub struct StandinFlags {
    /// Whose stand-ins to run.
    #[arg(
        long,
        env = "HORNBEAMCTL_DEPLOYMENT",
        value_enum,
        default_value = "myto"
    )]
    pub deployment: DeploymentName,
    /// Address of the control listener, IP:PORT. The platform gets the next port, then the runners.
    #[arg(
        long,
        env = "HORNBEAMCTL_STANDIN_LISTEN",
        default_value = "127.0.1.1:9000"
    )]
    pub listen: SocketAddr,
    /// Number of entry VMs on the platform's list: VM n at 127.0.0.n, callers at port 8080, peers at
    /// port 8081.
    #[arg(long, env = "HORNBEAMCTL_VMS", default_value_t = 8)]
    pub vms: u8,
}

/// Flags of commands that ask a process's operator listener.
#[derive(Debug, Args)]
pub struct OperatorFlags {
    /// Operator address of the process, IP:PORT.
    #[arg(long, env = "HORNBEAMCTL_OPERATOR")]
    pub operator: SocketAddr,
}

/// Flags of `explain`.
#[derive(Debug, Args)]
pub struct ExplainFlags {
    /// Id of the request.
    pub request: String,
    /// Log files of processes, as they wrote them to standard output.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Flags of `entries`.
#[derive(Debug, Args)]
pub struct EntriesFlags {
    /// Caller address of any process, IP:PORT.
    #[arg(long, env = "HORNBEAMCTL_CALLER")]
    pub caller: SocketAddr,
    /// Availability zone to be nearest to.
    #[arg(long, env = "HORNBEAMCTL_ZONE")]
    pub zone: Option<String>,
}

/// Flags of `drain`.
#[derive(Debug, Args)]
pub struct DrainFlags {
    /// Operator address of the process, IP:PORT.
    #[arg(long, env = "HORNBEAMCTL_OPERATOR")]
    pub operator: SocketAddr,
    /// Token of the operator.
    #[arg(long, env = "HORNBEAMCTL_OPERATOR_TOKEN", hide_env_values = true)]
    pub token: String,
}

/// Flags of `timeline`.
#[derive(Debug, Args)]
pub struct TimelineFlags {
    /// Operator addresses of the processes, IP:PORT, separated by commas.
    #[arg(
        long,
        env = "HORNBEAMCTL_OPERATORS",
        value_delimiter = ',',
        required = true
    )]
    pub operators: Vec<SocketAddr>,
    /// Only entries about this request: its whole id, or the digest that entries show.
    #[arg(long, env = "HORNBEAMCTL_REQUEST")]
    pub request: Option<String>,
    /// Only entries about this runner.
    #[arg(long, env = "HORNBEAMCTL_RUNNER")]
    pub runner: Option<String>,
    /// Only entries of this VM.
    #[arg(long, env = "HORNBEAMCTL_VM")]
    pub vm: Option<u32>,
    /// Only entries about this ticket.
    #[arg(long, env = "HORNBEAMCTL_TICKET")]
    pub ticket: Option<u64>,
    /// Writes one JSON object a line.
    #[arg(long, env = "HORNBEAMCTL_JSON")]
    pub json: bool,
}

/// Flags of `ticket`.
#[derive(Debug, Args)]
pub struct TicketFlags {
    /// What to do with tickets.
    #[command(subcommand)]
    pub command: TicketCommand,
}

/// What to do with tickets.
#[derive(Debug, Subcommand)]
pub enum TicketCommand {
    /// Checks a ticket and lists all its faults.
    Check {
        /// File with the ticket's JSON.
        file: PathBuf,
    },
    /// Lists the items in which two tickets differ.
    Diff {
        /// File with the earlier ticket's JSON.
        before: PathBuf,
        /// File with the later ticket's JSON.
        after: PathBuf,
    },
}

/// Flags of `bench`.
#[derive(Debug, Args)]
pub struct BenchFlags {
    /// What to measure.
    #[command(subcommand)]
    pub command: BenchCommand,
}

/// What to measure.
#[derive(Debug, Subcommand)]
pub enum BenchCommand {
    /// What one node adds to a call and to a token, against the same straight to the stand-in.
    Overhead(OverheadFlags),
    /// What a node spends on control, at several sizes of the fleet.
    Control(ControlFlags),
    /// A rolling replacement, tickets and a failing platform under load.
    Fleet(FleetFlags),
    /// Executions against answers, with entry VMs and runners that fail by seed.
    Once(OnceFlags),
}

/// Flags that all kinds of measurement have.
#[derive(Debug, Clone, Args)]
pub struct SeedFlags {
    /// First seed.
    #[arg(long, env = "HORNBEAMCTL_SEED", default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds, from the first one on.
    #[arg(long, env = "HORNBEAMCTL_SEEDS", default_value_t = 1)]
    pub seeds: u64,
    /// Writes one JSON object a line on standard output.
    #[arg(long, env = "HORNBEAMCTL_JSON")]
    pub json: bool,
}

impl SeedFlags {
    /// The seeds.
    pub fn range(&self) -> std::ops::Range<u64> {
        self.seed..self.seed + self.seeds
    }
}

/// Flags of `bench overhead`.
#[derive(Debug, Args)]
pub struct OverheadFlags {
    /// Seeds and form of output.
    #[command(flatten)]
    pub seeds: SeedFlags,
    /// Pairs of plain calls.
    #[arg(long, env = "HORNBEAMCTL_CALLS", default_value_t = 2_000)]
    pub calls: u32,
    /// Streams at a time.
    #[arg(long, env = "HORNBEAMCTL_STREAMS", default_value_t = 40)]
    pub streams: u32,
    /// Tokens of each stream.
    #[arg(long, env = "HORNBEAMCTL_TOKENS", default_value_t = 400)]
    pub tokens: u32,
}

/// Flags of `bench once`.
#[derive(Debug, Args)]
pub struct OnceFlags {
    /// Seeds and form of output.
    #[command(flatten)]
    pub seeds: SeedFlags,
    /// Time for which requests are sent, in seconds.
    #[arg(long, env = "HORNBEAMCTL_SECONDS", default_value_t = 20)]
    pub seconds: u64,
    /// Requests a second.
    #[arg(long, env = "HORNBEAMCTL_RATE", default_value_t = 60)]
    pub rate: u32,
    /// Number of entry VMs.
    #[arg(long, env = "HORNBEAMCTL_NODES", default_value_t = 6)]
    pub nodes: u32,
    /// Mean time from one fault to the next, in milliseconds.
    #[arg(long, env = "HORNBEAMCTL_GAP_MS", default_value_t = 750)]
    pub gap_ms: u64,
    /// Shows the merged time line of so many requests that ended unknown.
    #[arg(long, env = "HORNBEAMCTL_EXPLAIN", default_value_t = 0)]
    pub explain: usize,
    /// Kind of faults.
    #[arg(long, env = "HORNBEAMCTL_FAULTS", value_enum, default_value = "all")]
    pub faults: FaultKind,
}

/// A kind of faults to bring about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// None.
    None,
    /// Entry VMs end without notice and are replaced.
    Crash,
    /// Entry VMs are paused for longer than every timeout.
    Pause,
    /// Peer connections are silent, old ones or all.
    Silence,
    /// Runners refuse, stall, crash, drop answers and go silent.
    Runner,
    /// All of these.
    All,
}

/// Flags of `bench control`.
#[derive(Debug, Args)]
pub struct ControlFlags {
    /// Seeds and form of output.
    #[command(flatten)]
    pub seeds: SeedFlags,
    /// Numbers of entry VMs, separated by commas.
    #[arg(
        long,
        env = "HORNBEAMCTL_SIZES",
        value_delimiter = ',',
        default_value = "8,16,32,64"
    )]
    pub sizes: Vec<u32>,
    /// Time before the measured one, in milliseconds for each node: a node connects to each other
    /// one when it first probes it.
    #[arg(long, env = "HORNBEAMCTL_WARM_MS", default_value_t = 1_500)]
    pub warm_ms: u64,
    /// Time over which each size is measured, in seconds.
    #[arg(long, env = "HORNBEAMCTL_SECONDS", default_value_t = 10)]
    pub seconds: u64,
}

/// Flags of `bench fleet`.
#[derive(Debug, Args)]
pub struct FleetFlags {
    /// Seeds and form of output.
    #[command(flatten)]
    pub seeds: SeedFlags,
    /// Number of entry VMs.
    #[arg(long, env = "HORNBEAMCTL_NODES", default_value_t = 8)]
    pub nodes: u32,
    /// Requests a second.
    #[arg(long, env = "HORNBEAMCTL_RATE", default_value_t = 40)]
    pub rate: u32,
}
