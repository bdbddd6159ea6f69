//! JSON replies.

use hornbeamtiller_http::body::Reply;
use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Response, StatusCode};
use serde::Serialize;

/// A value as a reply.
pub fn reply<T: Serialize, S>(status: StatusCode, value: &T) -> Response<Reply<S>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Reply::whole(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// An error as a reply.
pub fn error<S>(status: StatusCode, what: &str) -> Response<Reply<S>> {
    reply(status, &serde_json::json!({ "error": what }))
}

/// Finds a number in a query.
pub fn number(query: Option<&str>, name: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)?
        .1
        .parse()
        .ok()
}
