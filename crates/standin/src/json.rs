//! JSON responses and query parameters.

use hornbeamtiller_http::body::Outgoing;
use http::{Response, StatusCode};

pub use hornbeamtiller_http::body::json as response;

/// Returns an error response.
pub fn error<S>(status: StatusCode, message: &str) -> Response<Outgoing<S>> {
    response(status, &serde_json::json!({ "error": message }))
}

/// Parses the numeric parameter `name` of a query string.
pub fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)?
        .1
        .parse()
        .ok()
}
