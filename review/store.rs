//! The platform's metadata store, as the pages describe its reading side.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

type Value = Option<Vec<u8>>;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<(u64, String, Value)>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        Self {
            shared: Arc::default(),
            record: record.clone(),
        }
    }

    /// Starts to listen; returns the address.
    pub fn listen(&self) -> std::io::Result<std::net::SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(address)
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let bytes = value.as_bytes().to_vec();
        state
            .items
            .insert(key.to_owned(), (bytes.clone(), revision));
        state.history.push((revision, key.to_owned(), Some(bytes)));
        drop(state);
        self.shared.1.notify_all();
        if !value.contains("\"sequence\"") {
            self.record
                .line(&format!("store: {key} is written, revision {revision}"));
        }
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.history.push((revision, key.to_owned(), None));
        drop(state);
        self.shared.1.notify_all();
        self.record
            .line(&format!("store: {key} is removed, revision {revision}"));
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let _ = stream.set_nodelay(true);
        while let Ok(Some(message)) = http::read_head(&mut stream, &mut buffer) {
            if stream.write_all(self.answer(&message).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, message: &http::Message) -> String {
        let path = message.path().to_owned();
        let (path, query) = path.split_once('?').unwrap_or((&path, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(key, _)| *key == name);
            values.next().map(|(_, value)| decode(value))
        };
        let prefix = parameter("prefix").unwrap_or_default();
        let after = parameter("after").unwrap_or_default();
        thread::sleep(Duration::from_millis(4));
        let mut state = self.shared.0.lock().unwrap();
        if path == "/kv-range" {
            let items: Vec<String> = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .map(|(key, (value, revision))| item(key, value, *revision))
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
                items.join(","),
                state.revision
            );
            return respond(200, &body);
        }
        if path != "/kv-watch" {
            return respond(404, "{}");
        }
        let after: u64 = after.parse().unwrap_or(0);
        let wait = parameter("wait_ms")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        loop {
            if after > state.revision {
                return respond(410, "{}");
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return respond(200, &body);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn respond(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn item(key: &str, value: &[u8], revision: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
        base64(value)
    )
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let padded = [
            three[0],
            *three.get(1).unwrap_or(&0),
            *three.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(padded[0]) << 16 | u32::from(padded[1]) << 8 | u32::from(padded[2]);
        for index in 0..4 {
            if index <= three.len() {
                text.push(LETTERS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let hex: String = rest.by_ref().take(2).map(char::from).collect();
                bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
