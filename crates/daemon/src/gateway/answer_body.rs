//! The body of a backend server's answer.
//!
//! An answer may have no length and end with its connection. A server that gives up while a long request is still being
//! sent can end its side of the connection, and reset it when more of the request comes. What it sent until then looks like
//! a whole answer. So the end of a connection counts as the end of an answer only if the request was sent whole, and, after
//! a long one, no reset follows.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    body::{Body, Frame, Incoming},
    header::TRANSFER_ENCODING,
};

use super::{net::error_chain, socket::Socket};

/// Time after the end of a connection within which a reset shows that the server had not read a long request.
const RESET_WAIT: Duration = Duration::from_millis(250);

/// The body of an answer.
pub struct AnswerBody {
    incoming: Incoming,
    /// The connection if its end is the end of the body, until that has been checked.
    unchecked: Option<Socket>,
}

/// Why a body is not complete.
#[derive(Debug)]
pub enum Broken {
    /// The connection failed.
    Connection(hyper::Error),
    /// The server ended the connection while the request was still being sent.
    RequestNotSent,
    /// The server reset the connection after it had ended it.
    Reset,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(err) => f.write_str(&error_chain(err)),
            Self::RequestNotSent => f.write_str("the server ended the connection while the request was being sent"),
            Self::Reset => f.write_str("the server reset the connection after a part of the answer"),
        }
    }
}

impl std::error::Error for Broken {}

impl AnswerBody {
    /// The body of an answer with the fields `headers` that comes on `socket`.
    pub fn new(incoming: Incoming, headers: &HeaderMap, socket: &Socket) -> Self {
        let is_delimited = incoming.size_hint().exact().is_some() || headers.contains_key(TRANSFER_ENCODING);
        let unchecked = if is_delimited { None } else { Some(socket.clone()) };
        Self { incoming, unchecked }
    }

    /// The next frame; none at the end of a complete body.
    pub async fn frame(&mut self) -> Option<Result<Frame<Bytes>, Broken>> {
        if let Some(frame) = self.incoming.frame().await {
            return Some(frame.map_err(Broken::Connection));
        }
        // The socket stays until the check has ended: the caller may give up waiting and ask again.
        let socket = self.unchecked.as_ref()?;
        let broken = if !socket.has_sent_request() {
            Some(Broken::RequestNotSent)
        } else if socket.is_reset_within(RESET_WAIT).await {
            Some(Broken::Reset)
        } else {
            None
        };
        if broken.is_none() {
            self.unchecked = None;
        }
        broken.map(Err)
    }
}
