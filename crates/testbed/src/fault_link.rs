//! A byte-forwarding TCP link whose connections can be cut, silenced or slowed.

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

/// A forwarding link from a listener to a target address. It ends when dropped.
#[derive(Debug)]
pub struct FaultLink {
    address: SocketAddr,
    mode: Arc<watch::Sender<LinkState>>,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

/// What has passed a link since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes towards the target.
    pub request_bytes: u64,
    /// Bytes from the target.
    pub answer_bytes: u64,
}

#[derive(Debug, Default)]
struct Counters {
    connections: AtomicU64,
    request_bytes: AtomicU64,
    answer_bytes: AtomicU64,
}

/// What the link does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards all bytes.
    Forward,
    /// Refuses new connections and closes the open ones.
    Cut,
    /// Keeps connections open but forwards nothing, in either direction.
    Blackhole,
    /// Forwards towards the target only.
    RequestsOnly,
    /// Forwards towards the listener's side only.
    AnswersOnly,
    /// Delays each chunk.
    Slow(Duration),
}

#[derive(Clone, Copy, Debug)]
struct LinkState {
    mode: LinkMode,
    /// Connections opened before this generation stay silent for good.
    blackholed_before: u64,
    generation: u64,
}

impl FaultLink {
    /// Opens a link on `listen` to `target`.
    pub async fn open(listen: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(listen).await.wrap_err_with(|| format!("could not bind link {listen}"))?;
        let address = listener.local_addr()?;
        let state = LinkState { mode: LinkMode::Forward, blackholed_before: 0, generation: 1 };
        let mode = Arc::new(watch::channel(state).0);
        let counters = Arc::new(Counters::default());
        let task = tokio::spawn(accept(listener, target, Arc::clone(&mode), Arc::clone(&counters)));
        Ok(Self { address, mode, counters, task })
    }

    /// What has passed the link so far, without the headers of TCP and IP.
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

    /// Changes what the link does, for open and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_modify(|state| state.mode = mode);
    }

    /// Silences the connections that are open now, for good; new ones work.
    pub fn blackhole_open_connections(&self) {
        self.mode.send_modify(|state| {
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

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: Arc<watch::Sender<LinkState>>,
    counters: Arc<Counters>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else { return };
        let state = *mode.borrow();
        if state.mode == LinkMode::Cut {
            continue;
        }
        counters.connections.fetch_add(1, Ordering::Relaxed);
        let rx = mode.subscribe();
        let counters = Arc::clone(&counters);
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else { return };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let requests = pump(client_read, server_write, rx.clone(), state.generation, Direction::Request, &counters);
            let answers = pump(server_read, client_write, rx, state.generation, Direction::Answer, &counters);
            tokio::join!(requests, answers);
        });
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

async fn pump(
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
        let passes = |state: &LinkState| match state.mode {
            _ if generation < state.blackholed_before => false,
            LinkMode::Blackhole => false,
            LinkMode::RequestsOnly => direction == Direction::Request,
            LinkMode::AnswersOnly => direction == Direction::Answer,
            LinkMode::Forward | LinkMode::Cut | LinkMode::Slow(_) => true,
        };
        let Ok(state) = rx.wait_for(passes).await.map(|state| *state) else { return };
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
