//! Stand-in for a faulty backend server that writes arbitrary bytes on its connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use eyre::{Result, WrapErr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};

/// Maximum size of a request's head in bytes.
const MAX_HEAD: usize = 64 << 10;
/// Time between the end of an early answer and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// A request as the stand-in reads it.
#[derive(Clone, Debug)]
pub struct ScriptedRequest {
    /// Id of the caller's attempt.
    pub id: String,
    /// Number of the request on its connection, from 0.
    pub number: usize,
    /// Id of the first request on the connection.
    pub first_id: String,
}

/// What the stand-in does with a request.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Whether the request counts as run.
    pub runs: bool,
    /// Bytes that it writes.
    pub bytes: Vec<u8>,
    /// Whether it closes the connection then.
    pub closes: bool,
}

/// How much of a request's body the stand-in reads before it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRead {
    /// All of it.
    Whole,
    /// This many bytes. It ends its side of the connection after the answer, and resets it a moment later.
    Bytes(usize),
}

type Handler = Arc<dyn Fn(&ScriptedRequest) -> Script + Send + Sync>;

/// A running stand-in. It stops when this is dropped.
pub struct ScriptedBackend {
    /// Address at which it serves requests.
    pub address: SocketAddr,
    requests: Arc<Requests>,
    accept_task: JoinHandle<()>,
}

/// Ids of the requests that have arrived, and of those that count as run.
#[derive(Default)]
struct Requests {
    arrivals: Mutex<Vec<String>>,
    runs: Mutex<Vec<String>>,
}

impl ScriptedBackend {
    /// Starts a stand-in on a free port of the loopback address, which answers each request with what `handler` returns.
    pub async fn bind(handler: impl Fn(&ScriptedRequest) -> Script + Send + Sync + 'static) -> Result<Self> {
        Self::bind_reading(BodyRead::Whole, handler).await
    }

    /// Like `bind`, for a stand-in that may answer before it has read the whole body.
    pub async fn bind_reading(
        reads: BodyRead,
        handler: impl Fn(&ScriptedRequest) -> Script + Send + Sync + 'static,
    ) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.wrap_err("could not bind a backend server")?;
        let address = listener.local_addr()?;
        let requests = Arc::new(Requests::default());
        let accept_task = tokio::spawn(accept_connections(listener, reads, Arc::new(handler), Arc::clone(&requests)));
        Ok(Self { address, requests, accept_task })
    }

    /// Number of times that it has run the request `id`.
    pub fn count_runs(&self, id: &str) -> usize {
        lock(&self.requests.runs).iter().filter(|run| *run == id).count()
    }

    /// Number of requests that it has run.
    pub fn runs(&self) -> usize {
        lock(&self.requests.runs).len()
    }

    /// Number of requests that have arrived, whether it has run them or not.
    pub fn arrivals(&self) -> usize {
        lock(&self.requests.arrivals).len()
    }
}

impl Drop for ScriptedBackend {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

fn lock(ids: &Mutex<Vec<String>>) -> MutexGuard<'_, Vec<String>> {
    ids.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept_connections(listener: TcpListener, reads: BodyRead, handler: Handler, requests: Arc<Requests>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, reads, Arc::clone(&handler), Arc::clone(&requests)));
    }
}

async fn serve(mut stream: TcpStream, reads: BodyRead, handler: Handler, requests: Arc<Requests>) {
    let mut first_id: Option<String> = None;
    for number in 0.. {
        let Ok(Some(id)) = read_request(&mut stream, reads).await else { return };
        let first_id = first_id.get_or_insert_with(|| id.clone()).clone();
        let script = handler(&ScriptedRequest { id: id.clone(), number, first_id });
        lock(&requests.arrivals).push(id.clone());
        if script.runs {
            lock(&requests.runs).push(id);
        }
        let written = stream.write_all(&script.bytes).await;
        if reads != BodyRead::Whole {
            let _ = stream.shutdown().await;
            sleep(RESET_DELAY).await;
            return;
        }
        if written.is_err() || script.closes {
            return;
        }
    }
}

/// Reads one request and returns its id; none if the connection was closed.
async fn read_request(stream: &mut TcpStream, reads: BodyRead) -> Result<Option<String>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if head.len() > MAX_HEAD || stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':')).map(str::trim);
    let length = field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let length = match reads {
        BodyRead::Whole => length,
        BodyRead::Bytes(bytes) => bytes.min(length),
    };
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(Some(field("x-attempt-id").unwrap_or_default().to_owned()))
}
