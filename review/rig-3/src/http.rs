//! Blocking HTTP/1.1 over TCP, just enough for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Largest head that is read.
const MAX_HEAD: usize = 64 << 10;

/// The head of a request or response, and the bytes of its body that came with it.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// Header fields with lower-case names.
    pub fields: Vec<(String, String)>,
    /// Bytes that were read after the head.
    pub rest: Vec<u8>,
}

impl Head {
    /// Value of a header field; empty if it is missing.
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(other, _)| other == name).map_or("", |(_, value)| value)
    }

    /// The stated length of the body.
    pub fn length(&self) -> usize {
        self.field("content-length").parse().unwrap_or(0)
    }

    /// Status code of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head. `rest` holds bytes that were read before. None if the connection ends first.
pub fn read_head(stream: &mut TcpStream, rest: Vec<u8>) -> io::Result<Option<Head>> {
    let mut buf = rest;
    loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let line = lines.next().unwrap_or("").to_owned();
            let fields = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            return Ok(Some(Head { line, fields, rest: buf[end + 4..].to_vec() }));
        }
        if buf.len() > MAX_HEAD {
            return Err(io::Error::other("the head is too long"));
        }
        let mut part = [0; 4096];
        match stream.read(&mut part)? {
            0 => return Ok(None),
            length => buf.extend_from_slice(&part[..length]),
        }
    }
}

/// Reads a body with a stated length, or in chunks. Returns the body and the bytes after it.
pub fn read_body(stream: &mut TcpStream, head: &mut Head) -> io::Result<(Vec<u8>, Vec<u8>)> {
    let mut buf = std::mem::take(&mut head.rest);
    if head.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        return read_chunks(stream, buf);
    }
    let length = head.length();
    while buf.len() < length {
        more(stream, &mut buf)?;
    }
    let after = buf.split_off(length);
    Ok((buf, after))
}

fn read_chunks(stream: &mut TcpStream, mut buf: Vec<u8>) -> io::Result<(Vec<u8>, Vec<u8>)> {
    let mut body = Vec::new();
    loop {
        let end = loop {
            match buf.windows(2).position(|window| window == b"\r\n") {
                Some(end) => break end,
                None => more(stream, &mut buf)?,
            }
        };
        let size = usize::from_str_radix(String::from_utf8_lossy(&buf[..end]).trim(), 16);
        let size = size.map_err(io::Error::other)?;
        while buf.len() < end + 2 + size + 2 {
            more(stream, &mut buf)?;
        }
        body.extend_from_slice(&buf[end + 2..end + 2 + size]);
        buf.drain(..end + 2 + size + 2);
        if size == 0 {
            return Ok((body, buf));
        }
    }
}

fn more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<()> {
    let mut part = [0; 16 << 10];
    match stream.read(&mut part)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        length => {
            buf.extend_from_slice(&part[..length]);
            Ok(())
        }
    }
}

/// What a client got for a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A complete response.
    Answer {
        /// Status code.
        status: u16,
    },
    /// No connection, or it ended without a complete response.
    Broken(String),
    /// Nothing complete came within the time limit.
    Silent,
}

impl Reply {
    /// Short text for the record.
    pub fn text(&self) -> String {
        match self {
            Self::Answer { status } => format!("status {status}"),
            Self::Broken(why) => format!("broken off: {why}"),
            Self::Silent => "no answer".into(),
        }
    }

    /// Status code; 0 without a response.
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer { status } => *status,
            Self::Broken(_) | Self::Silent => 0,
        }
    }
}

/// Opens a connection with a time limit for all its steps.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(stream)
}

/// Sends `request` on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Reply {
    match connect(address, limit) {
        Ok(mut stream) => exchange(&mut stream, request),
        Err(err) if is_timeout(&err) => Reply::Silent,
        Err(err) => Reply::Broken(err.to_string()),
    }
}

/// Sends `request` on an open connection and reads the response.
pub fn exchange(stream: &mut TcpStream, request: &[u8]) -> Reply {
    let result = (|| {
        stream.write_all(request)?;
        let Some(mut head) = read_head(stream, Vec::new())? else {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
        };
        read_body(stream, &mut head)?;
        Ok(Reply::Answer { status: head.status() })
    })();
    match result {
        Ok(reply) => reply,
        Err(err) if is_timeout(&err) => Reply::Silent,
        Err(err) => Reply::Broken(err.to_string()),
    }
}

fn is_timeout(err: &io::Error) -> bool {
    matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
