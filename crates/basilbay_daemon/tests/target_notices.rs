//! What a target states in the heads of its responses: the rate that it accepts, and that it is
//! leaving. The daemons act on it for all callers.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use call::Call;
use fleet::{Fleet, Plan};

/// Interval between two requests of the load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Time for a statement to reach the daemon with a probe or a response.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// A target that answers at once, with statements that a test changes.
#[derive(Clone, Default)]
struct Target {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Header lines of all responses, each with its line end.
    notice: String,
    /// Arrivals of requests, without probes.
    arrivals: Vec<Instant>,
}

impl Target {
    async fn start() -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("the listener is bound");
        let target = Self::default();
        let serving = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        (target, address)
    }

    fn with_state<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn state_notice(&self, notice: &str) {
        self.with_state(|state| notice.clone_into(&mut state.notice));
    }

    /// Number of arrivals since `from`.
    fn arrivals_since(&self, from: Instant) -> usize {
        self.with_state(|state| state.arrivals.iter().filter(|at| **at >= from).count())
    }

    async fn serve(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        while stream.read_buf(&mut bytes).await? > 0 {
            if !bytes.windows(4).any(|part| part == b"\r\n\r\n") {
                continue;
            }
            let is_probe = bytes.starts_with(b"GET /load");
            bytes.clear();
            let notice = self.with_state(|state| {
                if !is_probe {
                    state.arrivals.push(Instant::now());
                }
                state.notice.clone()
            });
            let response = format!("HTTP/1.1 200 OK\r\n{notice}content-length: 2\r\n\r\n{{}}");
            stream.write_all(response.as_bytes()).await?;
        }
        Ok(())
    }
}

/// Starts a fleet whose instance `desk-1` has the target; `desks` is the number of desks.
async fn start_fleet(desks: usize) -> (Fleet, Target) {
    let (target, address) = Target::start().await;
    let plan = Plan {
        target_override: Some((0, address)),
        ..Plan::new(&[("desk", desks), ("shop", 2)])
    };
    (Fleet::start(plan).await, target)
}

/// Caller addresses of both shops.
fn entries(fleet: &Fleet) -> [SocketAddr; 2] {
    ["shop-1", "shop-2"].map(|id| fleet.entry(id))
}

/// Sends reads by turns through both entries for a while; returns how many were answered by a
/// target and how many not.
async fn run_load(entries: [SocketAddr; 2], duration: Duration) -> (usize, usize) {
    let deadline = Instant::now() + duration;
    let mut calls = Vec::new();
    for index in 0.. {
        if Instant::now() >= deadline {
            break;
        }
        let entry = entries[index % 2];
        calls.push(tokio::spawn(async move {
            let reply = Call::read().timeout_ms(300).reply(entry).await;
            reply.status.is_success()
        }));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let count = calls.len();
    let mut answered = 0;
    for call in calls {
        answered += usize::from(call.await.expect("the call ends"));
    }
    (answered, count - answered)
}

/// Guards against requests to a target beyond the rate that it states, summed over the daemons of
/// all callers, while another target could run them.
#[tokio::test(flavor = "multi_thread")]
async fn rate_stated_by_target() {
    let (fleet, target) = start_fleet(2).await;
    target.state_notice("basilbay-rate-limit: 5\r\n");
    run_load(entries(&fleet), NOTICE_TIME).await;
    let from = Instant::now();
    let (_, failed) = run_load(entries(&fleet), Duration::from_secs(4)).await;
    let count = target.arrivals_since(from);
    assert!(count <= 35, "{count} requests in 4 s at 5 per second");
    assert!(count >= 5, "{count} requests: the limit is not used");
    assert_eq!(failed, 0, "the other target has room for all");
}

/// Guards against requests to a target that states in its responses that it is leaving, while the
/// instance list still has it as live, and against a target that gets none after it has stayed.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_stated_by_target() {
    let (fleet, target) = start_fleet(2).await;
    let start = Instant::now();
    run_load(entries(&fleet), NOTICE_TIME).await;
    assert!(target.arrivals_since(start) > 0);
    target.state_notice("basilbay-leaving: 1\r\n");
    run_load(entries(&fleet), NOTICE_TIME).await;
    let from = Instant::now();
    let (_, failed) = run_load(entries(&fleet), Duration::from_secs(3)).await;
    assert_eq!(target.arrivals_since(from), 0);
    assert_eq!(failed, 0, "the other target has room for all");
    target.state_notice("");
    let from = Instant::now();
    run_load(entries(&fleet), Duration::from_secs(3)).await;
    assert!(target.arrivals_since(from) > 0, "the target stays");
}
