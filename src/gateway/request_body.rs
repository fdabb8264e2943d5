//! Reading of a request's body within the gateway's byte budget.

use super::byte_budget::{ByteBudget, ByteCount, ByteReservation};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::time::Duration;
use tokio::time::timeout;

/// A body that was read whole, and its part of the budget.
pub struct RequestBody {
    /// The bytes.
    pub bytes: Bytes,
    /// Given back when the request has ended.
    pub reservation: ByteReservation,
}

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ReadBodyError {
    /// It exceeds the document's limit.
    #[display("the body is longer than {limit_bytes} bytes")]
    TooLong {
        /// The limit.
        limit_bytes: usize,
    },
    /// The byte budget has no room for it.
    #[display("this gateway holds as many bytes as it may")]
    NoRoom,
    /// The caller closed the connection, or its framing is invalid.
    #[display("the body did not come whole")]
    Incomplete,
    /// It did not arrive in time.
    #[display("the body did not come whole in time")]
    Late,
}

/// Reads a body. One that is refused before its end is read on in the background and discarded,
/// so that its caller gets the response instead of a reset connection; `is_announced` tells that
/// the caller sends nothing before it is told to.
///
/// # Errors
/// Returns why the body was not read.
pub async fn read(
    mut body: Incoming,
    limit_bytes: usize,
    timeout_ms: u64,
    is_announced: bool,
    budget: &ByteBudget,
) -> Result<RequestBody, ReadBodyError> {
    let limit = Duration::from_millis(timeout_ms);
    let result = match timeout(limit, collect(&mut body, limit_bytes, budget)).await {
        Ok(result) => result,
        Err(_) => Err(ReadBodyError::Late),
    };
    let is_refused = matches!(
        result,
        Err(ReadBodyError::TooLong { .. } | ReadBodyError::NoRoom)
    );
    if is_refused && !is_announced {
        tokio::spawn(timeout(limit, discard(body, limit_bytes)));
    }
    result
}

async fn collect(
    body: &mut Incoming,
    limit_bytes: usize,
    budget: &ByteBudget,
) -> Result<RequestBody, ReadBodyError> {
    let too_long = || Err(ReadBodyError::TooLong { limit_bytes });
    let stated_bytes = body.size_hint().exact().unwrap_or(0);
    if stated_bytes > limit_bytes as u64 {
        return too_long();
    }
    let reservation = budget.reserve(ByteCount(stated_bytes));
    let mut reservation = reservation.ok_or(ReadBodyError::NoRoom)?;
    // Holds a body of a stated length once: appending frames would copy it.
    let mut bytes = BytesMut::with_capacity(stated_bytes as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadBodyError::Incomplete)?;
        let data = frame.into_data().unwrap_or_default();
        let read_bytes = bytes.len() + data.len();
        match () {
            () if read_bytes > limit_bytes => return too_long(),
            () if !reservation.grow_to(ByteCount(read_bytes as u64)) => {
                return Err(ReadBodyError::NoRoom);
            }
            () => bytes.extend_from_slice(&data),
        }
    }
    Ok(RequestBody {
        bytes: bytes.freeze(),
        reservation,
    })
}

/// Reads the rest of a body that is not used, up to the limit of a valid one.
async fn discard(mut body: Incoming, limit_bytes: usize) {
    let mut read_bytes = 0;
    while read_bytes <= limit_bytes
        && let Some(Ok(frame)) = body.frame().await
    {
        read_bytes += frame.data_ref().map_or(0, Bytes::len);
    }
}
