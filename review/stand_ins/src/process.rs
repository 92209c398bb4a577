//! The gateway as a process, started with the command of the deploy file.

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{free_port, http};

/// Memory of a front machine of libas-rent, in MB (`limits.memory_mb`).
pub const LIBAS_MEMORY_MB: u64 = 260;

/// A gateway process. It is killed when this is dropped.
pub struct Gateway {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

/// Settings that `DEPLOY.md` and the sheets give, in the form of `deploy/gateway.yaml`. Their bounds are those of libas-rent.
fn settings(id: &str, ports: [u16; 4], seeds: &str, store: SocketAddr, memory_mb: u64) -> String {
    let [callers, readiness, exchange, metrics] = ports;
    format!(
        "id: \"{id}\"\ndomain: \"carthage\"\naddress: 127.0.0.1\ncallers: 127.0.0.1:{callers}\n\
         readiness: 127.0.0.1:{readiness}\nexchange: 127.0.0.1:{exchange}\nmetrics_port: {metrics}\n\
         seeds: [{seeds}]\nstore: {store}\ncores: 1\nmemory_mb: {memory_mb}\nbounds:\n  revoke_ms: 5000\n  grace_s: 8\n  \
         repeat_ratio: 0.9\n  repeat_slack: 56\n  repeat_window_s: 10\n  cold_over: 1.5\n  cold_slack: 5\n  session_s: 5\n"
    )
}

impl Gateway {
    /// Starts a gateway that reads `store`, with its files in `dir`, and waits until it is ready.
    pub fn start(id: &str, store: SocketAddr, dir: &Path, memory_mb: u64) -> Result<Self, String> {
        let ports = [free_port(), free_port(), free_port(), free_port()];
        let path = dir.join(format!("{id}.yaml"));
        let seeds = format!("127.0.0.1:{}", ports[2]);
        fs::write(&path, settings(id, ports, &seeds, store, memory_mb)).map_err(|err| err.to_string())?;
        let log = dir.join(format!("{id}.log"));
        let child = spawn(&path, &log)?;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let gateway = Self { callers: address(ports[0]), readiness: address(ports[1]), child, settings: path, log };
        gateway.wait_until_ready()?;
        Ok(gateway)
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the gateway did not become ready".into())
    }

    pub fn is_ready(&self) -> bool {
        let request = http::request("GET", "/readyz", &[("host", "ready")], b"");
        http::call(self.readiness, &request, Duration::from_secs(1)).status == 200
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and starts it again.
    pub fn restart(&mut self) -> Result<(), String> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Lines of the log that contain `pattern`.
    pub fn log_lines(&self, pattern: &str) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains(pattern)).map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Result<Child, String> {
    let root = PathBuf::from(std::env::var("ROOT").map_err(|_| "ROOT names the repository's root".to_owned())?);
    let pids = log.with_file_name("pids");
    let out = fs::OpenOptions::new().create(true).append(true).open(log).map_err(|err| err.to_string())?;
    let child = Command::new(root.join("target/release/eelgrasswelld"))
        .arg("gateway")
        .current_dir(&root)
        .env("EELGRASSWELL_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stderr(out.try_clone().map_err(|err| err.to_string())?)
        .stdout(out)
        .spawn()
        .map_err(|err| format!("could not start the gateway: {err}"))?;
    // `run.sh` ends these processes if this one is ended by its time limit.
    if let Ok(mut file) = fs::OpenOptions::new().create(true).append(true).open(pids) {
        let _ = writeln!(file, "{}", child.id());
    }
    Ok(child)
}
