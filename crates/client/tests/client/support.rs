//! A fake router, which is an HTTP server with scripted answers, and helpers that run the client.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Command, Output},
    sync::{Arc, Mutex, MutexGuard},
    thread,
};

use serde_json::Value;

pub const CREDENTIAL: &str = "operators-secret";

/// A scripted answer.
#[derive(Clone)]
pub enum Answer {
    Reply(u16, String),
    /// The connection is closed after the request has been read.
    ClosedConnection,
}

/// A request that the fake router received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub method: String,
    pub target: String,
    pub authorization: String,
    pub body: String,
}

impl ReceivedRequest {
    /// Value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

#[derive(Default)]
struct State {
    script: Vec<(String, Vec<Answer>)>,
    received: Vec<ReceivedRequest>,
}

/// A fake of a router's operator endpoint. It records the requests.
pub struct FakeRouter {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    dir: PathBuf,
}

impl FakeRouter {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        // The thread runs until the test process exits.
        thread::spawn(move || listener.incoming().for_each(|stream| serve(&stream.unwrap(), &shared)));
        let dir = std::env::temp_dir().join(format!("eelgrasswell-client-{}-{}", std::process::id(), address.port()));
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("credential"), format!("{CREDENTIAL}\n")).unwrap();
        Self { address, state, dir }
    }

    /// Answers requests for `call` (`GET /path`, without parameters) with `answers` in order. The last
    /// one is repeated.
    pub fn script_answers(self, call: &str, answers: &[Answer]) -> Self {
        self.lock().script.push((call.into(), answers.to_vec()));
        self
    }

    /// Answers all requests for `call` with `status` and `body`.
    pub fn reply(self, call: &str, status: u16, body: &Value) -> Self {
        self.script_answers(call, &[Answer::Reply(status, body.to_string())])
    }

    /// Returns the requests for `call` that were received so far.
    pub fn received(&self, call: &str) -> Vec<ReceivedRequest> {
        let received = self.lock().received.clone();
        received.into_iter().filter(|req| call_name(&req.method, &req.target) == call).collect()
    }

    /// Writes a file and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().into()
    }

    /// Runs the client against this router.
    pub fn run(&self, args: &[&str]) -> Run {
        let credential = self.dir.join("credential");
        let settings = ["--router", &self.address.to_string(), "--credential", credential.to_str().unwrap()];
        run(&[&settings[..], args].concat(), &[])
    }

    /// Environment variables of a client of this router.
    pub fn environment(&self) -> [(&'static str, String); 2] {
        let credential = self.dir.join("credential").to_str().unwrap().into();
        [("EELGRASSWELL_ROUTER", self.address.to_string()), ("EELGRASSWELL_CREDENTIAL", credential)]
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl Drop for FakeRouter {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Output and exit code of the client.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Run {
    /// Asserts success and returns standard output.
    pub fn success(self) -> String {
        assert_eq!(self.code, 0, "{self:?}");
        self.stdout
    }

    /// Asserts this exit code and returns standard error.
    pub fn failure(self, code: i32) -> String {
        assert_eq!(self.code, code, "{self:?}");
        self.stderr
    }
}

/// Runs the client with only the given environment variables.
pub fn run(args: &[&str], environment: &[(&str, String)]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_eelgrasswell"));
    command.args(args).env_clear().envs(environment.iter().map(|(key, value)| (key, value)));
    let Output { status, stdout, stderr } = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Run { code: status.code().unwrap(), stdout: text(stdout), stderr: text(stderr) }
}

/// Returns the example manifest of viti-west as text.
pub fn example_manifest() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/viti-west/manifest.yaml");
    fs::read_to_string(path).unwrap()
}

fn serve(stream: &TcpStream, state: &Mutex<State>) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    // A client that exits with an idle connection sends no request on it.
    if reader.read_line(&mut line).unwrap_or(0) == 0 {
        return;
    }
    let mut words = line.split(' ').map(str::to_owned);
    let (method, target) = (words.next().unwrap(), words.next().unwrap());
    let (mut length, mut authorization) = (0, String::new());
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).unwrap();
        let Some((name, value)) = header.trim_end().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().unwrap(),
            "authorization" => authorization = value.into(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let call = call_name(&method, &target);
    let mut state = state.lock().unwrap();
    state.received.push(ReceivedRequest { method, target, authorization, body: String::from_utf8(body).unwrap() });
    let script = state.script.iter_mut().find(|(known, _)| *known == call);
    let answer = match script {
        Some((_, answers)) if answers.len() > 1 => answers.remove(0),
        Some((_, answers)) => answers[0].clone(),
        None => Answer::Reply(500, format!("no answer for {call}")),
    };
    if let Answer::Reply(status, body) = answer {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} Scripted\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
        let mut stream = stream;
        stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
    }
}

fn call_name(method: &str, target: &str) -> String {
    format!("{method} {}", target.split('?').next().unwrap())
}
