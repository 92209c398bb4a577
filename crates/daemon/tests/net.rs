//! Guards against bytes that came before a request and are taken for its response: a refusal among them would show that a
//! request did not run which the server runs.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use bytes::Bytes;
use eelgrasswell_daemon::gateway::net::{Conn, SendError};
use http_body_util::Full;
use hyper::Request;
use tokio::task::yield_now;

const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";

/// A connection that is ready for a request, and its other end.
async fn open() -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut conn = Conn::open(listener.local_addr().unwrap(), Duration::from_secs(5)).await.unwrap();
    let (server, _) = listener.accept().unwrap();
    assert!(conn.ready().await);
    yield_now().await;
    (conn, server)
}

/// Writes `bytes` and blocks the runtime until they have arrived, so that it does not learn of them before the next step.
fn write_unnoticed(server: &mut TcpStream, bytes: &[u8]) {
    server.write_all(bytes).unwrap();
    thread::sleep(Duration::from_millis(20));
}

#[tokio::test]
async fn connection_with_unread_bytes_is_not_ready() {
    let (mut conn, mut server) = open().await;
    write_unnoticed(&mut server, REFUSAL);
    assert!(!conn.ready().await);
}

#[tokio::test]
async fn request_is_not_written_after_unread_bytes() {
    let (mut conn, mut server) = open().await;
    write_unnoticed(&mut server, REFUSAL);
    let result = conn.send(Request::new(Full::new(Bytes::new()))).await;
    assert!(matches!(result, Err(SendError::NotSent(_))), "{result:?}");
    drop(conn);
    yield_now().await;
    let mut received = Vec::new();
    let _ = server.read_to_end(&mut received);
    assert_eq!(String::from_utf8_lossy(&received), "");
}
