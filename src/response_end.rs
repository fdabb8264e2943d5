//! Decides whether a response of a target that has ended is whole. Pure: no I/O and no clock.
//!
//! A response with neither a length nor chunks ends with its connection, whether the target wrote
//! all of it or stopped. Only a run of the target that is still there shows that it wrote all of it,
//! see [`crate::target_run`]. One that has said that it leaves may be gone because it was done, or
//! because it was killed.
//!
//! | framing | content | run of the target | the response is |
//! |---|---|---|---|
//! | any | ends inside an event, or before the first event of a resumption | any | broken |
//! | none, length, chunks | any other | any | whole |
//! | connection | ends before the first event of a stream | any | broken |
//! | connection | any other | present | whole |
//! | connection | any other | gone | broken |
//! | connection | any other | unknown | broken |
//!
//! A caller is told that a response is whole only if its target told so: one that ends with its
//! connection is passed on like that. If the caller's part has chunks, as another target began
//! the stream, its last chunk is written only for a whole response.

use crate::target_run::RunAfter;
use hyper::{HeaderMap, Method, StatusCode, header};

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Framing {
    /// It has no body.
    #[display("none")]
    NoBody,
    /// The length that its head states.
    #[display("length")]
    Length,
    /// The last chunk.
    #[display("chunks")]
    Chunks,
    /// The end of its connection.
    #[display("connection")]
    Connection,
}

impl Framing {
    /// Returns the framing of a response to a request with this method.
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let has_no_body = *method == Method::HEAD
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let codings = headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back();
        let last_coding = codings.map(|codings| {
            let codings = codings.to_str().unwrap_or_default();
            codings.rsplit(',').next().unwrap_or_default().trim()
        });
        match last_coding {
            _ if has_no_body => Self::NoBody,
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Self::Chunks,
            Some(_) => Self::Connection,
            None if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            None => Self::Connection,
        }
    }
}

/// Where the content of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentEnd {
    /// It does not consist of events.
    NotEvents,
    /// Before the first event of a stream.
    BeforeFirstEvent,
    /// Before the first event of a response that resumes a stream.
    BeforeResumedEvent,
    /// After an event.
    AfterEvent,
    /// Inside an event.
    InsideEvent,
}

/// Whether a response that has ended is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// It is whole.
    Whole,
    /// It is not whole, for this reason.
    Broken(&'static str),
}

/// Returns whether the end of the connection to the target decides whether a response is whole.
pub fn depends_on_run(framing: Framing, content: ContentEnd) -> bool {
    framing == Framing::Connection
        && matches!(content, ContentEnd::NotEvents | ContentEnd::AfterEvent)
}

/// Returns whether a response is whole. `run` matters only if [`depends_on_run`] says so.
pub fn judge(framing: Framing, content: ContentEnd, run: RunAfter) -> EndVerdict {
    match (framing, content, run) {
        (_, ContentEnd::InsideEvent, _) => EndVerdict::Broken("stream ended inside an event"),
        (_, ContentEnd::BeforeResumedEvent, _) => {
            EndVerdict::Broken("stream ended where it was resumed, before an event")
        }
        (Framing::NoBody | Framing::Length | Framing::Chunks, _, _) => EndVerdict::Whole,
        (Framing::Connection, ContentEnd::BeforeFirstEvent, _) => {
            EndVerdict::Broken("connection closed before the first event")
        }
        (Framing::Connection, _, RunAfter::Present) => EndVerdict::Whole,
        (Framing::Connection, _, RunAfter::Gone) => {
            EndVerdict::Broken("connection closed by a run that is gone")
        }
        (Framing::Connection, _, RunAfter::Unknown) => {
            EndVerdict::Broken("connection closed, not known whether the run is there")
        }
    }
}
