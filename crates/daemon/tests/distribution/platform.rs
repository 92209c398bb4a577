//! The testbed's fake platform, with the controls that these tests need.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_daemon::platform::{HostEntry, Platform, Put};
use eelgrasswell_testbed::platform as testbed;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Lag of watches, in milliseconds; longer than any test takes.
const LAG_MS: u64 = 600_000;

#[derive(Clone)]
pub struct FakePlatform {
    pub address: SocketAddr,
    inner: Arc<testbed::Platform>,
}

impl FakePlatform {
    pub async fn open() -> Self {
        let platform = testbed::Platform::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        Self { address: platform.address(), inner: Arc::new(platform) }
    }

    pub fn set_down(&self, down: bool) {
        self.inner.set_faults(|faults| faults.down = down);
    }

    /// Makes watches report changes only after the test has ended.
    pub fn set_watches_lag(&self) {
        self.inner.set_faults(|faults| faults.watch_lag_ms = LAG_MS);
    }

    /// Makes the next write of `key` take effect, but closes the connection instead of replying.
    pub fn lose_answer(&self, key: &str) {
        self.inner.set_faults(|faults| {
            faults.lose_answers = 1;
            faults.lose_prefix = key.into();
        });
    }

    /// Delays the effect of each call. Calls that the caller has abandoned still take effect.
    pub fn set_slow(&self, delay: Duration) {
        self.inner.set_faults(|faults| faults.slow_ms = delay.as_millis() as u64);
    }

    /// Whether the reply that `lose_answer` requested to lose has been lost.
    pub fn has_lost_answer(&self) -> bool {
        let mut remaining = 0;
        self.inner.set_faults(|faults| remaining = faults.lose_answers);
        remaining == 0
    }

    /// Replaces the host list.
    pub async fn set_hosts(&self, hosts: Vec<HostEntry>) {
        let body = serde_json::json!({ "hosts": hosts }).to_string();
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let head =
            format!("PUT /hosts HTTP/1.1\r\nhost: p\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).await.unwrap();
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await.unwrap();
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    }

    pub fn object(&self, key: &str) -> Bytes {
        self.inner.object(key).unwrap().value
    }

    /// Replaces the value of an object, like a platform that has lost its newest writes.
    pub async fn overwrite(&self, key: &str, value: Bytes) {
        let version = self.inner.object(key).unwrap().version;
        let put = Platform::open(self.address).put(key, version, value).await.unwrap();
        assert_eq!(put, Put::Done(version + 1));
    }

    /// Waits until `condition` holds for the keys with this prefix.
    pub async fn wait_for_keys(&self, prefix: &str, condition: impl Fn(&[String]) -> bool) {
        crate::within("keys", self.inner.wait_until(|platform| condition(&platform.keys(prefix)))).await;
    }

    /// Waits for `count` further reads of objects. The fake does not notify of reads, so this polls.
    pub async fn wait_for_reads(&self, count: u64) {
        let read_count = || self.inner.calls().get("get").copied().unwrap_or_default();
        let before = read_count();
        crate::within("reads", async {
            while read_count() < before + count {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
    }
}
