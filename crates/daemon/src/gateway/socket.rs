//! A TCP stream that is checked for unread bytes before a request is written to it.
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
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A TCP stream that its owner can check while an HTTP connection reads and writes it.
#[derive(Clone)]
pub struct Socket(Arc<Shared>);

struct Shared {
    stream: TcpStream,
    /// Whether the next write is the beginning of a request.
    begins_request: AtomicBool,
    /// Whether the beginning of a request was rejected.
    rejected: AtomicBool,
}

impl From<TcpStream> for Socket {
    fn from(stream: TcpStream) -> Self {
        Self(Arc::new(Shared { stream, begins_request: AtomicBool::default(), rejected: AtomicBool::default() }))
    }
}

impl Socket {
    /// Whether no bytes wait to be read and the other end has not closed the connection. Asks the kernel, since the runtime
    /// may not have been told yet.
    pub fn is_quiet(&self) -> bool {
        let peeked = SockRef::from(&self.0.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Announces that the next write is the beginning of a request. It fails if the socket is not quiet then.
    pub fn begin_request(&self) {
        self.0.begins_request.store(true, Ordering::Relaxed);
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

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
