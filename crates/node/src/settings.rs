//! Settings of a process: flags and environment variables, validated together.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use hornbeamtiller_core::token::{Keyring, Secret};

/// Shortest accepted key or operator token, in bytes.
const SECRET_BYTES_MIN: usize = 16;

/// Flags of an entry VM's process. Each can be set by an environment variable instead.
#[derive(Debug, Clone, Args)]
pub struct Flags {
    /// Number of this VM in the platform's list.
    #[arg(long, env = "HORNBEAMTILLER_VM")]
    pub vm: u32,
    /// Availability zone of this VM.
    #[arg(long, env = "HORNBEAMTILLER_ZONE")]
    pub zone: String,
    /// Address to listen on for callers, IP:PORT.
    #[arg(long, env = "HORNBEAMTILLER_CALLER_LISTEN")]
    pub caller_listen: SocketAddr,
    /// Address to listen on for other entry VMs, IP:PORT.
    #[arg(long, env = "HORNBEAMTILLER_PEER_LISTEN")]
    pub peer_listen: SocketAddr,
    /// Address to listen on for operators, IP:PORT.
    #[arg(long, env = "HORNBEAMTILLER_OPERATOR_LISTEN")]
    pub operator_listen: SocketAddr,
    /// Address advertised to callers, IP:PORT, if it differs from the listening address.
    #[arg(long, env = "HORNBEAMTILLER_CALLER_ADDRESS")]
    pub caller_address: Option<SocketAddr>,
    /// Address advertised to other entry VMs, IP:PORT, if it differs from the listening address.
    #[arg(long, env = "HORNBEAMTILLER_PEER_ADDRESS")]
    pub peer_address: Option<SocketAddr>,
    /// Address of the platform's configuration service, IP:PORT.
    #[arg(long, env = "HORNBEAMTILLER_PLATFORM")]
    pub platform: SocketAddr,
    /// Key shared by all entry VMs, at least 16 bytes; signs tokens and authenticates peers.
    #[arg(long, env = "HORNBEAMTILLER_KEY", hide_env_values = true)]
    pub key: String,
    /// Second key accepted during a key rotation, at least 16 bytes.
    #[arg(long, env = "HORNBEAMTILLER_PREVIOUS_KEY", hide_env_values = true)]
    pub previous_key: Option<String>,
    /// Token required for operator calls that change state, at least 16 bytes.
    #[arg(long, env = "HORNBEAMTILLER_OPERATOR_TOKEN", hide_env_values = true)]
    pub operator_token: String,
    /// How long callers may cache a response of /v1/entries, in milliseconds (1000 to 600000).
    #[arg(long, env = "HORNBEAMTILLER_KEEP_ENTRIES_MS", default_value_t = 10_000)]
    pub keep_entries_ms: u64,
    /// Lifetime of an entry token and of the ids under it, in seconds (10 to 86400).
    #[arg(long, env = "HORNBEAMTILLER_TOKEN_LIFE_S", default_value_t = 600)]
    pub token_life_s: u64,
    /// Largest request body, in bytes (1024 to 67108864).
    #[arg(long, env = "HORNBEAMTILLER_BODY_BYTES", default_value_t = 1 << 20)]
    pub body_bytes: usize,
    /// Largest request head, in bytes (8192 to 1048576).
    #[arg(long, env = "HORNBEAMTILLER_HEAD_BYTES", default_value_t = 16 << 10)]
    pub head_bytes: usize,
    /// Timeout for receiving a request head, also the idle timeout, in milliseconds.
    #[arg(long, env = "HORNBEAMTILLER_HEAD_TIMEOUT_MS", default_value_t = 30_000)]
    pub head_timeout_ms: u64,
    /// Timeout for receiving a request body, in milliseconds.
    #[arg(long, env = "HORNBEAMTILLER_BODY_TIMEOUT_MS", default_value_t = 20_000)]
    pub body_timeout_ms: u64,
    /// Largest response of a plain service, in bytes.
    #[arg(long, env = "HORNBEAMTILLER_ANSWER_BYTES", default_value_t = 4 << 20)]
    pub answer_bytes: usize,
    /// Limit of concurrent caller connections.
    #[arg(long, env = "HORNBEAMTILLER_CONNECTIONS", default_value_t = 10_000)]
    pub connections: usize,
    /// Time line entries kept in memory.
    #[arg(long, env = "HORNBEAMTILLER_TIMELINE", default_value_t = 20_000)]
    pub timeline: usize,
    /// Seed of random choices; drawn at random if not given.
    #[arg(long, env = "HORNBEAMTILLER_SEED")]
    pub seed: Option<u64>,
}

