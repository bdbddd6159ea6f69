//! Type aliases of identifiers.

use std::sync::Arc;

/// Number of one request, from its complete arrival to the end of its response.
pub type Call = u64;
/// Number of one exchange with one runner on behalf of a call.
pub type Attempt = u64;
/// Version of a manifest; a higher version replaces a lower one completely.
pub type Version = u64;
/// Revision of the configuration service's store, with its era; see [`crate::revision`].
pub type Revision = u64;
/// Name of an availability zone.
pub type Zone = Arc<str>;
/// Name of an endpoint, a pool of interchangeable runners.
pub type Endpoint = Arc<str>;
/// Name of a runner instance.
pub type Runner = Arc<str>;
/// Software version of a runner. It has no order, and runners of several may serve one endpoint.
pub type Build = Arc<str>;
/// Number of a stream over all tries of its caller: a hash of the id of the request that brought its
/// first event.
pub type Stream = u64;
/// Id of a part of a prompt; prompts that have the part in common name the same id.
pub type Part = u64;
/// Number of what a caller asks for: a hash that is the same each time that the caller asks for the same again.
pub type Fingerprint = u64;
/// Name of an organisation.
pub type Organisation = Arc<str>;
/// Name of an entry VM.
pub type Vm = Arc<str>;
/// Number of one incarnation of a VM, taken from the clock at its start. Of two incarnations of one
/// VM, peers keep the one with the higher number.
pub type Incarnation = u64;
