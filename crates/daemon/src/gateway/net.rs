//! HTTP/1.1 connections to the store and to backend servers, one request at a time.

use std::{fmt, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
    time::timeout,
};

/// Time after which unacknowledged bytes end a connection. A connection that has gone silent shows no other sign.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which the kernel asks whether the other end is still there, and the interval of further questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered questions after which a connection ends.
const KEEPALIVE_RETRIES: u32 = 2;

/// An open connection. Dropping it closes the socket at once, which makes the other end stop its work.
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it has left; the request can go elsewhere.
    NotSent(String),
    /// It may have arrived.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => write!(f, "not sent: {error}"),
            Self::Lost(error) => write!(f, "lost: {error}"),
        }
    }
}

impl std::error::Error for SendError {}

impl Conn {
    /// Connects to `address` within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, connect(address)).await.map_err(|_| io::ErrorKind::TimedOut)??;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        // The error also reaches the request that is under way; between requests it only means that the other end
        // has closed.
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { sender, task: task.abort_handle() })
    }

    /// Whether the other end has closed the connection or sent what nobody asked for.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.task.is_finished()
    }

    /// Waits until the connection can take a request; false when it is closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok() && !self.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(req).await.map_err(|mut err| {
            let unsent = err.take_message().is_some();
            let text = error_chain(err.error());
            if unsent { SendError::NotSent(text) } else { SendError::Lost(text) }
        })
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The error with its causes.
pub fn error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    let options = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    options.set_tcp_keepalive(&keepalive)?;
    // A closed connection must not deliver a request later: closing drops what is not yet acknowledged.
    options.set_linger(Some(Duration::ZERO))?;
    options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(stream)
}
