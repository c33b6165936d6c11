//! Snapshot of a session: requests of callers, commands of operators, and the events that
//! daemons log.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::fmt::Write as _;

use basilbay_client::{command, run};
use basilbay_wire::header;
use rustix::process::Signal;
use serde_json::Value;

use call::{Call, Reply};
use fleet::{Fleet, Plan};

/// Numbers of events that depend on the timing of a busy machine or concern single requests.
const EXCLUDED_EVENTS: [u64; 10] = [103, 104, 205, 400, 401, 402, 403, 404, 405, 601];

struct Session {
    fleet: Fleet,
    text: String,
}

impl Session {
    fn record(&mut self, line: &str) {
        let _ = writeln!(self.text, "{line}");
    }

    /// Runs a command of the operator client and records its output.
    async fn run_command(&mut self, line: &str) {
        self.record(&format!("\n$ basilbay {line}"));
        let daemon = self.fleet.daemon("shop-1").admin.to_string();
        let args = line.split(' ').chain(["--daemon", &daemon]);
        let args: Vec<String> = ["basilbay"]
            .into_iter()
            .chain(args)
            .map(str::to_owned)
            .collect();
        let output = tokio::task::spawn_blocking(move || {
            let matches = command::build()
                .try_get_matches_from(args)
                .expect("a command");
            run::run(&matches).expect("the output of the command")
        });
        let output = output.await.expect("the command does not panic");
        self.text += &mask_numbers(&output.stdout);
        self.text += &mask_numbers(&output.stderr);
        self.record(&format!("exit code {}", output.code as u8));
    }

    /// Sends a request through the daemon of `shop` and records the response.
    async fn send_call(&mut self, label: &str, call: Call) -> Reply {
        let reply = call.id("r1").reply(self.fleet.entry("shop-1")).await;
        self.record(&format!("\n> {label}\n< {}", reply.status));
        for name in [
            "content-type",
            header::OUTCOME,
            header::REPLAYED,
            "retry-after",
        ] {
            if let Some(value) = reply.headers.get(name) {
                self.record(&format!("< {name}: {}", value.to_str().unwrap_or("?")));
            }
        }
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        self.record(&format!("< {body}"));
        reply
    }

    /// Records the distinct events of a daemon sorted by number, since their order depends on
    /// timing.
    fn record_events(&mut self, id: &str) {
        let log = self.fleet.log(id);
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let events = lines.filter_map(|line| {
            let fields = &line["fields"];
            let number = fields["event"]
                .as_u64()
                .filter(|it| !EXCLUDED_EVENTS.contains(it))?;
            Some(format!(
                "{number} {}",
                fields["name"].as_str().unwrap_or("?")
            ))
        });
        let mut events: Vec<String> = events.collect();
        events.sort();
        events.dedup();
        self.record(&format!("\nevents of {id}: {}", events.join(", ")));
    }
}

/// Replaces each number in a table that is not part of a name by `N`, and collapses white space.
fn mask_numbers(text: &str) -> String {
    let mut masked = String::new();
    for line in text.lines() {
        let words = line.split_whitespace().map(|word| {
            let is_name = word.starts_with(|first: char| first.is_ascii_alphabetic());
            let has_number = word.contains(|each: char| each.is_ascii_digit());
            if has_number && !is_name { "N" } else { word }
        });
        let words: Vec<&str> = words.collect();
        let _ = writeln!(masked, "{}", words.join(" "));
    }
    masked
}

/// Guards against unintended changes of what callers and operators see.
#[tokio::test(flavor = "multi_thread")]
async fn whole_session() {
    let fleet = Fleet::start(Plan::new(&[("desk", 1), ("shop", 1)])).await;
    fleet.wait_until_keys_owned().await;
    let text = String::new();
    let mut session = Session { fleet, text };
    session.run_command("status").await;
    session.run_command("explain desk /read").await;
    session.send_call("GET desk /read", Call::read()).await;
    let late = Call::read().timeout_ms(0);
    session
        .send_call("GET desk /read, with no time left", late)
        .await;
    session
        .send_call(
            "GET desk /nothing",
            Call::new(http::Method::GET, "/nothing"),
        )
        .await;
    let key = uuid::Uuid::now_v7().to_string();
    let pay = Call::write("one coat").key(&key);
    session
        .send_call("POST desk /write, with a key", pay.clone())
        .await;
    session
        .send_call("POST desk /write, with the same key", pay.clone())
        .await;
    let other = Call::write("two coats").key(&key);
    session
        .send_call(
            "POST desk /write, with the same key and another body",
            other,
        )
        .await;

    session.record("\nThe platform publishes version 2, with the service desk out.");
    let config = session.fleet.plan.config(2);
    let config = config.replace("[service desk]\nstate = in", "[service desk]\nstate = out");
    session.fleet.platform.publish(&config).expect("a version");
    session.run_command("wait --version 2").await;
    session.fleet.wait_for_state("desk-1", "out").await;
    session.run_command("status --service desk").await;
    session.send_call("GET desk /read", Call::read()).await;
    session
        .send_call("POST desk /write, with the key of before", pay)
        .await;

    session.run_command("explain desk /read").await;

    session.record("\nThe daemon of shop-1 is asked to stop.");
    session.fleet.signal("shop-1", Signal::TERM);
    let status = session.fleet.wait_for_exit("shop-1").await;
    session.record(&format!("exit code {}", status.code().unwrap_or(-1)));
    session.record_events("desk-1");
    session.record_events("shop-1");
    insta::assert_snapshot!(session.text);
}
