//! Calls to plain services.

use std::time::Duration;

use hornbeamtiller_core::event::Failure;
use hornbeamtiller_http::client::{Response, Reuse};
use hornbeamtiller_http::socket;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;

use super::{classify_error, Job};
use crate::caller::render;
use crate::driver::{Driver, ServiceResponse};

/// Header with the id, which the service may use to detect duplicates.
const ID_HEADER: &str = "idempotency-key";
/// Timeout of the connection that shows whether a runner still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

pub(super) async fn run(driver: &Driver, job: &Job, reuse: bool) -> Result<(), Failure> {
    let reuse = if reuse { Reuse::Allowed } else { Reuse::Fresh };
    let request = request(job);
    let client = driver.client();
    let response = client
        .send(job.address, request, reuse, job.timeout)
        .await
        .map_err(|error| classify_error(&error))?;
    let ends_with_connection = has_body(job, &response) && response.ends_with_connection();
    let max_bytes = driver.settings().flags.answer_bytes;
    let (head, body) = response
        .collect(max_bytes, job.timeout)
        .await
        .map_err(|error| classify_error(&error))?;
    // The process may have ended before it had sent all of such a body.
    if ends_with_connection && socket::has_stopped_listening(job.address, PROBE_TIMEOUT).await {
        return Err(Failure::Lost);
    }
    driver.apply_response(
        job.attempt,
        ServiceResponse {
            status: head.status,
            headers: head.headers,
            body,
        },
    );
    Ok(())
}

/// Whether the request's method and the status allow the response a body.
fn has_body(job: &Job, response: &Response) -> bool {
    let is_bodiless = matches!(
        response.head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    job.caller_request.method != Method::HEAD && !is_bodiless
}

fn request(job: &Job) -> Request<Full<bytes::Bytes>> {
    let caller_request = &job.caller_request;
    let mut request = Request::new(Full::new(caller_request.body.clone()));
    *request.method_mut() = caller_request.method.clone();
    if let Ok(uri) = caller_request.subpath.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = caller_request.headers.clone();
    render::set_host(request.headers_mut(), job.address);
    if let Ok(id) = HeaderValue::from_str(&job.id) {
        request.headers_mut().insert(ID_HEADER, id);
    }
    request
}
