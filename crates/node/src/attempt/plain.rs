//! An exchange with a plain service.

use hornbeamtiller_core::event::Failure;
use hornbeamtiller_http::client::Reuse;
use http::{HeaderValue, Request};
use http_body_util::Full;

use super::{failure, Job};
use crate::caller::render;
use crate::shell::{Shell, Whole};

/// Header with the id that the service may use against repeats.
const ID: &str = "idempotency-key";

pub(super) async fn run(shell: &Shell, job: &Job, reuse: bool) -> Result<(), Failure> {
    let reuse = if reuse { Reuse::Allowed } else { Reuse::Fresh };
    let request = request(job);
    let client = shell.client();
    let answer = client
        .send(job.address, request, reuse, job.timeout)
        .await
        .map_err(|error| failure(&error))?;
    let max = shell.settings().flags.answer_bytes;
    let (head, body) = answer
        .collect(max, job.timeout)
        .await
        .map_err(|error| failure(&error))?;
    shell.apply_answer(
        job.attempt,
        Whole {
            status: head.status,
            headers: head.headers,
            body,
        },
    );
    Ok(())
}

fn request(job: &Job) -> Request<Full<bytes::Bytes>> {
    let incoming = &job.incoming;
    let mut request = Request::new(Full::new(incoming.body.clone()));
    *request.method_mut() = incoming.method.clone();
    if let Ok(uri) = incoming.below.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = incoming.headers.clone();
    render::set_host(request.headers_mut(), job.address);
    if let Ok(id) = HeaderValue::from_str(&job.id) {
        request.headers_mut().insert(ID, id);
    }
    request
}
