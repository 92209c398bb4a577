//! Channels to the inner endpoints of other processes, shared between callers.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use eelgrasswell_core::{hash::HashMap, unit::Millis};
use tonic::transport::{Channel, Endpoint};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two keep-alive pings on a connection. Idle connections are pinged as well: a call
/// that timed out on a stalled connection leaves the connection idle, and the next call would use it
/// again. Longer than the 2 s between heartbeats, so that links need no pings in addition.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time without a reply to a ping after which a connection counts as stalled and is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Flow-control window of one call: the maximum number of unread bytes. A larger window would hold more
/// bytes in memory for each answer whose caller does not read.
const STREAM_WINDOW: u32 = 16 << 10;
/// Flow-control window of all calls on a connection, in bytes. It is the maximum that HTTP/2 allows, so
/// that answers of callers that do not read cannot block other answers.
const CONNECTION_WINDOW: u32 = (1 << 31) - 1;
/// Time without use after which a channel is dropped. Exchanges with two random peers a second would
/// otherwise leave a connection to each of 350 routers open. In a large fleet a connection to a random
/// peer is rarely used again after 10 s, and 40 such connections took several megabytes on both sides.
const IDLE_TIMEOUT: Millis = Millis(2_500);

/// Pool of channels by address.
#[derive(Default)]
pub struct Channels {
    pool: Mutex<HashMap<SocketAddr, PooledChannel>>,
}

struct PooledChannel {
    channel: Channel,
    used_at: Millis,
}

impl Channels {
    /// The channel to `address`. It connects on first use.
    pub fn get(&self, address: SocketAddr, now: Millis) -> Channel {
        let mut pool = self.lock();
        let pooled = pool.entry(address).or_insert_with(|| PooledChannel { channel: connect(address), used_at: now });
        pooled.used_at = now;
        pooled.channel.clone()
    }

    /// Removes the channel to `address`, so that the next caller opens a new connection. Calls in
    /// progress on the old connection continue.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Removes channels that were not requested within `IDLE_TIMEOUT`. Callers that hold such a channel
    /// can still use it.
    pub fn drop_idle(&self, now: Millis) {
        self.lock().retain(|_, pooled| now.saturating_sub(pooled.used_at) < IDLE_TIMEOUT);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PooledChannel>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
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
