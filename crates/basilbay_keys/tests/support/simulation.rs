//! Simulation of one instance list and several daemons, each with its own clock, roster history and
//! store.

use std::time::{Duration, Instant};

use basilbay_keys::decision::{self, Decision};
use basilbay_keys::history::History;
use basilbay_keys::key::{Format, Key, MAX_CLOCK_SKEW};
use basilbay_keys::owner;
use basilbay_keys::store::{Claim, Finish, Limits, Shards};
use basilbay_model::roster::{Instance, Roster, Timestamp};
use basilbay_wire::problem::Outcome;
use proptest::prelude::*;

use crate::roster::{RETENTION, SERVICE, instance, key, roster};

const EPOCH: Timestamp = 1_000_000;
/// Maximum delivery delay of a request that is sent at the end of the retention period.
const MAX_DELAY_MS: u64 = 2000;

/// One simulation step. A `usize` selects a daemon or listed instance modulo their number; times
/// and clock offsets are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Wait(u64),
    Join(i64),
    Leave(usize),
    Remove(usize),
    Relist(usize, bool),
    Observe(usize, u64),
    ObserveAll(u64),
    Restart(usize, u64),
    Issue(bool, i64),
    /// Holds the index of the key counted from the newest, a bit set of daemons, the daemon to
    /// start with, and how a run ends (see `Simulation::finish`).
    Send(usize, u8, usize, u8),
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let skew = || -500..=500i64;
    let pick = || 0..16usize;
    prop_oneof![
        6 => (0..1500u64).prop_map(Step::Wait),
        2 => (1500..9000u64).prop_map(Step::Wait),
        2 => skew().prop_map(Step::Join),
        1 => pick().prop_map(Step::Leave),
        3 => pick().prop_map(Step::Remove),
        2 => (pick(), any::<bool>()).prop_map(|(at, fresh)| Step::Relist(at, fresh)),
        6 => (pick(), 0..400u64).prop_map(|(at, lag)| Step::Observe(at, lag)),
        2 => (pick(), 0..9000u64).prop_map(|(at, lag)| Step::Observe(at, lag)),
        4 => (0..600u64).prop_map(Step::ObserveAll),
        2 => (pick(), 0..20_000u64).prop_map(|(at, lag)| Step::Restart(at, lag)),
        4 => (any::<bool>(), skew()).prop_map(|(opaque, skew)| Step::Issue(opaque, skew)),
        12 => (0..4usize, any::<u8>(), pick(), 0..8u8)
            .prop_map(|(key, daemons, first, end)| Step::Send(key, daemons, first, end)),
    ]
}

struct Daemon {
    id: String,
    /// Offset of its clock from the instance list's clock, in milliseconds.
    offset_ms: i64,
    history: History,
    shards: Shards,
}

struct SentKey {
    key: Key,
    /// Time of the first send; `None` before it.
    first_sent_at: Option<Timestamp>,
    runs: u32,
}

/// The instance list, the daemons, and the number of runs of each key.
pub(crate) struct Simulation {
    start: Instant,
    time: Timestamp,
    version: u64,
    listed: Vec<Instance>,
    /// Each version of the instance list, with the time from which it was current.
    states: Vec<(Timestamp, Roster)>,
    daemons: Vec<Daemon>,
    keys: Vec<SentKey>,
}

impl Simulation {
    pub(crate) fn new(offsets: &[i64]) -> Self {
        let mut simulation = Self {
            start: Instant::now(),
            time: EPOCH,
            version: 0,
            listed: Vec::new(),
            states: Vec::new(),
            daemons: Vec::new(),
            keys: Vec::new(),
        };
        for offset_ms in offsets {
            simulation.join(*offset_ms);
        }
        simulation.observe_all(0);
        simulation
    }

    /// Advances time while all daemons observe the instance list every 500 ms.
    pub(crate) fn settle(&mut self, time: u64) {
        let end = self.time + time;
        while self.time < end {
            self.time += 500;
            self.observe_all(0);
        }
    }

