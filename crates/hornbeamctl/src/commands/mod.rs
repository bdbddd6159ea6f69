//! Commands for operators.

pub mod explain;
pub mod log_file;
pub mod losses;
pub mod operator;
pub mod retries;
pub mod standin;
pub mod ticket;
pub mod timeline;
