//! Clients on the machines.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http;
use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// Time budget.
    pub budget: Duration,
}

/// What a client got: the status, or the reason why there is none.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub result: Result<http::Message, String>,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        self.result.as_ref().map_or(0, http::Message::status)
    }
}

/// Id of a new client attempt.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{number:016x}")
}

/// Head of a request as a client sends it.
pub fn head(request: &Request, id: &str) -> String {
    let length = match request.body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n{length}\r\n",
        request.method,
        request.path,
        request.host,
        request.budget.as_millis()
    )
}

/// Sends a request on a new connection and waits for the answer.
pub fn send(record: &Record, entry: SocketAddr, request: &Request) -> Outcome {
    let id = new_id();
    record.detail(&format!(
        "client at {entry} sends {id} {} {}",
        request.method, request.path
    ));
    let result = exchange(entry, request, &id).map_err(|error| error.to_string());
    match &result {
        Ok(message) => {
            let detail = match message.status() {
                200 => String::new(),
                _ => String::from_utf8_lossy(&message.body).into_owned(),
            };
            record.detail(&format!("client got {id} {} {detail}", message.status()));
        }
        Err(error) => record.detail(&format!("client got {id} no answer: {error}")),
    }
    Outcome { id, result }
}

fn exchange(entry: SocketAddr, request: &Request, id: &str) -> std::io::Result<http::Message> {
    let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(request.budget + Duration::from_millis(500)))?;
    stream.write_all(head(request, id).as_bytes())?;
    stream.write_all(&request.body)?;
    let mut buffer = Vec::new();
    let message = http::read_head(&mut stream, &mut buffer)?;
    let mut message = message.ok_or(std::io::ErrorKind::ConnectionAborted)?;
    http::read_body(&mut stream, &mut buffer, &mut message)?;
    Ok(message)
}
