//! Answers of targets as responses to callers, and as what is recorded of them.

use super::{
    body::{AnswerBody, Arrival, Arriving},
    limits::Permit,
    refusal::mark,
    scheduler::DispatchError,
};
use crate::{
    control::command::{Outcome, RecordedAnswer},
    units::RequestId,
    verdict::Verdict,
};
use bytes::{Bytes, BytesMut};
use hyper::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue},
};

/// The longest answer that is held back until it is whole, so that its verdict
/// can be told in the status.
const BUFFER_BYTES: usize = 1024 * 1024;
/// The longest answer that is kept for a resend.
const RECORDED_BYTES: usize = 16 * 1024;

/// Holds an answer back until it is whole, or too long for that.
pub async fn collect(
    mut arriving: Arriving,
    permit: &mut Option<Permit>,
) -> Result<AnswerBody, DispatchError> {
    let mut buffered = BytesMut::new();
    loop {
        match arriving.next().await {
            Arrival::Part(bytes) => buffered.extend_from_slice(&bytes),
            Arrival::End => return Ok(AnswerBody::whole(buffered.freeze())),
            Arrival::Broken(verdict, reason) => return Err(DispatchError(verdict, reason)),
        }
        if buffered.len() > BUFFER_BYTES {
            return Ok(AnswerBody::relay(
                arriving,
                buffered.freeze(),
                false,
                permit.take(),
            ));
        }
    }
}

/// What is recorded of an answer.
pub fn recorded(status: u16, headers: &[(String, Bytes)], body: &AnswerBody) -> Outcome {
    match body {
        AnswerBody::Whole(bytes) if bytes.as_ref().is_none_or(|b| b.len() <= RECORDED_BYTES) => {
            let text = |value: &Bytes| String::from_utf8_lossy(value).into_owned();
            let headers = headers
                .iter()
                .map(|(name, value)| (name.clone(), text(value)));
            let body = bytes
                .as_ref()
                .map(|bytes| bytes.to_vec())
                .unwrap_or_default();
            Outcome::Answered(RecordedAnswer {
                status,
                headers: headers.collect(),
                body,
            })
        }
        _ => Outcome::AnsweredLong,
    }
}

/// A recorded answer as the answer to a resend.
pub fn replay(request: RequestId, answer: RecordedAnswer) -> Response<AnswerBody> {
    let headers: Vec<(String, Bytes)> = answer
        .headers
        .into_iter()
        .map(|(name, value)| (name, Bytes::from(value)))
        .collect();
    let mut response = respond(
        request,
        answer.status,
        &headers,
        AnswerBody::whole(answer.body),
    );
    let repeated = HeaderValue::from_static("true");
    response
        .headers_mut()
        .insert("guavacove-recorded", repeated);
    response
}

/// A response to a caller that carries a target's answer.
pub fn respond(
    request: RequestId,
    status: u16,
    headers: &[(String, Bytes)],
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
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
    mark(&mut response, request, Verdict::Ran);
    response
}
