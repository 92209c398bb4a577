//! Gateways as processes, started with the command and the settings of the deploy file.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// A gateway process. It is killed when this is dropped.
pub struct Gateway {
    child: Child,
    /// Address for callers.
    pub callers: SocketAddr,
    readiness: SocketAddr,
    log: PathBuf,
}

/// Settings of one gateway that the template `deploy/gateway.yaml` gets from the platform. The other values are those that
/// the platform sends for a `front` machine of the site lamplight-fj.
pub struct Plan<'a> {
    /// Name of the machine.
    pub id: &'a str,
    /// Zone of the machine.
    pub zone: &'a str,
    /// Address of the store.
    pub store: SocketAddr,
    /// Exchange addresses of all gateways.
    pub seeds: &'a [SocketAddr],
    /// Number of cores.
    pub cores: usize,
    /// Memory limit in MB.
    pub memory_mb: u64,
}

/// A free port of the loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

impl Gateway {
    /// Starts a gateway that exchanges with others at `exchange`. `dir` takes its settings file and its log.
    pub fn start(plan: &Plan<'_>, exchange: SocketAddr, dir: &Path) -> Self {
        let (callers, readiness) = (free_address(), free_address());
        let values = [
            ("{{node_name|json}}", format!("\"{}\"", plan.id)),
            ("{{zone|json}}", format!("\"{}\"", plan.zone)),
            ("{{ip}}", "127.0.0.1".into()),
            ("{{listen.front}}", callers.to_string()),
            ("{{listen.ready}}", readiness.to_string()),
            ("{{listen.control}}", exchange.to_string()),
            ("metrics_port: 9464", format!("metrics_port: {}", free_address().port())),
            ("{{seeds}}", plan.seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(",")),
            ("{{platform_store.address}}", plan.store.to_string()),
            ("{{limits.cores}}", plan.cores.to_string()),
            ("{{limits.memory_mb}}", plan.memory_mb.to_string()),
            ("{{limits.max_fds}}", "4100".into()),
            ("{{bounds.revoke_ms}}", "5000".into()),
            ("{{bounds.grace_s}}", "8".into()),
            ("{{bounds.budget_ratio}}", "0.9".into()),
            ("{{bounds.budget_slack}}", "54".into()),
            ("{{bounds.budget_window_s}}", "10".into()),
            ("{{bounds.cold_over}}", "1.5".into()),
            ("{{bounds.cold_slack}}", "5".into()),
            ("{{bounds.session_s}}", "5".into()),
        ];
        let template = fs::read_to_string("deploy/gateway.yaml").expect("run this in the repository's root");
        // The section of the duties is left out, since small deployments have no such API.
        let (text, _) = template.split_once("{{#cloud_api").unwrap_or((&template, ""));
        let text = values.iter().fold(text.to_owned(), |text, (name, value)| text.replace(name, value));
        let settings = dir.join(format!("{}.yaml", plan.id));
        let log = dir.join(format!("{}.log", plan.id));
        fs::write(&settings, text).expect("the settings file is written");
        let out = fs::File::create(&log).expect("the log is created");
        let child = Command::new("target/release/eelgrasswelld")
            .arg("gateway")
            .env_clear()
            .env("EELGRASSWELL_NODE_FILE", &settings)
            .stdout(out.try_clone().expect("the log is open"))
            .stderr(out)
            .stdin(Stdio::null())
            .spawn()
            .expect("the gateway of the deploy file is built");
        Self { child, callers, readiness, log }
    }

    /// Waits until the gateway is ready; false if it isn't within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let head = "GET /readyz HTTP/1.1\r\nhost: ready\r\n\r\n";
            if http::send(self.readiness, head, &[], Duration::from_secs(1)).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        use std::ffi::c_int;
        unsafe extern "C" {
            fn kill(pid: c_int, signal: c_int) -> c_int;
        }
        const SIGTERM: c_int = 15;
        // SAFETY: the call takes two integers; the process is this one's child and has not been waited for.
        unsafe { kill(self.child.id() as c_int, SIGTERM) };
    }

    /// Waits until the process has exited, and returns the time; none if it has not within `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<Instant> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.child.try_wait().ok()?.is_some() {
                return Some(Instant::now());
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Lines of the log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
