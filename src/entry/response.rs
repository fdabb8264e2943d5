//! Builds responses to callers from the responses of targets, and records them for replay.

use super::{
    body::{AgentResponse, BodyEvent, ResponseBody},
    limits::Permit,
    refusal::set_result_headers,
    scheduler::DispatchError,
};
use crate::{
    caller_stream::UNFRAMED_VERSION,
    control::command::{Outcome, RecordedResponse},
    units::RequestId,
    verdict::Verdict,
};
use bytes::{Bytes, BytesMut};
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, HeaderName, HeaderValue},
};

/// Maximum size of a response that is buffered until complete, so that its status can
/// reflect the verdict.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Maximum size of a response body recorded for retries by the caller.
const MAX_RECORDED_BYTES: usize = 16 * 1024;

/// Buffers a response until it is complete or exceeds [`MAX_BUFFERED_BYTES`]. Returns its body, and
/// whether it is complete.
pub async fn buffer_response(
    mut agent_response: AgentResponse,
    is_unframed: bool,
    permit: &mut Option<Permit>,
) -> Result<(ResponseBody, bool), DispatchError> {
    let mut buffered = BytesMut::new();
    loop {
        match agent_response.next().await {
            BodyEvent::Chunk(bytes) => buffered.extend_from_slice(&bytes),
            BodyEvent::End if is_unframed => {
                return Ok((ResponseBody::Unframed(Some(buffered.freeze())), true));
            }
            BodyEvent::End => return Ok((ResponseBody::complete(buffered.freeze()), true)),
            BodyEvent::Failed(verdict, reason) => return Err(DispatchError(verdict, reason)),
        }
        if buffered.len() > MAX_BUFFERED_BYTES {
            let body = ResponseBody::relayed(
                agent_response,
                buffered.freeze(),
                false,
                is_unframed,
                permit.take(),
            );
            return Ok((body, false));
        }
    }
}

/// The outcome to record for a response; `is_whole` tells whether all of it is known to be there.
pub fn recorded_outcome(
    status: u16,
    headers: &[(String, Bytes)],
    body: &ResponseBody,
    is_whole: bool,
) -> Outcome {
    match body {
        ResponseBody::Complete(bytes) | ResponseBody::Unframed(bytes)
            if is_whole && bytes.as_ref().is_none_or(|b| b.len() <= MAX_RECORDED_BYTES) =>
        {
            let text = |value: &Bytes| String::from_utf8_lossy(value).into_owned();
            let headers = headers
                .iter()
                .map(|(name, value)| (name.clone(), text(value)));
            let body = bytes
                .as_ref()
                .map(|bytes| bytes.to_vec())
                .unwrap_or_default();
            Outcome::Answered(RecordedResponse {
                status,
                headers: headers.collect(),
                body,
            })
        }
        _ => Outcome::AnsweredLong,
    }
}

/// Builds the response to a caller's retry from the recorded one.
pub fn replay(request: RequestId, recorded: RecordedResponse) -> Response<ResponseBody> {
    let headers: Vec<(String, Bytes)> = recorded
        .headers
        .into_iter()
        .map(|(name, value)| (name, Bytes::from(value)))
        .collect();
    let mut response = build_response(
        request,
        recorded.status,
        &headers,
        ResponseBody::complete(recorded.body),
    );
    let replayed = HeaderValue::from_static("true");
    response
        .headers_mut()
        .insert("guavacove-recorded", replayed);
    response
}

/// Builds the response to a caller from a target's response.
pub fn build_response(
    request: RequestId,
    status: u16,
    headers: &[(String, Bytes)],
    body: ResponseBody,
) -> Response<ResponseBody> {
    let is_unframed = body.is_unframed();
    let mut response = Response::new(body);
    if is_unframed {
        *response.version_mut() = UNFRAMED_VERSION;
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        match (name, HeaderValue::from_bytes(value)) {
            (Ok(name), Ok(value)) if name != "content-length" => {
                response.headers_mut().append(name, value);
            }
            _ => {}
        }
    }
    set_result_headers(&mut response, request, Verdict::Ran);
    response
}
