//! JSON replies.

use hornbeamtiller_http::body::Outgoing;
use http::{Response, StatusCode};

pub use hornbeamtiller_http::body::json as reply;

/// An error as a reply.
pub fn error<S>(status: StatusCode, message: &str) -> Response<Outgoing<S>> {
    reply(status, &serde_json::json!({ "error": message }))
}

/// Finds a number in a query.
pub fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)?
        .1
        .parse()
        .ok()
}