    pub(crate) fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Wait(time) => self.wait(time),
            Step::Join(offset_ms) => self.join(offset_ms),
            Step::Leave(at) => self.leave(at),
            Step::Remove(at) => self.remove(at),
            Step::Relist(at, fresh) => self.relist(at, fresh),
            Step::Observe(at, lag) => self.observe(at % self.daemons.len(), lag),
            Step::ObserveAll(lag) => self.observe_all(lag),
            Step::Restart(at, lag) => self.restart(at % self.daemons.len(), lag),
            Step::Issue(opaque, skew) => self.issue(opaque, skew),
            Step::Send(key, daemons, first, end) => return self.send(key, daemons, first, end),
        }
        Ok(())
    }

    /// Sends a new key through every daemon and returns how many runs its owner granted.
    pub(crate) fn first_send(&mut self, opaque: bool, skew: i64) -> u32 {
        self.issue(opaque, skew);
        let index = self.keys.len() - 1;
        let key = self.keys[index].key.clone();
        for at in 0..self.daemons.len() {
            let (history, wall) = (&self.daemons[at].history, self.wall(at));
            let found = owner::find(history, SERVICE, &key, wall, RETENTION);
            let target = (0..self.daemons.len())
                .find(|at| found == owner::Lookup::Found(self.daemons[*at].id.as_str().into()));
            let decision = self.decide(target.expect("an owner"), &key);
            self.keys[index].runs += u32::from(decision == Decision::Claim(Claim::Run));
        }
        self.keys[index].runs
    }

    fn wait(&mut self, time: u64) {
        self.time += time;
        for daemon in &self.daemons {
            daemon.shards.evict_expired(self.now());
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.time - EPOCH)
    }

    fn wall(&self, at: usize) -> Timestamp {
        self.time.saturating_add_signed(self.daemons[at].offset_ms)
    }

    fn publish(&mut self) {
        self.version += 1;
        let roster = roster(self.version, self.time, &self.listed);
        self.states.push((self.time, roster));
    }

    fn join(&mut self, offset_ms: i64) {
        if self.daemons.len() == 6 {
            return;
        }
        let id = format!("paydesk-{}", self.daemons.len());
        self.listed.push(instance(&id, self.time));
        self.publish();
        self.daemons.push(Daemon {
            id,
            offset_ms,
            history: history(self.time.saturating_add_signed(offset_ms)),
            shards: shards(),
        });
    }

    fn leave(&mut self, at: usize) {
        let time = self.time;
        let count = self.listed.len().max(1);
        if let Some(instance) = self.listed.get_mut(at % count) {
            instance.leaving_at_ms.get_or_insert(time);
            self.publish();
        }
    }

    fn remove(&mut self, at: usize) {
        if !self.listed.is_empty() {
            self.listed.remove(at % self.listed.len());
            self.publish();
        }
    }

    /// Lists a removed instance again, with its old listing time or a new one.
    fn relist(&mut self, at: usize, fresh: bool) {
        let id = self.daemons[at % self.daemons.len()].id.clone();
        if self.listed.iter().any(|listed| *listed.id == *id) {
            return;
        }
        let mut known = self
            .states
            .iter()
            .rev()
            .find_map(|(_, roster)| roster.instance(&id).cloned())
            .expect("an instance that was listed");
        if fresh {
            known = instance(&id, self.time);
        }
        self.listed.push(known);
        self.publish();
    }

    fn observe(&mut self, at: usize, lag: u64) {
        let as_of = self.time.saturating_sub(lag).max(EPOCH);
        let current = self.states.iter().rev().find(|(from, _)| *from <= as_of);
        let mut roster = current.expect("a first state").1.clone();
        roster.as_of_ms = as_of;
        self.daemons[at].history.observe(&roster);
    }

    fn observe_all(&mut self, lag: u64) {
        for at in 0..self.daemons.len() {
            self.observe(at, lag);
        }
    }

    /// Restarts a daemon under the same id; its first roster may predate the restart.
    fn restart(&mut self, at: usize, lag: u64) {
        self.daemons[at].history = history(self.wall(at));
        self.daemons[at].shards = shards();
        self.observe(at, lag);
    }

    fn issue(&mut self, opaque: bool, skew: i64) {
        let issued = (!opaque).then(|| self.time.saturating_add_signed(skew));
        self.keys.push(SentKey {
            key: key(issued, self.keys.len() as u64),
            first_sent_at: None,
            runs: 0,
        });
    }

    fn decide(&self, at: usize, key: &Key) -> Decision {
        let daemon = &self.daemons[at];
        let wall = self.wall(at);
        decision::decide(&daemon.shards, key, 7, 0, self.now(), || {
            owner::may_run(&daemon.history, &daemon.id, SERVICE, key, wall, RETENTION)
        })
    }

    /// Sends one of the four newest keys to a set of daemons.
    fn send(
        &mut self,
        back: usize,
        daemons: u8,
        first: usize,
        end: u8,
    ) -> Result<(), TestCaseError> {
        let Some(index) = self.keys.len().checked_sub(1 + back) else {
            return Ok(());
        };
        if !self.may_send(index) {
            return Ok(());
        }
        let count = self.daemons.len();
        for at in (0..count).map(|step| (first + step) % count) {
            if daemons & (1 << at) != 0 {
                self.offer(index, at, end)?;
            }
        }
        Ok(())
    }

    /// Whether the key may arrive now: callers resend opaque keys within the retention period only,
    /// and entry daemons refuse keys issued in the future.
    fn may_send(&mut self, index: usize) -> bool {
        let (time, sent) = (self.time, &mut self.keys[index]);
        let first = *sent.first_sent_at.get_or_insert(time);
        match sent.key.format {
            Format::Opaque => time <= first + RETENTION.as_millis() as u64 + MAX_DELAY_MS,
            Format::UuidV7(at) => at <= time + 2 * MAX_CLOCK_SKEW.as_millis() as u64,
        }
    }

    fn offer(&mut self, index: usize, at: usize, end: u8) -> Result<(), TestCaseError> {
        let key = self.keys[index].key.clone();
        let found = owner::find(
            &self.daemons[at].history,
            SERVICE,
            &key,
            self.wall(at),
            RETENTION,
        );
        let decision = self.decide(at, &key);
        let not_run = Some(Outcome::NotRun);
        if decision.outcome() == not_run || found.outcome() == not_run {
            let runs = self.keys[index].runs;
            prop_assert_eq!(runs, 0, "{} is reported as not run", key.text);
        }
        if decision == Decision::Claim(Claim::Run) {
            // The run counts from the claim, regardless of when the daemon starts it.
            self.keys[index].runs += u32::from(end != 3);
            self.finish(at, &key, end);
        }
        let runs = self.keys[index].runs;
        prop_assert!(runs <= 1, "{} ran {} times", key.text, runs);
        Ok(())
    }

    fn finish(&self, at: usize, key: &Key, end: u8) {
        let finish = match end {
            1 => Finish::TooLarge,
            2 => Finish::Unknown,
            3 => Finish::NotRun,
            _ => return,
        };
        self.daemons[at].shards.finish(key, finish, self.now());
    }
}

fn history(started: Timestamp) -> History {
    History::new(SERVICE.into(), RETENTION, started)
}

fn shards() -> Shards {
    Shards::new(Limits {
        entries: 1000,
        response_bytes: 1000,
        retention: RETENTION,
    })
}
