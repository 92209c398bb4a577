//! The platform stand-in of the testbed, with what these tests ask of it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_daemon::platform::{HostEntry, Platform, Put};
use eelgrasswell_testbed::platform as testbed;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Longer than any test lasts.
const LAG_MS: u64 = 600_000;

#[derive(Clone)]
pub struct FakePlatform {
    pub address: SocketAddr,
    served: Arc<testbed::Platform>,
}

impl FakePlatform {
    pub async fn open() -> Self {
        let served = testbed::Platform::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        Self { address: served.address(), served: Arc::new(served) }
    }

    pub fn set_down(&self, down: bool) {
        self.served.fault(|faults| faults.down = down);
    }

    /// Lets watches tell of changes only after the test.
    pub fn set_watches_lag(&self) {
        self.served.fault(|faults| faults.watch_lag_ms = LAG_MS);
    }

    /// Lets the next write of `key` take effect and closes the connection in place of an answer.
    pub fn lose_answer(&self, key: &str) {
        self.served.fault(|faults| {
            faults.lose_answers = 1;
            faults.lose_prefix = key.into();
        });
    }

    /// Delays the effect of each call. Calls that their caller has given up take effect all the same.
    pub fn set_slow(&self, delay: Duration) {
        self.served.fault(|faults| faults.slow_ms = delay.as_millis() as u64);
    }

    /// Whether the answer to be lost has been lost.
    pub fn has_lost_answer(&self) -> bool {
        let mut left = 0;
        self.served.fault(|faults| left = faults.lose_answers);
        left == 0
    }

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
        self.served.object(key).unwrap().value
    }

    /// Replaces an object as a platform does that has lost its newest writes.
    pub async fn overwrite(&self, key: &str, value: Bytes) {
        let version = self.served.object(key).unwrap().version;
        let put = Platform::open(self.address).put(key, version, value).await.unwrap();
        assert_eq!(put, Put::Done(version + 1));
    }

    /// Waits until `holds` of the keys with this prefix.
    pub async fn keys(&self, prefix: &str, holds: impl Fn(&[String]) -> bool) {
        crate::within("keys", self.served.until(|served| holds(&served.keys(prefix)))).await;
    }

    /// Waits for `count` further reads of objects. The stand-in does not tell of reads, so this asks.
    pub async fn reads(&self, count: u64) {
        let reads = || self.served.calls().get("get").copied().unwrap_or_default();
        let before = reads();
        crate::within("reads", async {
            while reads() < before + count {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
    }
}
