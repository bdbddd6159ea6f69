//! Names and numbers, as type aliases.

use std::sync::Arc;

/// One request of a caller, from the moment it was read whole until its answer has ended.
pub type Call = u64;
/// One exchange with one runner on behalf of a call.
pub type Attempt = u64;
/// Version of a manifest; a higher one replaces all of a lower one.
pub type Version = u64;
/// Position in the history of the configuration service.
pub type Revision = u64;
/// Name of an availability zone.
pub type Zone = Arc<str>;
/// Name of an endpoint: a pool of runners of one kind.
pub type Endpoint = Arc<str>;
/// Name of one start of a runner.
pub type Runner = Arc<str>;
/// Name of an entry VM.
pub type Vm = Arc<str>;
/// Random number drawn by a process at each start.
pub type Incarnation = u64;
