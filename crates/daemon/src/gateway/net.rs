//! HTTP/1.1 connections to the store and to backend servers. A connection carries one request at a time.

use std::{
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Body, Frame, Incoming, SizeHint},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
    time::timeout,
};

use super::socket::Socket;

/// Time after which the kernel closes a connection with unacknowledged bytes (`TCP_USER_TIMEOUT`). An unresponsive
/// connection shows no other sign.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which the kernel sends a keep-alive probe, and the interval of further probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_RETRIES: u32 = 2;

/// Maximum size of the buffers of a connection, and of the head of a response, in bytes. By default the read buffer grows to
/// 400 KB for a fast server, for each answer that its caller does not read.
const READ_BUFFER: usize = 32 << 10;

/// An open connection. Dropping it closes the socket at once, so that the other end stops work on the request.
pub struct Conn {
    sender: SendRequest<RequestBody>,
    socket: Socket,
    task: AbortHandle,
}

/// The body of a request, which tells the socket when it has been taken whole.
struct RequestBody {
    body: Full<Bytes>,
    socket: Socket,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if self.body.is_end_stream() {
            self.socket.record_body_taken();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent, so it can be sent to another server.
    NotSent(String),
    /// The request may have arrived.
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
        let mut handshake = http1::Builder::new();
        let socket = Socket::from(stream);
        let (sender, connection) = handshake
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(socket.clone()))
            .await
            .map_err(io::Error::other)?;
        // The request in progress gets the error, too. Between requests, an error only means that the other end has
        // closed the connection.
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { sender, socket, task: task.abort_handle() })
    }

    /// Whether the other end has closed the connection or sent data without a request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.task.is_finished()
    }

    /// The connection's socket.
    pub fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Waits until the connection is ready for a request; false if it is closed, or if bytes have come without a request.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok() && !self.is_closed() && self.socket.is_quiet()
    }

    /// Sends a request and waits for the head of the response. Nothing is sent if bytes have come before: they are not its
    /// response.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.socket.begin_request(req.body().size_hint().lower());
        let req = req.map(|body| RequestBody { body, socket: self.socket.clone() });
        let result = self.sender.try_send_request(req).await;
        result.map_err(|mut err| {
            let unsent = err.take_message().is_some() || self.socket.has_rejected_request();
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

/// Formats an error with its causes, separated by colons.
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
    // With a linger time of zero, closing drops unacknowledged bytes, so that a closed connection does not deliver a
    // request later.
    options.set_linger(Some(Duration::ZERO))?;
    options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(stream)
}
