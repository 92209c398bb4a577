//! Gateways as separate processes, started with the command of the deploy file and settings made from its template.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{http, world::Site};

/// Time within which a gateway must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Process ids of the gateways that run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the gateways that run, for a case that is given up.
pub fn kill_all() {
    for pid in lock_started().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

fn lock_started() -> MutexGuard<'static, Vec<u32>> {
    STARTED.lock().unwrap_or_else(|err| err.into_inner())
}

/// A gateway process. It is killed when this is dropped.
pub struct Gateway {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    log: PathBuf,
    child: Child,
}

/// Addresses of one machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    ip: Ipv4Addr,
    callers: u16,
    ready: u16,
    control: u16,
}

impl Machine {
    /// The machine number `number`, with free ports.
    pub fn new(number: u8) -> std::io::Result<Self> {
        let process = std::process::id();
        let ip = Ipv4Addr::new(127, 90 + (process % 100) as u8, (process / 100 % 250) as u8, number);
        let listeners: Vec<TcpListener> = (0..3).map(|_| TcpListener::bind((ip, 0))).collect::<Result<_, _>>()?;
        let ports: Vec<u16> =
            listeners.iter().map(|listener| listener.local_addr().map(|at| at.port())).collect::<Result<_, _>>()?;
        Ok(Self { ip, callers: ports[0], ready: ports[1], control: ports[2] })
    }
}

impl Gateway {
    /// Starts the gateway of `machine`; `all` are the machines whose control addresses are the seeds.
    pub fn start(
        root: &Path,
        dir: &Path,
        site: Site,
        machine: Machine,
        all: &[Machine],
        store: SocketAddr,
    ) -> Result<Self, String> {
        let name = format!("front-{}", machine.ip.octets()[3]);
        let template = fs::read_to_string(root.join("deploy/gateway.yaml")).map_err(|err| err.to_string())?;
        let seeds: Vec<String> = all.iter().take(3).map(|one| format!("{}:{}", one.ip, one.control)).collect();
        let values = [
            ("node_name|json", format!("\"{name}\"")),
            ("zone|json", "\"carthage\"".into()),
            ("ip", machine.ip.to_string()),
            ("listen.front", format!("{}:{}", machine.ip, machine.callers)),
            ("listen.ready", format!("{}:{}", machine.ip, machine.ready)),
            ("listen.control", format!("{}:{}", machine.ip, machine.control)),
            ("seeds", seeds.join(",")),
            ("platform_store.address", store.to_string()),
            ("limits.cores", "1".into()),
            ("limits.memory_mb", site.memory_mb.to_string()),
            ("limits.max_fds", site.max_fds.to_string()),
            ("bounds.revoke_ms", "5000".into()),
            ("bounds.grace_s", "8".into()),
            ("bounds.budget_ratio", "0.9".into()),
            ("bounds.budget_slack", site.budget_slack.to_string()),
            ("bounds.budget_window_s", "10".into()),
            ("bounds.cold_over", "1.5".into()),
            ("bounds.cold_slack", "5".into()),
            ("bounds.session_s", "5".into()),
        ];
        let mut text = without_section(&template, "cloud_api.address");
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(format!("the template has a value that this stand-in doesn't know:\n{text}"));
        }
        let settings = dir.join(format!("{name}.yaml"));
        fs::write(&settings, text).map_err(|err| err.to_string())?;
        let log = dir.join(format!("{name}.log"));
        let program = root.join("target/release/eelgrasswelld");
        let child = spawn(&program, root, &settings, &log)?;
        let gateway = Self {
            callers: (machine.ip, machine.callers).into(),
            ready: (machine.ip, machine.ready).into(),
            log,
            child,
        };
        Ok(gateway)
    }

    /// Waits until the gateway is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > until {
                return Err(format!("a gateway did not become ready; its log:\n{}", self.log()));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Whether the readiness check says 200.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nhost: ready\r\n\r\n";
        http::call(self.ready, request, Duration::from_secs(1)).status() == 200
    }

    /// Resident memory of the process in KB; 0 if it has ended.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.split_whitespace().next().and_then(|kb| kb.parse().ok()).unwrap_or(0)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock_started().retain(|pid| *pid != self.child.id());
    }

    /// The log so far.
    fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, root: &Path, settings: &Path, log: &Path) -> Result<Child, String> {
    let out = File::options().create(true).append(true).open(log).map_err(|err| err.to_string())?;
    let err = out.try_clone().map_err(|err| err.to_string())?;
    let child = Command::new(program)
        .arg("gateway")
        .current_dir(root)
        .env("EELGRASSWELL_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(err)
        .spawn()
        .map_err(|err| format!("could not start the gateway: {err}"))?;
    lock_started().push(child.id());
    Ok(child)
}

/// The template without a section for which there is no value.
fn without_section(template: &str, name: &str) -> String {
    let (start, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    match (template.find(&start), template.find(&end)) {
        (Some(from), Some(to)) => format!("{}{}", &template[..from], &template[to + end.len()..]),
        _ => template.to_owned(),
    }
}
