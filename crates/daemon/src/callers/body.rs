//! Bodies of callers' requests and of the responses to them.

use bytes::Bytes;
use eelgrasswell_core::{refusal::Reason, unit::Bytes as Size};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody};
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};

use super::failure::Failure;

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, eyre::Report>;

/// A body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads the body of a request, of at most `limit` bytes. If it is not complete at `deadline`, the failure has the
/// reason `late`.
pub async fn read(body: Incoming, limit: Size, deadline: Instant, late: Reason) -> Result<Bytes, Failure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_large = || Failure::not_run(Reason::TooLarge, format!("the body is larger than {limit}"));
    if body.size_hint().lower() > limit.0 {
        return Err(too_large());
    }
    let collected = timeout_at(deadline, Limited::new(body, limit.0 as usize).collect()).await;
    match collected.map_err(|_| Failure::not_run(late, "the body came too slowly"))? {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(too_large()),
        Err(err) => Err(Failure::not_run(Reason::BadRequest, format!("could not read the body: {err}"))),
    }
}
