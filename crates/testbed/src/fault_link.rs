//! A TCP forwarder whose connections can be closed, blackholed or delayed.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use eyre::{Result, WrapErr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

/// Forwards connections from a listener to a target address. Dropping it closes the listener.
#[derive(Debug)]
pub struct FaultLink {
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

/// Connections and bytes that a link has forwarded since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of accepted connections.
    pub connections: u64,
    /// Number of bytes to the target.
    pub request_bytes: u64,
    /// Number of bytes from the target.
    pub answer_bytes: u64,
}

#[derive(Debug, Default)]
struct Counters {
    connections: AtomicU64,
    request_bytes: AtomicU64,
    answer_bytes: AtomicU64,
}

/// What a link does with connections and bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards all bytes.
    Forward,
    /// Refuses new connections and closes the open ones.
    Cut,
    /// Keeps connections open but forwards no bytes in either direction.
    Blackhole,
    /// Forwards bytes to the target only.
    RequestsOnly,
    /// Forwards bytes from the target only.
    AnswersOnly,
    /// Delays each chunk of bytes.
    Slow(Duration),
}

#[derive(Clone, Copy, Debug)]
struct LinkState {
    mode: LinkMode,
    /// Connections of generations before this one never forward bytes again.
    blackholed_before: u64,
    /// Generation of new connections.
    generation: u64,
}

impl FaultLink {
    /// Opens a link on `listen` to `target`.
    pub async fn open(listen: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(listen).await.wrap_err_with(|| format!("could not bind link {listen}"))?;
        let address = listener.local_addr()?;
        let state = LinkState { mode: LinkMode::Forward, blackholed_before: 0, generation: 1 };
        let state = Arc::new(watch::channel(state).0);
        let counters = Arc::new(Counters::default());
        let task = tokio::spawn(accept_connections(listener, target, Arc::clone(&state), Arc::clone(&counters)));
        Ok(Self { address, state, counters, task })
    }

    /// Connections and bytes forwarded so far, without the headers of TCP and IP.
    pub fn traffic(&self) -> Traffic {
        let counters = &self.counters;
        Traffic {
            connections: counters.connections.load(Ordering::Relaxed),
            request_bytes: counters.request_bytes.load(Ordering::Relaxed),
            answer_bytes: counters.answer_bytes.load(Ordering::Relaxed),
        }
    }

    /// Address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode for open and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Permanently stops forwarding on the connections that are open now. New connections work.
    pub fn blackhole_open_connections(&self) {
        self.state.send_modify(|state| {
            state.generation += 1;
            state.blackholed_before = state.generation;
        });
    }
}

impl Drop for FaultLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    counters: Arc<Counters>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else { return };
        let current = *state.borrow();
        if current.mode == LinkMode::Cut {
            continue;
        }
        counters.connections.fetch_add(1, Ordering::Relaxed);
        let rx = state.subscribe();
        let counters = Arc::clone(&counters);
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else { return };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let requests =
                forward(client_read, server_write, rx.clone(), current.generation, Direction::Request, &counters);
            let answers = forward(server_read, client_write, rx, current.generation, Direction::Answer, &counters);
            tokio::join!(requests, answers);
        });
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// Copies bytes in one direction until either side closes or the link is cut.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut rx: watch::Receiver<LinkState>,
    generation: u64,
    direction: Direction,
    counters: &Counters,
) {
    const CHUNK_BYTES: usize = 16 << 10;
    let counter = match direction {
        Direction::Request => &counters.request_bytes,
        Direction::Answer => &counters.answer_bytes,
    };
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let cut = rx.wait_for(|state| state.mode == LinkMode::Cut);
        let len = tokio::select! {
            _ = cut => return,
            read = from.read(&mut buf) => match read {
                Ok(0) | Err(_) => break,
                Ok(len) => len,
            },
        };
        let forwards = |state: &LinkState| match state.mode {
            _ if generation < state.blackholed_before => false,
            LinkMode::Blackhole => false,
            LinkMode::RequestsOnly => direction == Direction::Request,
            LinkMode::AnswersOnly => direction == Direction::Answer,
            LinkMode::Forward | LinkMode::Cut | LinkMode::Slow(_) => true,
        };
        let Ok(state) = rx.wait_for(forwards).await.map(|state| *state) else { return };
        match state.mode {
            LinkMode::Cut => return,
            LinkMode::Slow(delay) => sleep(delay).await,
            LinkMode::Forward | LinkMode::Blackhole | LinkMode::RequestsOnly | LinkMode::AnswersOnly => {}
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
        counter.fetch_add(len as u64, Ordering::Relaxed);
    }
    let _ = to.shutdown().await;
}
