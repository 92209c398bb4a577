//! Stand-in of a backend server (a worker of the pages).

use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::http::{self, Message};

/// What a server does with a request whose head it has read. It reads the body and answers; an error ends the connection.
pub type Handler =
    dyn Fn(&Server, &mut Message, &mut BufReader<TcpStream>, &mut TcpStream) -> std::io::Result<()> + Send + Sync;

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server on a free port that handles requests by `handler`.
    pub fn start(id: &str, service: &str, handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a server's port");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let address = listener.local_addr().expect("a server's address");
        let server = Self {
            id: id.into(),
            service: service.into(),
            address,
            born: 1_790_000_000_000,
            stopped: Arc::default(),
            connections: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener, &handler));
        server
    }

    /// Ends the server: its port refuses connections, and the open ones are closed.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for stream in self.connections.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(&self, listener: &TcpListener, handler: &Arc<Handler>) {
        while !self.stopped.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            if stream.set_nonblocking(false).is_err() {
                continue;
            }
            self.connections.lock().unwrap().extend(stream.try_clone());
            let (server, handler) = (self.clone(), Arc::clone(handler));
            thread::spawn(move || {
                let end = stream.try_clone();
                let _ = server.serve(stream, &*handler);
                if let Ok(end) = end {
                    let _ = end.shutdown(Shutdown::Both);
                }
            });
        }
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(mut req) = http::read_head(&mut reader)? {
            if req.field("x-expect-instance").is_some_and(|id| id != self.id) {
                http::read_body(&mut reader, &mut req)?;
                http::respond(&mut writer, "421 Misdirected Request", &[("x-instance-id", &self.id)], b"")?;
                continue;
            }
            handler(self, &mut req, &mut reader, &mut writer)?;
        }
        Ok(())
    }

    /// The server's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"carthage","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":4,"born":{}}}"#,
            self.service, self.address, self.born
        )
    }
}

/// Header fields of a server's own answer to `req`.
pub fn answer_fields(req: &Message) -> Vec<(&'static str, String)> {
    vec![
        ("x-attempt-id", req.field("x-attempt-id").unwrap_or_default().to_owned()),
        ("x-response-seal", "3e1b.07.5a2.600.0.c9f2a4d1".to_owned()),
        ("keep-alive", "timeout=15".to_owned()),
    ]
}

/// Answers `req` with success.
pub fn answer(req: &Message, writer: &mut TcpStream, body: &[u8]) -> std::io::Result<()> {
    let fields = answer_fields(req);
    let fields: Vec<(&str, &str)> = fields.iter().map(|(name, value)| (*name, value.as_str())).collect();
    http::respond(writer, "200 OK", &fields, body)
}
