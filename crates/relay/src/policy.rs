//! Switches and parameters of the decisions, for experiments: what a mechanism is worth is measured by
//! playing the same load with and without it. Ordinary settings do not contain them.

use std::str::FromStr;

/// The policy of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Whether one VM allocates the capacity of each group of engines. Without it, each VM places its
    /// calls by the loads that all VMs tell each other.
    pub allocators: bool,
    /// Engines in a group, about.
    pub group_engines: usize,
    /// Largest fleet, in VMs, in which VMs without allocators tell each other their load at engines.
    pub load_sharing_vms_max: usize,
    /// Fraction of its expected output with which a request counts against KV memory. It holds half of
    /// it on average, but the requests of a burst grow together.
    pub output_memory_fraction: f64,
    /// Fraction of an engine's KV memory that is allocated. The rest is reserved for responses that
    /// grow longer than expected, since an engine that runs out of memory drops what it has prefilled.
    pub memory_fraction: f64,
    /// The same for a call that can no longer meet its latency target, which takes only what others
    /// leave.
    pub memory_fraction_late: f64,
    /// Whether a decode runner may read a KV cache that was written at another build.
    pub kv_across_builds: bool,
    /// Whether calls are placed by the speed of runners, where these report slowdowns.
    pub speeds: bool,
    /// Engines in a group, about, where engines report slowdowns. A group of few engines may have more
    /// than its share of slow ones, or too few of one stage for what its other stage can take.
    pub group_engines_uneven: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            allocators: true,
            group_engines: 16,
            load_sharing_vms_max: 80,
            output_memory_fraction: 0.75,
            memory_fraction: 0.95,
            memory_fraction_late: 0.85,
            kv_across_builds: false,
            speeds: true,
            group_engines_uneven: 48,
        }
    }
}

/// Why a text names no change of the policy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It is not of the form NAME=VALUE.
    #[error("{0:?} is not NAME=VALUE")]
    Form(String),
    /// No parameter has this name.
    #[error("no parameter is named {0:?}")]
    Name(String),
    /// The value has the wrong type.
    #[error("{name} can't be {value:?}")]
    Value {
        /// The parameter.
        name: String,
        /// The value.
        value: String,
    },
}

impl Policy {
    /// Sets one parameter from a text of the form NAME=VALUE.
    ///
    /// # Errors
    ///
    /// [`Error`] if the text has another form, names no parameter, or the value has the wrong type.
    pub fn set(&mut self, text: &str) -> Result<(), Error> {
        let (name, value) = text
            .split_once('=')
            .ok_or_else(|| Error::Form(text.to_owned()))?;
        match name {
            "allocators" => self.allocators = parse(name, value)?,
            "group_engines" => self.group_engines = parse(name, value)?,
            "load_sharing_vms_max" => self.load_sharing_vms_max = parse(name, value)?,
            "output_memory_fraction" => self.output_memory_fraction = parse(name, value)?,
            "memory_fraction" => self.memory_fraction = parse(name, value)?,
            "memory_fraction_late" => self.memory_fraction_late = parse(name, value)?,
            "kv_across_builds" => self.kv_across_builds = parse(name, value)?,
            "speeds" => self.speeds = parse(name, value)?,
            "group_engines_uneven" => self.group_engines_uneven = parse(name, value)?,
            _ => return Err(Error::Name(name.to_owned())),
        }
        Ok(())
    }
}

fn parse<T: FromStr>(name: &str, value: &str) -> Result<T, Error> {
    value.parse().map_err(|_| Error::Value {
        name: name.to_owned(),
        value: value.to_owned(),
    })
}
