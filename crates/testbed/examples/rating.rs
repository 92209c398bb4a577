//! Stand-in for the rating service. Rates answers at random, by the configured quality of their model.
//!
//! `POST /rate` with `request_id`, `model`, `version` and `answer` returns `{"good": bool}`, or status 204 for an answer
//! that never gets a rating. `POST /fault` replaces the behaviour: `quality` (by model or `model/version`), `delay_ms`,
//! `lost` (share of answers without a rating) and `down`; absent fields get their defaults.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use argh::FromArgs;
use bytes::Bytes;
use eelgrasswell_core::hash::stable_hash;
use eyre::Result;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time::sleep};

/// Stand-in for the rating service.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// Behaviour of the service; the body of `POST /fault`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Behaviour {
    /// Share of good answers, from 0 to 1, by model or `model/version`. The version takes precedence.
    quality: HashMap<String, f64>,
    /// Delay of each response to a rating request in milliseconds.
    delay_ms: u64,
    /// Share of answers without a rating, from 0 to 1.
    lost: f64,
    /// Whether rating requests get status 503.
    down: bool,
}

/// Body of `POST /rate`. Other fields are ignored.
#[derive(Deserialize)]
struct RatingRequest {
    request_id: String,
    model: String,
    version: String,
}

/// Response to `POST /rate`.
#[derive(Serialize)]
struct Rating {
    good: bool,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let listener = TcpListener::bind(args.listen).await?;
    let behaviour = Arc::new(Mutex::new(Behaviour::default()));
    loop {
        let (stream, _) = listener.accept().await?;
        let behaviour = Arc::clone(&behaviour);
        tokio::spawn(async move {
            let service = service_fn(|req| serve(Arc::clone(&behaviour), req));
            let server = hyper_util::server::conn::auto::Builder::new(TokioExecutor::new());
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn serve(behaviour: Arc<Mutex<Behaviour>>, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = req.uri().path().to_owned();
    let Ok(body) = req.into_body().collect().await else { return Ok(reply(StatusCode::BAD_REQUEST, Bytes::new())) };
    let body = body.to_bytes();
    if path == "/fault" {
        let Ok(new_behaviour) = serde_json::from_slice(&body) else {
            return Ok(reply(StatusCode::BAD_REQUEST, Bytes::new()));
        };
        *behaviour.lock().expect("no thread panics while it holds the lock") = new_behaviour;
        return Ok(reply(StatusCode::OK, Bytes::from_static(b"{}")));
    }
    let behaviour = behaviour.lock().expect("no thread panics while it holds the lock").clone();
    sleep(Duration::from_millis(behaviour.delay_ms)).await;
    let Ok(request) = serde_json::from_slice::<RatingRequest>(&body) else {
        return Ok(reply(StatusCode::BAD_REQUEST, Bytes::new()));
    };
    if behaviour.down {
        return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
    }
    if pseudo_random(&request, "lost") < behaviour.lost {
        return Ok(reply(StatusCode::NO_CONTENT, Bytes::new()));
    }
    let version_quality = behaviour.quality.get(&format!("{}/{}", request.model, request.version));
    let quality = version_quality.or_else(|| behaviour.quality.get(&request.model)).copied().unwrap_or(0.9);
    let rating = Rating { good: pseudo_random(&request, "good") < quality };
    Ok(reply(StatusCode::OK, serde_json::to_vec(&rating).expect("rating serialises to JSON").into()))
}

/// A number from 0 to 1 that depends on the request id and `purpose` only, so that runs are reproducible.
fn pseudo_random(request: &RatingRequest, purpose: &str) -> f64 {
    stable_hash(&[purpose, &request.request_id]) as f64 / u64::MAX as f64
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
