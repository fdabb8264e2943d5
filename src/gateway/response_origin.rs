//! Decides whether a response belongs to the request that was sent on its connection.
//!
//! A faulty target may write a response to an earlier request once more, or bytes that look like a
//! response and belong to no request. If the next request has been sent on the connection by then,
//! they arrive in place of its response, while the request may be running. So a response is
//! believed only if it must belong to this request. Targets repeat the id of a request in its
//! response.
//!
//! | id in the response | connection | origin |
//! |---|---|---|
//! | that of the request | any | this request |
//! | another one | any | another request |
//! | none | new | this request: no other one was sent on the connection |
//! | none | reused | unknown |

use hyper::StatusCode;

/// The request that a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOrigin {
    /// The request that was sent last.
    ThisRequest,
    /// An earlier request, possibly on another connection.
    AnotherRequest,
    /// This request, an earlier one or none.
    Unknown,
}

/// What is known of a response and its connection.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTraits<'a> {
    /// Id of the request that was sent.
    pub sent_id: Option<&'a str>,
    /// Id that the response states.
    pub stated_id: Option<&'a str>,
    /// Whether an earlier request was sent on the connection.
    pub is_connection_reused: bool,
}

impl ResponseTraits<'_> {
    /// Returns the request that the response belongs to.
    pub fn origin(&self) -> ResponseOrigin {
        match self.stated_id {
            Some(_) if self.stated_id == self.sent_id => ResponseOrigin::ThisRequest,
            Some(_) => ResponseOrigin::AnotherRequest,
            None if self.is_connection_reused => ResponseOrigin::Unknown,
            None => ResponseOrigin::ThisRequest,
        }
    }

    /// Returns whether the response lacks the id that the request had. Such a response can be
    /// believed on a new connection only.
    pub fn lacks_id(&self) -> bool {
        self.sent_id.is_some() && self.stated_id.is_none()
    }
}

/// Returns whether the status promises a caller that its request has not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
