//! Runners as the list of the configuration service names them.

use std::net::SocketAddr;

use crate::id;

/// Stage of a model engine in the pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// The process of a runner, which may start anew under its name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instance {
    /// Name of the runner.
    pub runner: id::Runner,
    /// Start time in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// Description of a runner, an entry of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Descriptor {
    /// Name of the runner instance.
    pub runner: id::Runner,
    /// The endpoint that it serves.
    pub endpoint: id::Endpoint,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Requests that it executes concurrently.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// Its stage, if it is a model engine.
    pub role: Option<Role>,
    /// Its software version.
    pub build: id::Build,
    /// Start time in milliseconds since the Unix epoch; distinguishes runners started under one
    /// name.
    pub started_at_ms: u64,
    /// Revision of the entry.
    pub revision: id::Revision,
}

impl Descriptor {
    /// The process of the runner.
    pub fn instance(&self) -> Instance {
        Instance {
            runner: self.runner.clone(),
            started_at_ms: self.started_at_ms,
        }
    }

    /// Whether the process of the runner is this one.
    pub fn is_of_instance(&self, instance: &Instance) -> bool {
        self.runner == instance.runner && self.started_at_ms == instance.started_at_ms
    }

    /// Whether the runner has the software version that is required, if one is.
    pub fn is_of_build(&self, required: Option<&id::Build>) -> bool {
        required.is_none_or(|build| *build == self.build)
    }

    /// Whether the runner can bring the first event of a stream.
    pub fn can_begin_streams(&self) -> bool {
        self.role != Some(Role::Prefill)
    }
}
