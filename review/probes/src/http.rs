//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Header fields with lower-case names.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Value of a field; empty if it is missing.
    pub fn get(&self, name: &str) -> &str {
        self.fields.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    /// Word `n` of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }

    /// Length that the field `content-length` states.
    pub fn length(&self) -> usize {
        self.get("content-length").parse().unwrap_or(0)
    }
}

/// Reads a head; none if the other end closes the connection before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if head.line.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end();
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that belongs to `head`, whole. Fails if it breaks off.
pub fn read_body(head: &Head, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    body.resize(head.length(), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// How a client's request ended.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status; 0 if there is no complete answer.
    pub status: u16,
    /// Head of the answer.
    pub head: Head,
    /// Time from the first byte of the request to the end of the answer.
    pub took: Duration,
}

/// Sends one request on a new connection and waits for the whole answer, for at most `patience`.
pub fn send(address: SocketAddr, head: &str, body: &[u8], patience: Duration) -> Reply {
    let started = Instant::now();
    let result = TcpStream::connect_timeout(&address, Duration::from_secs(1)).and_then(|stream| {
        stream.set_nodelay(true)?;
        exchange(&mut BufReader::new(stream), head, body, patience)
    });
    reply(result, started)
}

/// Sends one request on an open connection and waits for the whole answer.
pub fn send_on(stream: &mut BufReader<TcpStream>, head: &str, body: &[u8], patience: Duration) -> Reply {
    let started = Instant::now();
    reply(exchange(stream, head, body, patience), started)
}

fn reply(result: io::Result<(Head, bool)>, started: Instant) -> Reply {
    let took = started.elapsed();
    match result {
        Ok((head, complete)) => {
            let status = if complete { head.word(1).parse().unwrap_or(0) } else { 0 };
            Reply { status, head, took }
        }
        Err(_) => Reply { status: 0, head: Head::default(), took },
    }
}

fn exchange(
    reader: &mut BufReader<TcpStream>,
    head: &str,
    body: &[u8],
    patience: Duration,
) -> io::Result<(Head, bool)> {
    reader.get_ref().set_read_timeout(Some(patience))?;
    reader.get_ref().set_write_timeout(Some(patience))?;
    reader.get_mut().write_all(head.as_bytes())?;
    // An answer may come before the whole body is out.
    let _ = reader.get_mut().write_all(body);
    let Some(head) = read_head(reader)? else { return Err(io::ErrorKind::UnexpectedEof.into()) };
    let complete = read_body(&head, reader).is_ok();
    Ok((head, complete))
}
