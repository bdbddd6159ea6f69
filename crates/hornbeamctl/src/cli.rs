//! Command-line flags of all commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use hornbeamtiller_standin::deployment::Deployment;

/// Operates, inspects and benchmarks hornbeamtiller.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 success, 1 a check failed, a bound was violated or nothing was found, \
                                 2 invalid flags, 3 a process can't be reached or started or a \
                                 file can't be read."
)]
pub struct Cli {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of the tool.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs a small fleet with stand-ins in this process and sends it requests of each kind.
    Demo(DemoFlags),
    /// Runs a benchmark, which prints its results and fails if a stated bound is violated.
    Bench(BenchFlags),
    /// Runs the stand-ins of a deployment without entry VMs.
    Standin(StandinFlags),
    /// Shows the entry addresses that callers are given.
    Entries(EntriesFlags),
    /// Shows the status of a process.
    Status(OperatorFlags),
    /// Merges the time lines of several processes in causal order.
    Timeline(TimelineFlags),
    /// Explains how one request was handled, from the log files of processes.
    Explain(ExplainFlags),
    /// Validates and compares tickets.
    Ticket(TicketFlags),
    /// Makes a process leave the fleet without interrupting its requests.
    Drain(DrainFlags),
}

/// Short name of a deployment.
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
    /// Deployment whose stand-ins to run.
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
    /// Keeps the fleet running after the requests, until interrupted.
    #[arg(long, env = "HORNBEAMCTL_STAY")]
    pub stay: bool,
}

/// Flags of `standin`.
#[derive(Debug, Args)]
pub struct StandinFlags {
    /// Deployment whose stand-ins to run.
    #[arg(
        long,
        env = "HORNBEAMCTL_DEPLOYMENT",
        value_enum,
        default_value = "myto"
    )]
    pub deployment: DeploymentName,
    /// Address of the control listener, IP:PORT. The platform listens on the next port, the runners
    /// on those after it.
    #[arg(
        long,
        env = "HORNBEAMCTL_STANDIN_LISTEN",
        default_value = "127.0.1.1:9000"
    )]
    pub listen: SocketAddr,
    /// Number of entry VMs in the platform's list: VM n is at 127.0.0.n, with port 8080 for callers
    /// and port 8081 for peers.
    #[arg(long, env = "HORNBEAMCTL_VMS", default_value_t = 8)]
    pub vms: u8,
}

/// Flags of commands that query the operator listener of a process.
#[derive(Debug, Args)]
pub struct OperatorFlags {
    /// Operator address of the process, IP:PORT.
    #[arg(long, env = "HORNBEAMCTL_OPERATOR")]
    pub operator: SocketAddr,
}

/// Flags of `explain`.
#[derive(Debug, Args)]
pub struct ExplainFlags {
    /// Id of the request to explain.
    #[arg(required_unless_present_any = ["losses", "retries"])]
    pub request: Option<String>,
    /// Log files with what processes wrote to standard output.
    #[arg(required_unless_present_any = ["losses", "retries"])]
    pub files: Vec<PathBuf>,
    /// Counts all requests of the log files under the decisions that lost them, instead of explaining
    /// one.
    #[arg(long, num_args = 1.., value_name = "FILES", conflicts_with_all = ["request", "files"])]
    pub losses: Option<Vec<PathBuf>>,
    /// Finds the ten seconds of the log files in which each endpoint got most attempts beyond the first
    /// of their request, and what these cost the retry budget, instead of explaining a request.
    #[arg(long, num_args = 1.., value_name = "FILES", conflicts_with_all = ["request", "files", "losses"])]
    pub retries: Option<Vec<PathBuf>>,
    /// Prints the losses as JSON.
    #[arg(long, requires = "losses")]
    pub json: bool,
}

/// Flags of `entries`.
#[derive(Debug, Args)]
pub struct EntriesFlags {
    /// Caller address of any process, IP:PORT.
    #[arg(long, env = "HORNBEAMCTL_CALLER")]
    pub caller: SocketAddr,
    /// Availability zone of the caller, for choosing nearby entries.
    #[arg(long, env = "HORNBEAMCTL_ZONE")]
    pub zone: Option<String>,
}

/// Flags of `drain`.
#[derive(Debug, Args)]
pub struct DrainFlags {
    /// Operator address of the process, IP:PORT.
    #[arg(long, env = "HORNBEAMCTL_OPERATOR")]
    pub operator: SocketAddr,
    /// Operator token of the process.
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
    /// Shows only entries about this request, given as the full id or as the digest in the entries.
    #[arg(long, env = "HORNBEAMCTL_REQUEST")]
    pub request: Option<String>,
    /// Shows only entries about this runner.
    #[arg(long, env = "HORNBEAMCTL_RUNNER")]
    pub runner: Option<String>,
    /// Shows only entries of this VM.
    #[arg(long, env = "HORNBEAMCTL_VM")]
    pub vm: Option<u32>,
    /// Shows only entries about this ticket.
    #[arg(long, env = "HORNBEAMCTL_TICKET")]
    pub ticket: Option<u64>,
    /// Writes one JSON object per line.
    #[arg(long, env = "HORNBEAMCTL_JSON")]
    pub json: bool,
}

/// Flags of `ticket`.
#[derive(Debug, Args)]
pub struct TicketFlags {
    /// Command on tickets.
    #[command(subcommand)]
    pub command: TicketCommand,
}

