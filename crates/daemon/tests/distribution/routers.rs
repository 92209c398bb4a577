//! Routers that run in the test process, with their inner endpoints and the controllers under test.

use std::{fs, net::SocketAddr, path::PathBuf};

use eelgrasswell_daemon::{
    controller::{
        config::{self, Commit},
        peers,
    },
    credential::RequireCredential,
    platform::{HostEntry, HostRole},
    router::Router,
};
use eelgrasswell_manifest::{
    config::Config,
    manifest::Domain,
    settings::{self, CallerLimits, HostSettings, RouterSettings},
};
use eelgrasswell_proto::v1::peer_server::PeerServer;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::service::interceptor::InterceptedService;

/// A router. Its inner endpoint serves `Peer` until the value is dropped.
pub struct TestRouter {
    pub router: Router,
    server: JoinHandle<Result<(), tonic::transport::Error>>,
}

impl Drop for TestRouter {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Creates a router and serves its inner endpoint, without starting its controllers.
pub async fn open(id: &str, domain: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> TestRouter {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = RouterSettings {
        host: HostSettings {
            id: id.into(),
            domain: domain.into(),
            inner: listener.local_addr().unwrap(),
            inner_credential: secret_file(),
            drain: eelgrasswell_core::unit::Millis(1_000),
            log_level: "info".into(),
            fatal_invariants: true,
        },
        callers: any,
        operators: any,
        operator_credential: secret_file(),
        platform,
        ratings: None,
        seeds: seeds.to_vec(),
        limits: CallerLimits::default(),
    };
    let metrics = PrometheusBuilder::new().build_recorder().handle();
    let router = Router::open(settings, metrics).await.unwrap();
    let require = RequireCredential::new(settings::read_secret(&secret_file()).unwrap());
    let service = InterceptedService::new(PeerServer::new(peers::PeerService::new(router.clone())), require);
    let server = tonic::transport::Server::builder().add_service(service);
    let server = tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    TestRouter { router, server }
}

/// Creates a router and starts the controllers under test.
pub async fn start(id: &str, domain: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> TestRouter {
    let router = open(id, domain, platform, seeds).await;
    router.start();
    router
}

impl TestRouter {
    pub fn start(&self) {
        let router = &self.router;
        config::spawn(router.clone());
        peers::spawn(router.clone());
        router.members.spawn(router.platform.clone());
        router.links.spawn();
    }

    pub fn address(&self) -> SocketAddr {
        self.router.settings.host.inner
    }

    pub fn entry(&self) -> HostEntry {
        let host = &self.router.settings.host;
        HostEntry {
            id: host.id.clone(),
            role: HostRole::Router,
            domain: host.domain.clone(),
            address: host.inner,
            service: Default::default(),
            leaving: false,
        }
    }

    /// Commits a change that adds failure domain `name`.
    pub async fn add_domain(&self, submission: &str, name: &str) -> Commit {
        let edit = |config: &mut Config| {
            config.manifest.domains.insert(name.into(), domain());
            Ok(())
        };
        config::commit(&self.router, submission, None, &edit).await.unwrap()
    }
}

/// A failure domain that is in service.
pub fn domain() -> Domain {
    Domain { region: "north".into(), in_service: true }
}

/// An address on which nothing listens.
pub async fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Path of a file with the credential that the routers and agents of the tests share. Creates the file if
/// needed.
pub fn secret_file() -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("distribution-{}", std::process::id()));
    if !path.exists() {
        // Written to a temporary file and renamed, since the tests of one process run concurrently.
        let temporary = path.with_extension(format!("{:?}", std::thread::current().id()));
        fs::write(&temporary, "test-secret").unwrap();
        fs::rename(&temporary, &path).unwrap();
    }
    path
}
