//! Channels to other processes, shared between callers.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use eelgrasswell_core::{hash::HashMap, unit::Millis};
use tonic::transport::{Channel, Endpoint};

/// Longest time that opening a connection takes.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two pings on a connection. Idle connections are pinged as well: a call that timed
/// out on a silent connection leaves it idle, and the next call would go to it again. Longer than the
/// 2 s between heartbeats, so that links are not pinged as well.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time without an answer to a ping after which a connection counts as silent and is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Unread bytes of one call that a connection takes. More of them would sit in memory for each answer
/// whose caller does not read.
const STREAM_WINDOW: u32 = 16 << 10;
/// Unread bytes of all calls on a connection, the most that HTTP/2 allows: the answers of callers that
/// do not read must not hold up the others.
const CONNECTION_WINDOW: u32 = (1 << 31) - 1;
/// Time without use after which a channel is dropped. Two random peers a second would otherwise
/// leave a connection to each of 350 routers open. After 10 s a connection to a random peer is rarely
/// used again in a large fleet, and 40 of them took several megabytes on both sides.
const IDLE_AFTER: Millis = Millis(2_500);

/// Open channels by address.
#[derive(Default)]
pub struct Channels {
    open: Mutex<HashMap<SocketAddr, Pooled>>,
}

struct Pooled {
    channel: Channel,
    used_at: Millis,
}

impl Channels {
    /// The channel to `address`; it connects on first use.
    pub fn get(&self, address: SocketAddr, now: Millis) -> Channel {
        let mut open = self.lock();
        let pooled = open.entry(address).or_insert_with(|| Pooled { channel: connect(address), used_at: now });
        pooled.used_at = now;
        pooled.channel.clone()
    }

    /// Makes the next caller open a new connection. Calls on the old one go on.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Drops channels that have not been asked for lately. Callers that hold one keep it.
    pub fn drop_idle(&self, now: Millis) {
        self.lock().retain(|_, pooled| now.saturating_sub(pooled.used_at) < IDLE_AFTER);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Pooled>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn connect(address: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address makes a valid URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .keep_alive_while_idle(true)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .tcp_nodelay(true)
        .connect_lazy()
}
