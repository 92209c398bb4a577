//! A TCP stream that is checked for unread bytes before a request is written to it, and that knows whether the request was
//! written whole.
//!
//! Bytes that are in the socket before the request is written are not its response, but the HTTP library takes them for it
//! if it has not been told of them by then.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, sleep},
};

/// Size from which the body of a request is long, in bytes. The server has a shorter one in its buffers before it answers.
const LONG_BODY: u64 = 64 << 10;
/// Interval at which the socket is checked for a reset.
const RESET_POLL: Duration = Duration::from_millis(10);

/// A TCP stream that its owner can check while an HTTP connection reads and writes it.
#[derive(Clone)]
pub struct Socket(Arc<Shared>);

struct Shared {
    stream: TcpStream,
    /// Whether the next write is the beginning of a request.
    begins_request: AtomicBool,
    /// Whether the beginning of a request was rejected.
    rejected: AtomicBool,
    /// Whether the HTTP connection has taken the whole body of the request.
    body_taken: AtomicBool,
    /// Whether the request has been written whole.
    sent: AtomicBool,
    /// Whether the body of the request is long.
    is_long: AtomicBool,
}

impl From<TcpStream> for Socket {
    fn from(stream: TcpStream) -> Self {
        Self(Arc::new(Shared {
            stream,
            begins_request: AtomicBool::default(),
            rejected: AtomicBool::default(),
            body_taken: AtomicBool::default(),
            sent: AtomicBool::default(),
            is_long: AtomicBool::default(),
        }))
    }
}

impl Socket {
    /// Whether no bytes wait to be read and the other end has not closed the connection. Asks the kernel, since the runtime
    /// may not have been told yet.
    pub fn is_quiet(&self) -> bool {
        let peeked = SockRef::from(&self.0.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Announces that the next write is the beginning of a request with a body of `length` bytes. It fails if the socket is
    /// not quiet then.
    pub fn begin_request(&self, length: u64) {
        self.0.begins_request.store(true, Ordering::Relaxed);
        self.0.body_taken.store(length == 0, Ordering::Relaxed);
        self.0.sent.store(length == 0, Ordering::Relaxed);
        self.0.is_long.store(length >= LONG_BODY, Ordering::Relaxed);
    }

    /// Records that the HTTP connection has taken the last bytes of the body, which it writes before it flushes.
    pub fn record_body_taken(&self) {
        self.0.body_taken.store(true, Ordering::Relaxed);
    }

    /// Whether the request has been written whole.
    pub fn has_sent_request(&self) -> bool {
        self.0.sent.load(Ordering::Relaxed)
    }

    /// Waits for up to `limit` after a request with a long body, and returns whether the other end has reset the connection.
    pub async fn is_reset_within(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            if !matches!(self.0.stream.take_error(), Ok(None)) {
                return true;
            }
            if !self.0.is_long.load(Ordering::Relaxed) || Instant::now() >= until {
                return false;
            }
            sleep(RESET_POLL).await;
        }
    }

    /// Whether the beginning of a request was rejected, so that no byte of it was written.
    pub fn has_rejected_request(&self) -> bool {
        self.0.rejected.load(Ordering::Relaxed)
    }

    fn poll_io<T>(
        &self,
        context: &mut Context<'_>,
        poll_ready: fn(&TcpStream, &mut Context<'_>) -> Poll<io::Result<()>>,
        mut operation: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(poll_ready(&self.0.stream, context))?;
            match operation(&self.0.stream) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Fails if a request begins while the socket is not quiet.
    fn check_write(&self) -> io::Result<()> {
        if self.0.begins_request.swap(false, Ordering::Relaxed) && !self.is_quiet() {
            self.0.rejected.store(true, Ordering::Relaxed);
        }
        if self.has_rejected_request() {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "bytes came before the request"));
        }
        Ok(())
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.poll_io(context, TcpStream::poll_read_ready, |stream| {
            let length = stream.try_read(buf.initialize_unfilled())?;
            buf.advance(length);
            Ok(())
        })
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_write()?;
        self.poll_io(context, TcpStream::poll_write_ready, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        self.poll_io(context, TcpStream::poll_write_ready, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The HTTP connection flushes once it has written all that it has taken.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.body_taken.load(Ordering::Relaxed) {
            self.0.sent.store(true, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // After that, the kernel would not report a reset any more. The socket is closed when its owner drops it.
        if self.0.is_long.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
