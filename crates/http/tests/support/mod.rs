//! What the tests of the server share.

use http::{Request, Response};
use hyper::body::Incoming;

use hornbeamtiller_http::body::{Never, Outgoing};
use hornbeamtiller_http::server::Handler;

/// Answers at once, with few bytes.
#[derive(Clone)]
pub struct Small;

impl Handler for Small {
    type Source = Never;

    async fn handle(&self, _request: Request<Incoming>) -> Response<Outgoing<Never>> {
        Response::new(Outgoing::full(""))
    }
}
