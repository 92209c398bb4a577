//! Rating service stand-in: rates answers by the declared quality of their model.
//!
//! `POST /rate` with `request_id`, `model`, `version`, `answer` gives `{"good": bool}`, or status 204
//! for an answer that is never rated. `POST /fault` with `quality` (by model or `model/version`),
//! `delay_ms`, `lost` (share without a rating) and `down` changes its behaviour.

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

/// Rating service stand-in.
#[derive(FromArgs)]
struct Args {
    /// address to serve
    #[argh(option)]
    listen: SocketAddr,
}

/// How the service behaves.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Behaviour {
    quality: HashMap<String, f64>,
    delay_ms: u64,
    lost: f64,
    down: bool,
}

#[derive(Deserialize)]
struct Call {
    request_id: String,
    model: String,
    version: String,
}

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
        let Ok(changed) = serde_json::from_slice(&body) else {
            return Ok(reply(StatusCode::BAD_REQUEST, Bytes::new()));
        };
        *behaviour.lock().expect("no holder panics") = changed;
        return Ok(reply(StatusCode::OK, Bytes::from_static(b"{}")));
    }
    let behaviour = behaviour.lock().expect("no holder panics").clone();
    sleep(Duration::from_millis(behaviour.delay_ms)).await;
    let Ok(call) = serde_json::from_slice::<Call>(&body) else {
        return Ok(reply(StatusCode::BAD_REQUEST, Bytes::new()));
    };
    if behaviour.down {
        return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
    }
    if draw(&call, "lost") < behaviour.lost {
        return Ok(reply(StatusCode::NO_CONTENT, Bytes::new()));
    }
    let by_version = behaviour.quality.get(&format!("{}/{}", call.model, call.version));
    let quality = by_version.or_else(|| behaviour.quality.get(&call.model)).copied().unwrap_or(0.9);
    let rating = Rating { good: draw(&call, "good") < quality };
    Ok(reply(StatusCode::OK, serde_json::to_vec(&rating).expect("rating serialises to JSON").into()))
}

/// A number from 0 to 1 that depends on the request only, so that runs repeat.
fn draw(call: &Call, what: &str) -> f64 {
    stable_hash(&[what, &call.request_id]) as f64 / u64::MAX as f64
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
