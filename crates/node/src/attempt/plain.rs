//! Calls to plain services.

use hornbeamtiller_core::event::Failure;
use hornbeamtiller_http::client::Reuse;
use http::{HeaderValue, Request};
use http_body_util::Full;

use super::{classify_error, Job};
use crate::caller::render;
use crate::driver::{Driver, ServiceResponse};

/// Header with the id, which the service may use to detect duplicates.
const ID_HEADER: &str = "idempotency-key";

pub(super) async fn run(driver: &Driver, job: &Job, reuse: bool) -> Result<(), Failure> {
    let reuse = if reuse { Reuse::Allowed } else { Reuse::Fresh };
    let request = request(job);
    let client = driver.client();
    let response = client
        .send(job.address, request, reuse, job.timeout)
        .await
        .map_err(|error| classify_error(&error))?;
    let max_bytes = driver.settings().flags.answer_bytes;
    let (head, body) = response
        .collect(max_bytes, job.timeout)
        .await
        .map_err(|error| classify_error(&error))?;
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
