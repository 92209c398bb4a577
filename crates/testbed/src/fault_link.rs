//! A byte-forwarding TCP link whose connections can be cut, silenced or slowed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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
    task: JoinHandle<()>,
}

/// What the link does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards all bytes.
    Forward,
    /// Refuses new connections and closes the open ones.
    Cut,
    /// Keeps connections open but forwards nothing, in either direction.
    Silent,
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
    silenced_before: u64,
    generation: u64,
}

impl FaultLink {
    /// Opens a link on `listen` to `target`.
    pub async fn open(listen: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(listen).await.wrap_err_with(|| format!("could not bind link {listen}"))?;
        let address = listener.local_addr()?;
        let state = LinkState { mode: LinkMode::Forward, silenced_before: 0, generation: 1 };
        let mode = Arc::new(watch::channel(state).0);
        let task = tokio::spawn(accept(listener, target, Arc::clone(&mode)));
        Ok(Self { address, mode, task })
    }

    /// Address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the link does, for open and new connections.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_modify(|state| state.mode = mode);
    }

    /// Silences the connections that are open now, for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.mode.send_modify(|state| {
            state.generation += 1;
            state.silenced_before = state.generation;
        });
    }
}

impl Drop for FaultLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: Arc<watch::Sender<LinkState>>) {
    loop {
        let Ok((client, _)) = listener.accept().await else { return };
        let state = *mode.borrow();
        if state.mode == LinkMode::Cut {
            continue;
        }
        let rx = mode.subscribe();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else { return };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let requests = pump(client_read, server_write, rx.clone(), state.generation, Direction::Request);
            let answers = pump(server_read, client_write, rx, state.generation, Direction::Answer);
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
) {
    const CHUNK_BYTES: usize = 16 << 10;
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
            _ if generation < state.silenced_before => false,
            LinkMode::Silent => false,
            LinkMode::RequestsOnly => direction == Direction::Request,
            LinkMode::AnswersOnly => direction == Direction::Answer,
            LinkMode::Forward | LinkMode::Cut | LinkMode::Slow(_) => true,
        };
        let Ok(state) = rx.wait_for(passes).await.map(|state| *state) else { return };
        match state.mode {
            LinkMode::Cut => return,
            LinkMode::Slow(delay) => sleep(delay).await,
            LinkMode::Forward | LinkMode::Silent | LinkMode::RequestsOnly | LinkMode::AnswersOnly => {}
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
