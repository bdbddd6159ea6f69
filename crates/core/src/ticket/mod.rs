//! Configuration tickets: their schema, their validation, and the table they are applied to.
//!
//! A ticket carries the complete new value of every item that it changes, so the configuration is
//! a map from item to (ticket number, value). Merging two maps takes the value with the higher
//! ticket number of each item, so the order of merging does not matter.

mod schema;
mod table;

pub use schema::{
    CallPattern, ClassItem, EndpointItem, Fault, Item, ItemValue, Kind, Limit, Role, RunnerItem,
    Shutdown, Ticket,
};
pub use table::{Applied, Table, Version};
