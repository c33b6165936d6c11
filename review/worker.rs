//! An application worker, as the pages describe it.

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Interval of the status reports.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Silence after which the store drops an entry: three intervals.
const LAPSE: Duration = Duration::from_millis(4500);

/// Time for which a worker is slow and limited after it has started during traffic.
const COLD: Duration = Duration::from_secs(3);

/// Requests that a worker queues.
const QUEUE: u32 = 36;

/// End of the path of a request that crashes each worker that begins to run it.
pub const POISON_PATH: &str = "/poison";

/// What reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub worker: usize,
    pub id: String,
    pub path: String,
    /// Whether the worker began to run it.
    pub has_run: bool,
}

#[derive(Debug, Default)]
struct State {
    id: String,
    born: u64,
    sequence: u64,
    starts: u64,
    running: u32,
    is_up: bool,
    cold_until: Option<Instant>,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Worker {
    pub index: usize,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    work: Duration,
    state: Arc<Mutex<State>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    store: Store,
    record: Record,
}

impl Worker {
    pub fn start(
        index: usize,
        address: SocketAddr,
        (service, zone): (&str, &str),
        work: Duration,
        store: &Store,
        (record, arrivals): (&Record, &Arc<Mutex<Vec<Arrival>>>),
    ) -> std::io::Result<Self> {
        let worker = Self {
            index,
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: 18,
            work,
            state: Arc::default(),
            arrivals: arrivals.clone(),
            store: store.clone(),
            record: record.clone(),
        };
        worker.begin(false)?;
        let reporter = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                reporter.report();
            }
        });
        Ok(worker)
    }

    /// Id of the present lifetime.
    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    /// Ends without a word, and starts again after `down` with a new id.
    pub fn crash(&self, down: Duration) {
        let connections = {
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                return;
            }
            state.is_up = false;
            state.running = 0;
            std::mem::take(&mut state.connections)
        };
        let id = self.id();
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record
            .line(&format!("worker {} ({id}): crashes", self.index));
        let worker = self.clone();
        thread::spawn(move || {
            let store = worker.store.clone();
            let key = format!("servers/{id}");
            thread::spawn(move || {
                thread::sleep(LAPSE);
                store.remove(&key);
            });
            thread::sleep(down);
            while let Err(error) = worker.begin(true) {
                worker
                    .record
                    .line(&format!("worker {}: cannot listen: {error}", worker.index));
                thread::sleep(Duration::from_millis(100));
            }
        });
    }

    /// Writes the status report.
    fn report(&self) {
        let entry = {
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                return;
            }
            state.sequence += 1;
            self.entry(&state)
        };
        self.store.put(&entry.0, &entry.1);
    }

    fn entry(&self, state: &State) -> (String, String) {
        let cold = state.cold_until.map_or(0.0, |until| {
            until
                .saturating_duration_since(Instant::now())
                .as_secs_f64()
        });
        let value = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"config_version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\"sequence\":{},\
             \"cold_left_s\":{cold:.3}}}}}",
            self.address, state.born, self.service, self.zone, self.slots, state.sequence
        );
        (format!("servers/{}", state.id), value)
    }

    fn begin(&self, is_cold: bool) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let entry = {
            let mut state = self.state.lock().unwrap();
            let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            state.born = born.as_millis() as u64;
            state.starts += 1;
            state.id = format!(
                "i-{:02x}{:02x}{:04x}",
                self.index,
                state.starts,
                state.born & 0xffff
            );
            state.sequence = 1;
            state.is_up = true;
            state.cold_until = is_cold.then(|| Instant::now() + COLD);
            self.entry(&state)
        };
        self.store.put(&entry.0, &entry.1);
        let id = self.id();
        self.record.line(&format!(
            "worker {} of {} at {}: started as {id}",
            self.index, self.service, self.address
        ));
        let worker = self.clone();
        thread::spawn(move || {
            while worker.is_lifetime(&id) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let worker = worker.clone();
                        let id = id.clone();
                        thread::spawn(move || worker.serve(stream, &id));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    fn is_lifetime(&self, id: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.is_up && state.id == id
    }

    fn serve(&self, mut stream: TcpStream, id: &str) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            let mut state = self.state.lock().unwrap();
            if !state.is_up || state.id != id {
                return;
            }
            state.connections.push(copy);
        }
        let mut buffer = Vec::new();
        while let Ok(Some(mut message)) = http::read_head(&mut stream, &mut buffer) {
            if !self.is_lifetime(id) {
                break;
            }
            if http::read_body(&mut stream, &mut buffer, &mut message).is_err() {
                break;
            }
            let Some(answer) = self.answer(&message, &stream, id) else {
                break;
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                break;
            }
        }
        let own = stream.peer_addr().ok();
        let mut state = self.state.lock().unwrap();
        state
            .connections
            .retain(|other| other.peer_addr().ok().is_some_and(|peer| Some(peer) != own));
    }

    /// Answers a request; `None` if the worker has crashed or the client has left.
    fn answer(&self, message: &http::Message, stream: &TcpStream, id: &str) -> Option<String> {
        if message.path() == "/healthz" {
            let state = self.state.lock().unwrap();
            return Some(self.respond(&state, 200, "", ""));
        }
        let request = message.header("x-request-id").unwrap_or("").to_owned();
        let arrive = |has_run: bool| {
            let arrival = Arrival {
                at: self.record.now(),
                worker: self.index,
                id: request.clone(),
                path: message.path().to_owned(),
                has_run,
            };
            let word = if has_run { "runs" } else { "rejects" };
            self.record.detail(&format!(
                "worker {} {word} {request} {} {}",
                self.index,
                message.method(),
                message.path()
            ));
            self.arrivals.lock().unwrap().push(arrival);
        };
        let expected = message.header("x-target-instance");
        if expected.is_some_and(|expected| expected != id) {
            arrive(false);
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {id}\r\nX-Request-Id: {request}\r\n\
                 Content-Length: 0\r\n\r\n"
            ));
        }
        {
            let mut state = self.state.lock().unwrap();
            if state.running >= self.slots + QUEUE {
                let answer = self.respond(&state, 503, &request, "X-Not-Executed: 1\r\n");
                drop(state);
                arrive(false);
                return Some(answer);
            }
            state.running += 1;
        }
        arrive(true);
        if message.path().ends_with(POISON_PATH) {
            thread::sleep(Duration::from_millis(5));
            self.crash(Duration::from_secs(3));
            return None;
        }
        let is_complete = self.work(stream, id);
        let mut state = self.state.lock().unwrap();
        if !state.is_up || state.id != id {
            return None;
        }
        state.running -= 1;
        if !is_complete {
            return None;
        }
        Some(self.respond(&state, 200, &request, "X-Response-Seal: a1b2c3d4\r\n"))
    }

    /// Works on a request; returns whether the client stayed.
    fn work(&self, stream: &TcpStream, id: &str) -> bool {
        let until = Instant::now() + self.work;
        let _ = stream.set_nonblocking(true);
        let mut is_open = true;
        while Instant::now() < until && is_open && self.is_lifetime(id) {
            thread::sleep(Duration::from_millis(5));
            is_open = match stream.peek(&mut [0]) {
                Ok(count) => count > 0,
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            };
        }
        let _ = stream.set_nonblocking(false);
        is_open
    }

    fn respond(&self, state: &State, status: u16, request: &str, extra: &str) -> String {
        let mut headers = String::from(extra);
        if !request.is_empty() {
            headers += &format!("X-Request-Id: {request}\r\n");
        }
        let cold = state.cold_until.map_or(0, |until| {
            until.saturating_duration_since(Instant::now()).as_millis()
        });
        if cold > 0 && request.is_empty() {
            headers += &format!("X-Cold-Ms: {cold}\r\n");
        }
        let (running, slots) = (state.running.min(self.slots), self.slots);
        let waiting = state.running.saturating_sub(slots);
        let body = if request.is_empty() {
            ""
        } else {
            "the server's bytes"
        };
        format!(
            "HTTP/1.1 {status} X\r\nX-Instance-Id: {}\r\nX-Server-Load: {running},{waiting},{slots},100\r\n\
             {headers}Content-Length: {}\r\n\r\n{body}",
            state.id,
            body.len()
        )
    }
}
