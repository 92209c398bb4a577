//! What the cases share: the deployments that they play, the configuration, and the requests of clients.

use std::{net::SocketAddr, path::PathBuf, thread, time::Duration};

use crate::{
    gateway::{Gateway, Machine},
    record::Record,
    store::Store,
    worker::{Plan, Worker},
};

/// Largest body in the configuration, in bytes.
pub const MAX_BODY: usize = 4_194_304;

/// Time after its start from which a machine is in touch (`contact_ms` is 3,000), with a margin.
const IN_TOUCH_AFTER: Duration = Duration::from_millis(3_500);

/// Why a case could not run.
pub type Setup<T> = Result<T, String>;

/// Figures of a deployment, from its sheet.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Memory of a machine in MB.
    pub memory_mb: u64,
    /// Descriptors of a machine.
    pub max_fds: u64,
    /// Time limit of the routes of the plain service, in milliseconds.
    pub timeout_ms: u64,
    /// Deadline of clients of the plain service, in milliseconds.
    pub deadline_ms: u64,
    /// Time limit and deadline of the route of the model service, in milliseconds.
    pub stream_ms: u64,
    /// Time that a worker of the plain service takes for a request, in milliseconds.
    pub work_ms: u64,
    /// Requests per second that a cold model worker tolerates.
    pub cold_per_s: u32,
    /// Allowance of repeats in a window.
    pub budget_slack: u32,
}

/// `lamplight-fj`: front machines, `loan-ledger`, and `lamp-care-answer` at `draft-desk`.
pub const LAMPLIGHT: Site = Site {
    memory_mb: 110,
    max_fds: 4_100,
    timeout_ms: 1_000,
    deadline_ms: 1_000,
    stream_ms: 15_000,
    work_ms: 30,
    cold_per_s: 11,
    budget_slack: 54,
};

/// `libas-rent`: front machines, `lending-desk`, and `fitting-notes` at `atelier-llm`.
pub const LIBAS: Site = Site {
    memory_mb: 260,
    max_fds: 4_100,
    timeout_ms: 1_500,
    deadline_ms: 3_000,
    stream_ms: 12_000,
    work_ms: 60,
    cold_per_s: 18,
    budget_slack: 56,
};

/// What a case starts with.
pub struct Case {
    /// The repository.
    pub root: PathBuf,
    /// Folder for settings and logs.
    pub dir: PathBuf,
    /// The record.
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

impl Case {
    /// Starts `count` workers, whose ids begin with `name`, and enters them in the store.
    pub fn workers(&self, store: &Store, name: &str, count: usize, plan: Plan) -> Setup<Vec<Worker>> {
        let start = |n| Worker::start(&format!("{name}-{n}"), plan, &self.record);
        let workers: Vec<Worker> = (0..count).map(start).collect::<Result<_, _>>()?;
        workers.iter().for_each(|worker| store.put("servers", worker.id(), &worker.entry()));
        Ok(workers)
    }

    /// Starts `count` model workers one after the other, each of which enters itself in the store.
    pub fn workers_later(&self, store: &Store, name: &str, count: usize, interval: Duration) -> Setup<()> {
        let plan = Plan { service: "model", slots: 64, work: Duration::from_millis(40), early: None };
        for n in 0..count {
            thread::sleep(interval);
            let worker = Worker::start(&format!("{name}-{n}"), plan, &self.record)?;
            store.put("servers", worker.id(), &worker.entry());
        }
        Ok(())
    }

    /// Starts `count` gateways and waits until they are ready and in touch: the rules leave out the time after a start.
    pub fn gateways(&self, store: &Store, site: Site, count: u8) -> Setup<Vec<Gateway>> {
        let machines: Vec<Machine> =
            (1..=count).map(Machine::new).collect::<Result<_, _>>().map_err(|err| err.to_string())?;
        let gateways: Vec<Gateway> = machines
            .iter()
            .map(|machine| Gateway::start(&self.root, &self.dir, site, *machine, &machines, store.address))
            .collect::<Result<_, _>>()?;
        gateways.iter().try_for_each(Gateway::wait_ready)?;
        self.record.line(format!("{count} gateway(s) ready"));
        thread::sleep(IN_TOUCH_AFTER);
        self.record.line(format!("{count} gateway(s) in touch"));
        Ok(gateways)
    }
}

/// The configuration: bookings (`/book/`, may run once) and reads (`/read/`) at the service `plain`, streams (`/chat/`, may be
/// resumed) at the service `model`.
pub fn config(site: Site) -> String {
    config_with(site, 7, "\"key-a\"")
}

/// The same with the version `version` and `keys`, the keys of the one tenant as JSON strings.
pub fn config_with(site: Site, version: u64, keys: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, objective: u64, attempts: u32, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"site.example\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{objective},\"priority\":2,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"anonymous\":false{more}}}"
        )
    };
    let stream = ",\"gap_aim_ms\":1200,\"session_affinity\":true,\"stream_resume\":true,\"sizes\":[\"m0\"]";
    let routes = [
        route("book", "unsafe", "plain", site.timeout_ms, 300, 1, ""),
        route("read", "safe", "plain", site.timeout_ms, 300, 2, ""),
        route("chat", "streaming", "model", site.stream_ms, 2_000, 3, stream),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"plain\",\"health_path\":\"/healthz\",\"max_connections\":100,\"warmup_s\":0.0,\"cold_per_s\":0.0}},\
         {{\"name\":\"model\",\"health_path\":\"/healthz\",\"max_connections\":360,\"warmup_s\":3.0,\"cold_per_s\":{}.0,\
         \"engine\":{{\"slots\":64,\"models\":[{{\"name\":\"m0\",\"cost\":0.014}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{MAX_BODY},\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api_keys\":[{keys}]}}]}}",
        routes.join(","),
        site.cold_per_s
    )
}

/// Entry of a worker in the store.
pub fn entry(service: &str, address: SocketAddr, slots: u32, cold_remaining_ms: u64, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"carthage\",\"version\":\"v1\",\"slots\":{slots},\
         \"state\":\"ready\",\"cold_remaining_ms\":{cold_remaining_ms},\"sequence\":1,\"born\":{born}}}"
    )
}

/// Time of the workers' first start, in Unix milliseconds.
pub const BORN: u64 = 1_790_000_000_000;

/// The head of a request with a body of `length` bytes; `fields` are more header fields, each with its line end.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64, fields: &str, length: usize) -> Vec<u8> {
    let length = if method == "GET" { String::new() } else { format!("content-length: {length}\r\n") };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-a\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: {deadline_ms}\r\n{fields}{length}\r\n"
    )
    .into_bytes()
}
