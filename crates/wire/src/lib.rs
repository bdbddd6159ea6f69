//! What entry VMs say to each other: the schema's code, and its conversion to the reducer's
//! messages.

pub mod convert;
pub mod handshake;
pub mod io;
pub mod view;

/// Code made from the schemas by `cargo run -p hornbeamtiller-generate --example generate`.
pub mod generated {
    #[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms, unused, elided_lifetimes_in_paths)]
    #[rustfmt::skip]
    pub mod peer_capnp;

    #[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms, unused, elided_lifetimes_in_paths)]
    #[rustfmt::skip]
    pub mod fleet_capnp;
}

pub use generated::{fleet_capnp, peer_capnp};
