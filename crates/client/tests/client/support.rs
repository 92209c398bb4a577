//! A small HTTP server that gives scripted answers and records requests, and a runner of the client.

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
    /// Closes the connection after the request has been read.
    Lost,
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: String,
    pub target: String,
    pub authorization: String,
    pub body: String,
}

impl Received {
    /// Value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

#[derive(Default)]
struct State {
    script: Vec<(String, Vec<Answer>)>,
    received: Vec<Received>,
}

/// A stand-in for the operators' endpoint of a router.
pub struct Fake {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    dir: PathBuf,
}

impl Fake {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        // The thread ends with the test process.
        thread::spawn(move || listener.incoming().for_each(|stream| serve(&stream.unwrap(), &shared)));
        let dir = std::env::temp_dir().join(format!("eelgrasswell-client-{}-{}", std::process::id(), address.port()));
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("credential"), format!("{CREDENTIAL}\n")).unwrap();
        Self { address, state, dir }
    }

    /// Answers requests for `call` (`GET /path`, without parameters) in this order; the last one
    /// repeats.
    pub fn on(self, call: &str, answers: &[Answer]) -> Self {
        self.lock().script.push((call.into(), answers.to_vec()));
        self
    }

    pub fn reply(self, call: &str, status: u16, body: &Value) -> Self {
        self.on(call, &[Answer::Reply(status, body.to_string())])
    }

    /// Requests for `call` so far.
    pub fn received(&self, call: &str) -> Vec<Received> {
        let received = self.lock().received.clone();
        received.into_iter().filter(|req| call_of(&req.method, &req.target) == call).collect()
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().into()
    }

    /// Runs the client against this server.
    pub fn run(&self, args: &[&str]) -> Run {
        let credential = self.dir.join("credential");
        let settings = ["--router", &self.address.to_string(), "--credential", credential.to_str().unwrap()];
        run(&[&settings[..], args].concat(), &[])
    }

    /// Values for the environment variables of the client.
    pub fn environment(&self) -> [(&'static str, String); 2] {
        let credential = self.dir.join("credential").to_str().unwrap().into();
        [("EELGRASSWELL_ROUTER", self.address.to_string()), ("EELGRASSWELL_CREDENTIAL", credential)]
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// What the client printed and how it ended.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Run {
    /// Standard output of a success.
    pub fn success(self) -> String {
        assert_eq!(self.code, 0, "{self:?}");
        self.stdout
    }

    /// Standard error of a failure with this exit code.
    pub fn failure(self, code: i32) -> String {
        assert_eq!(self.code, code, "{self:?}");
        self.stderr
    }
}

/// Runs the client with only the given environment.
pub fn run(args: &[&str], environment: &[(&str, String)]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_eelgrasswell"));
    command.args(args).env_clear().envs(environment.iter().map(|(key, value)| (key, value)));
    let Output { status, stdout, stderr } = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Run { code: status.code().unwrap(), stdout: text(stdout), stderr: text(stderr) }
}

/// Text of an example manifest.
pub fn example() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/viti-west/manifest.yaml");
    fs::read_to_string(path).unwrap()
}

fn serve(stream: &TcpStream, state: &Mutex<State>) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    // A client that ends while its connection is idle sends nothing.
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
    let call = call_of(&method, &target);
    let mut state = state.lock().unwrap();
    state.received.push(Received { method, target, authorization, body: String::from_utf8(body).unwrap() });
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

fn call_of(method: &str, target: &str) -> String {
    format!("{method} {}", target.split('?').next().unwrap())
}
