//! Commands for operators.

pub mod explain;
pub mod operator;
pub mod standin;
pub mod ticket;
pub mod timeline;
