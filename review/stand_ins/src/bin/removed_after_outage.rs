//! The store gives no answers for some seconds. More than `contact_ms` after its return, a server that never reports
//! `draining` is taken out of the store. Counted are the requests that reach it later than `drain_ms` after that.

use std::{
    io::BufReader,
    net::TcpStream,
    path::PathBuf,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_stand_ins::{
    config::{TENANT, booking_config},
    http::{self, Message},
    process::{Gateway, LIBAS_MEMORY_MB},
    record::Record,
    server::{self, Server},
    store::Store,
    without_trouble,
};

/// Bound of the rule (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time without disruption after which the store counts as stable and the gateway as in touch (`contact_ms`).
const CONTACT: Duration = Duration::from_millis(3_000);
/// Longest outage of the store: the largest dose of `platform_down` among the troubles of libas-rent.
const MAX_OUTAGE: Duration = Duration::from_millis(4_500);
/// Time from which on the outage ends as soon as a call has come.
const MIN_OUTAGE: Duration = Duration::from_millis(2_600);
/// Time for which the server goes on after its entry was removed: `drain_ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_200);
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(60);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Number of callers.
const CALLERS: usize = 4;

/// A request that reached a server.
struct Arrival {
    server: String,
    id: String,
    at: Instant,
}

fn main() {
    let record = Arc::new(Record::create());
    match run(&record) {
        Ok(late) => {
            record.say(&format!(
                "{late} requests reached the server later than {} ms after its removal",
                DRAIN.as_millis()
            ));
            exit(i32::from(late > 0));
        }
        Err(err) => {
            record.say(&format!("the case could not run: {err}"));
            exit(2);
        }
    }
}

fn run(record: &Arc<Record>) -> Result<usize, String> {
    let dir = PathBuf::from(std::env::var("DIR").map_err(|_| "DIR names a temporary folder")?);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let store = Store::start();
    let servers: Vec<Server> = (0..2).map(|n| start_server(&format!("desk-{n}"), &arrivals, record)).collect();
    for server in &servers {
        store.put("servers", &server.id, &server.entry("ready"));
    }
    store.put("config", "main", &booking_config(1, TENANT));
    let gateway = Gateway::start("gateway-0", store.address, &dir, LIBAS_MEMORY_MB)?;
    record.line("the gateway is ready");
    let done = AtomicBool::new(false);
    let lost = AtomicUsize::new(0);
    let removed_at = thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (gateway, done, lost) = (&gateway, &done, &lost);
            scope.spawn(move || call_until(done, lost, gateway, caller, record));
        }
        thread::sleep(Duration::from_secs(2));
        let calm_since = if without_trouble() { Instant::now() } else { outage(&store, record) };
        thread::sleep((calm_since + CONTACT + Duration::from_millis(200)).saturating_duration_since(Instant::now()));
        let removed_at = store.delete("servers", &servers[0].id);
        record.line_at(removed_at, &format!("the store has removed {}; the store acknowledges", servers[0].id));
        thread::sleep((removed_at + SERVES_ON).saturating_duration_since(Instant::now()));
        servers[0].stop();
        record.line(&format!("{} has ended", servers[0].id));
        thread::sleep(Duration::from_millis(700));
        done.store(true, Ordering::SeqCst);
        removed_at
    });
    for line in gateway.log_lines("store_").into_iter().chain(gateway.log_lines("event=backend_")) {
        record.line(&format!("gateway: {line}"));
    }
    let arrivals = arrivals.lock().unwrap();
    let mut late = 0;
    for arrival in arrivals.iter().filter(|arrival| arrival.server == servers[0].id && arrival.at > removed_at + DRAIN)
    {
        let after = arrival.at.saturating_duration_since(removed_at).as_millis();
        record.line_at(
            arrival.at,
            &format!("LATE: {} reached {} {after} ms after the removal", arrival.id, arrival.server),
        );
        late += 1;
    }
    record.say(&format!("{} bookings were answered 502 or 504", lost.load(Ordering::SeqCst)));
    Ok(late)
}

/// Lets the store give no answers, until shortly after a call that then gets none. Returns the time of its return.
fn outage(store: &Store, record: &Record) -> Instant {
    let began = store.set_silent(true);
    record.line_at(began, "the store gives no answers");
    loop {
        let now = Instant::now();
        let has_call = store.last_call("config").is_some_and(|at| at > began + MIN_OUTAGE);
        if has_call || now >= began + MAX_OUTAGE - Duration::from_millis(60) {
            thread::sleep(Duration::from_millis(50));
            let ended = store.set_silent(false);
            record.line_at(
                ended,
                &format!("the store answers again, after {} ms", ended.duration_since(began).as_millis()),
            );
            return ended;
        }
        thread::sleep(Duration::from_millis(2));
    }
}

fn start_server(id: &str, arrivals: &Arc<Mutex<Vec<Arrival>>>, record: &Arc<Record>) -> Server {
    let (arrivals, record) = (Arc::clone(arrivals), Arc::clone(record));
    let handler =
        move |server: &Server, req: &mut Message, reader: &mut BufReader<TcpStream>, writer: &mut TcpStream| {
            http::read_body(reader, req)?;
            let id = req.field("x-attempt-id").unwrap_or_default().to_owned();
            record.line(&format!("{} runs {id}", server.id));
            arrivals.lock().unwrap().push(Arrival { server: server.id.clone(), id, at: Instant::now() });
            thread::sleep(WORK);
            server::answer(req, writer, b"booked")
        };
    Server::start(id, "desk", Arc::new(handler))
}

fn call_until(done: &AtomicBool, lost: &AtomicUsize, gateway: &Gateway, caller: usize, record: &Record) {
    for number in 0.. {
        if done.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("caller-{caller}-{number}");
        let fields = [
            ("host", "site.example"),
            ("x-attempt-id", id.as_str()),
            ("x-deadline-ms", "3000"),
            ("authorization", "Bearer key-of-the-shop"),
        ];
        let reply = http::call(
            gateway.callers,
            &http::request("POST", "/book/dress", &fields, b"a deposit"),
            Duration::from_millis(3_000),
        );
        lost.fetch_add(usize::from(reply.status == 502 || reply.status == 504), Ordering::SeqCst);
        record.line_at(
            reply.sent_at,
            &format!("{id} sent, answered {} after {} ms {}", reply.status, reply.elapsed().as_millis(), reply.error),
        );
        thread::sleep(PAUSE);
    }
}