/// Commands on tickets.
#[derive(Debug, Subcommand)]
pub enum TicketCommand {
    /// Validates a ticket and lists all of its faults.
    Check {
        /// File with the ticket's JSON.
        file: PathBuf,
    },
    /// Lists the items that differ between two tickets.
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
    /// Benchmark to run.
    #[command(subcommand)]
    pub command: BenchCommand,
}

/// Benchmarks of the tool.
#[derive(Debug, Subcommand)]
pub enum BenchCommand {
    /// Measures the latency that one node adds to a call and to a token, compared with direct
    /// requests to the stand-in.
    Overhead(OverheadFlags),
    /// Measures the control-plane cost of a node at several fleet sizes.
    Control(ControlFlags),
    /// Removes a runner, changes tickets, injects platform failures and replaces all entry VMs one
    /// by one, under load.
    Fleet(FleetFlags),
    /// Compares executions with the responses that callers got, while seeded faults hit entry VMs,
    /// peer connections and runners.
    Once(OnceFlags),
}

/// Flags that all benchmarks share.
#[derive(Debug, Clone, Args)]
pub struct SeedFlags {
    /// First seed of the run.
    #[arg(long, env = "HORNBEAMCTL_SEED", default_value_t = 1)]
    pub seed: u64,
    /// Number of consecutive seeds to run, starting at the first.
    #[arg(long, env = "HORNBEAMCTL_SEEDS", default_value_t = 1)]
    pub seeds: u64,
    /// Writes one JSON object per line to standard output.
    #[arg(long, env = "HORNBEAMCTL_JSON")]
    pub json: bool,
}

impl SeedFlags {
    /// The seeds to run.
    pub fn range(&self) -> std::ops::Range<u64> {
        self.seed..self.seed + self.seeds
    }
}

/// Flags of `bench overhead`.
#[derive(Debug, Args)]
pub struct OverheadFlags {
    /// Seeds and output format.
    #[command(flatten)]
    pub seeds: SeedFlags,
    /// Number of plain calls of each kind, repeatable and not, each sent both directly and through
    /// the node.
    #[arg(long, env = "HORNBEAMCTL_CALLS", default_value_t = 2_000)]
    pub calls: u32,
    /// Number of concurrent streams.
    #[arg(long, env = "HORNBEAMCTL_STREAMS", default_value_t = 40)]
    pub streams: u32,
    /// Number of tokens per stream.
    #[arg(long, env = "HORNBEAMCTL_TOKENS", default_value_t = 400)]
    pub tokens: u32,
}

/// Flags of `bench once`.
#[derive(Debug, Args)]
pub struct OnceFlags {
    /// Seeds and output format.
    #[command(flatten)]
    pub seeds: SeedFlags,
    /// Duration over which requests are sent, in seconds.
    #[arg(long, env = "HORNBEAMCTL_SECONDS", default_value_t = 20)]
    pub seconds: u64,
    /// Requests per second.
    #[arg(long, env = "HORNBEAMCTL_RATE", default_value_t = 60)]
    pub rate: u32,
    /// Number of entry VMs.
    #[arg(long, env = "HORNBEAMCTL_NODES", default_value_t = 6)]
    pub nodes: u32,
    /// Mean time between faults, in milliseconds.
    #[arg(long, env = "HORNBEAMCTL_GAP_MS", default_value_t = 750)]
    pub gap_ms: u64,
    /// Shows the merged time line of up to this many requests with an unknown outcome.
    #[arg(long, env = "HORNBEAMCTL_EXPLAIN", default_value_t = 0)]
    pub explain: usize,
    /// Kind of faults to inject.
    #[arg(long, env = "HORNBEAMCTL_FAULTS", value_enum, default_value = "all")]
    pub faults: FaultKind,
}

/// Kind of faults to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Injects no faults.
    None,
    /// Entry VMs crash and are replaced.
    Crash,
    /// Entry VMs are paused for longer than every timeout between processes.
    Pause,
    /// Peer connections, old ones or all, stop carrying data without closing.
    Silence,
    /// Runners refuse, stall, crash, drop responses and stop responding.
    Runner,
    /// All kinds of faults.
    All,
}

/// Flags of `bench control`.
#[derive(Debug, Args)]
pub struct ControlFlags {
    /// Seeds and output format.
    #[command(flatten)]
    pub seeds: SeedFlags,
    /// Fleet sizes to measure, in entry VMs, separated by commas.
    #[arg(
        long,
        env = "HORNBEAMCTL_SIZES",
        value_delimiter = ',',
        default_value = "8,16,32,64"
    )]
    pub sizes: Vec<u32>,
    /// Warm-up before the measurement, in milliseconds per node. A node connects to each peer when
    /// it first probes it.
    #[arg(long, env = "HORNBEAMCTL_WARM_MS", default_value_t = 1_500)]
    pub warm_ms: u64,
    /// Duration of the measurement at each fleet size, in seconds.
    #[arg(long, env = "HORNBEAMCTL_SECONDS", default_value_t = 10)]
    pub seconds: u64,
}

/// Flags of `bench fleet`.
#[derive(Debug, Args)]
pub struct FleetFlags {
    /// Seeds and output format.
    #[command(flatten)]
    pub seeds: SeedFlags,
    /// Number of entry VMs.
    #[arg(long, env = "HORNBEAMCTL_NODES", default_value_t = 8)]
    pub nodes: u32,
    /// Requests per second.
    #[arg(long, env = "HORNBEAMCTL_RATE", default_value_t = 40)]
    pub rate: u32,
}
