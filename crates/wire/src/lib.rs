//! Wire protocol between entry VMs: the code generated from the Cap'n Proto schemas, and its
//! conversion to and from the messages of the reducers.

pub mod allocation;
pub mod cap;
pub mod convert;
pub mod crash;
pub mod handshake;
pub mod io;
pub mod limit;
pub mod origin;
pub mod overload;
pub mod view;

/// Code generated from the schemas by
/// `cargo run -p hornbeamtiller-generate --example generate -- crates/wire/src/generated`.
pub mod generated {
    #[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms, unused, elided_lifetimes_in_paths)]
    #[rustfmt::skip]
    pub mod peer_capnp;

    #[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms, unused, elided_lifetimes_in_paths)]
    #[rustfmt::skip]
    pub mod fleet_capnp;
}

pub use generated::{fleet_capnp, peer_capnp};
