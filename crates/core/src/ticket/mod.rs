//! Change tickets: their schema, the checks on them, and the state they add up to.
//!
//! A ticket carries the whole new value of every item it touches, so that the state is a map from
//! item to (ticket number, value). Applying is a join: the higher number wins, whatever the order.

mod schema;
mod table;

pub use schema::{
    CallPattern, ClassItem, EndpointItem, Fault, Item, ItemValue, Kind, Limit, Role, RunnerItem,
    Shutdown, Ticket,
};
pub use table::{Applied, Table, Version};