/// A fault in the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A secret is too short.
    #[error("--{0} is shorter than {SECRET_BYTES_MIN} bytes")]
    ShortSecret(&'static str),
    /// The current and the previous key are the same.
    #[error("--previous-key is the same as --key")]
    SameKeys,
    /// A number is out of range.
    #[error("--{name} is {value}; it must be from {min} to {max}")]
    Range {
        /// The flag.
        name: &'static str,
        /// Its value.
        value: u64,
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// An address is unspecified (0.0.0.0 or ::), so others can't connect to it.
    #[error("--{0} must be an address that others can reach, not 0.0.0.0 or ::")]
    Unspecified(&'static str),
    /// Two listeners have the same address.
    #[error("--{0} and --{1} are the same address")]
    SameAddress(&'static str, &'static str),
    /// The zone is empty.
    #[error("--zone is empty")]
    EmptyZone,
    /// The VM number is 0, which means "no VM" in tokens.
    #[error("--vm is 0; numbers begin at 1")]
    VmZero,
}

/// Validated settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The flags that the settings were read from.
    pub flags: Flags,
    /// Keys that sign tokens and authenticate peers.
    pub keyring: Keyring,
}

impl Flags {
    /// Validates all flags.
    ///
    /// # Errors
    ///
    /// All faults found.
    pub fn check(self) -> Result<Settings, Vec<Fault>> {
        let mut faults = Vec::new();
        self.check_secrets(&mut faults);
        self.check_addresses(&mut faults);
        self.check_ranges(&mut faults);
        if !faults.is_empty() {
            return Err(faults);
        }
        let previous = self.previous_key.as_deref().map(Secret::derive);
        let keyring = Keyring::new(Secret::derive(&self.key), previous);
        Ok(Settings {
            flags: self,
            keyring,
        })
    }

    fn check_secrets(&self, faults: &mut Vec<Fault>) {
        let previous = self.previous_key.as_deref();
        let secrets = [
            ("key", Some(&*self.key)),
            ("previous-key", previous),
            ("operator-token", Some(&*self.operator_token)),
        ];
        for (name, secret) in secrets {
            if secret.is_some_and(|secret| secret.len() < SECRET_BYTES_MIN) {
                faults.push(Fault::ShortSecret(name));
            }
        }
        if previous == Some(&*self.key) {
            faults.push(Fault::SameKeys);
        }
    }

    fn check_addresses(&self, faults: &mut Vec<Fault>) {
        let listeners = [
            ("caller-listen", self.caller_listen),
            ("peer-listen", self.peer_listen),
            ("operator-listen", self.operator_listen),
        ];
        for (index, (name, address)) in listeners.iter().enumerate() {
            if address.ip().is_unspecified() {
                faults.push(Fault::Unspecified(name));
            }
            for (earlier_name, earlier) in &listeners[..index] {
                if address == earlier && address.port() != 0 {
                    faults.push(Fault::SameAddress(earlier_name, name));
                }
            }
        }
        if self.zone.is_empty() {
            faults.push(Fault::EmptyZone);
        }
        if self.vm == 0 {
            faults.push(Fault::VmZero);
        }
    }

    fn check_ranges(&self, faults: &mut Vec<Fault>) {
        let ranges = [
            ("keep-entries-ms", self.keep_entries_ms, 1_000, 600_000),
            ("token-life-s", self.token_life_s, 10, 86_400),
            ("body-bytes", self.body_bytes as u64, 1 << 10, 64 << 20),
            ("head-bytes", self.head_bytes as u64, 8 << 10, 1 << 20),
            ("head-timeout-ms", self.head_timeout_ms, 100, 600_000),
            ("body-timeout-ms", self.body_timeout_ms, 100, 600_000),
            ("answer-bytes", self.answer_bytes as u64, 1 << 10, 256 << 20),
            ("connections", self.connections as u64, 1, 1_000_000),
            ("timeline", self.timeline as u64, 100, 1_000_000),
        ];
        for (name, value, min, max) in ranges {
            if value < min || value > max {
                faults.push(Fault::Range {
                    name,
                    value,
                    min,
                    max,
                });
            }
        }
    }
}

impl Settings {
    /// Limits of the caller listener.
    pub fn caller_limits(&self) -> hornbeamtiller_http::server::Limits {
        hornbeamtiller_http::server::Limits {
            connections: self.flags.connections,
            head_bytes: self.flags.head_bytes,
            body_bytes: self.flags.body_bytes,
            head_timeout: Duration::from_millis(self.flags.head_timeout_ms),
            body_timeout: Duration::from_millis(self.flags.body_timeout_ms),
            ..Default::default()
        }
    }
}
