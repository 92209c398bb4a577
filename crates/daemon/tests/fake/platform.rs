//! Stand-in for the platform's object API.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Platform that stores versioned objects in memory.
#[derive(Clone, Default)]
pub struct FakePlatform {
    /// Versions and values by key.
    objects: Arc<Mutex<HashMap<String, (u64, Bytes)>>>,
    /// Makes every call fail.
    pub down: Arc<AtomicBool>,
    /// Makes the next write fail after it took effect.
    pub lose_answer: Arc<AtomicBool>,
}

impl FakePlatform {
    /// Starts to serve the objects and returns the address.
    pub async fn spawn(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let platform = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let platform = platform.clone();
                let service = service_fn(move |req| {
                    let platform = platform.clone();
                    async move { Ok::<_, Infallible>(platform.handle_request(req).await) }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        address
    }

    async fn handle_request(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let reply = |status, version: u64, body: Bytes| {
            Response::builder().status(status).header("x-version", version).body(Full::new(body)).unwrap()
        };
        let key = req.uri().path().trim_start_matches("/objects/").to_owned();
        let expected = req.headers().get("if-version").map(|v| v.to_str().unwrap().parse::<u64>().unwrap());
        let method = req.method().clone();
        let value = req.into_body().collect().await.unwrap().to_bytes();
        if self.down.load(Ordering::SeqCst) {
            return reply(503, 0, Bytes::new());
        }
        let mut objects = self.objects.lock().unwrap();
        let stored = objects.get(&key).cloned();
        if method == Method::GET {
            return stored.map_or_else(|| reply(404, 0, Bytes::new()), |(version, value)| reply(200, version, value));
        }
        let version = stored.map_or(0, |(version, _)| version);
        if expected != Some(version) {
            return reply(409, version, Bytes::new());
        }
        objects.insert(key, (version + 1, value));
        if self.lose_answer.swap(false, Ordering::SeqCst) {
            return reply(503, 0, Bytes::new());
        }
        reply(200, version + 1, format!(r#"{{"version":{}}}"#, version + 1).into())
    }
}
