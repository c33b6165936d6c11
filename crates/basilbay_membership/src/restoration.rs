//! Bridges the time after the platform came back from an older copy of its content.
//!
//! The copy may list targets as live that are leaving or have left, lack those that have joined, and
//! lack evacuations, until operators and targets write again. A daemon therefore keeps what it had in
//! force for as long as that takes, unless the new era changes it. Only what is put in force differs;
//! the view that peers pull is that of the platform, so all daemons still agree on it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_model::config::Config;
use basilbay_model::domain::State as DomainState;
use basilbay_model::id::{DomainId, InstanceId, RunId};
use basilbay_model::roster::{Instance, Roster, State};
use basilbay_model::version;

/// Time in which operators and targets write again after a restoration; what is still missing then
/// is taken as gone.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Time after which the platform removes entries that nobody writes again: those of targets that
/// had left before the restoration. Three intervals of a target's reports, and a margin.
const LAPSE_TIME: Duration = Duration::from_secs(6);

/// How long a target that has left is remembered; copies are some seconds old.
const DEPARTED_TTL: Duration = Duration::from_secs(60);

/// Maximum number of remembered targets that have left, to bound the memory.
const MAX_DEPARTED: usize = 1024;

/// A run of a target that has left.
#[derive(Clone, Debug)]
struct Departed {
    id: InstanceId,
    run: Option<RunId>,
    forget_at: Instant,
}

/// What is kept in force after a restoration.
#[derive(Clone, Debug, Default)]
pub struct Restoration {
    /// Runs that have left, oldest first.
    departed: Vec<Departed>,
    /// Instances of before that the new era has not changed, sorted by id.
    kept: Vec<Instance>,
    /// Until when these are kept; `None` if there was no restoration.
    kept_until: Option<Instant>,
    /// Until when entries of departed runs are left out; `None` if there was no restoration.
    left_out_until: Option<Instant>,
    /// Domains of before that were out and that the new era has not changed.
    out: Vec<DomainId>,
    /// Until when these stay out; `None` if there was no restoration.
    out_until: Option<Instant>,
}

impl Restoration {
    /// Records that a roster replaces another one as the platform's.
    pub fn observe_roster(&mut self, before: &Roster, after: &Roster, now: Instant) {
        self.departed.retain(|departed| now < departed.forget_at);
        if version::era(after.version) > version::era(before.version) {
            // Instances that were kept already are still not written again.
            let mut kept = before.instances.clone();
            if self.kept_until.is_some_and(|until| now < until) {
                let missing = |it: &&Instance| before.instance(&it.id).is_none();
                kept.extend(self.kept.iter().filter(missing).cloned());
                kept.sort_by(|left, right| left.id.cmp(&right.id));
            }
            self.kept = kept;
            self.kept_until = Some(now + REWRITE_TIME);
            self.left_out_until = Some(now + LAPSE_TIME);
            return;
        }
        for old in &before.instances {
            let new = after.instance(&old.id);
            if new != Some(old) {
                self.kept.retain(|kept| kept.id != old.id);
            }
            if new.is_none_or(|new| new.target != old.target) {
                self.departed.push(Departed {
                    id: old.id.clone(),
                    run: old.target.clone(),
                    forget_at: now + DEPARTED_TTL,
                });
            }
        }
        // An entry that had lapsed while its writer was cut off is written again by the same run.
        let is_back = |new: &&Instance| before.instance(&new.id) != Some(*new);
        for new in after.instances.iter().filter(is_back) {
            self.departed
                .retain(|departed| departed.id != new.id || departed.run != new.target);
        }
        let excess = self.departed.len().saturating_sub(MAX_DEPARTED);
        self.departed.drain(..excess);
    }

    /// Records that a configuration replaces another one as the platform's.
    pub fn observe_config(&mut self, before: &Config, after: &Config, now: Instant) {
        let out = |config: &Config, id: &DomainId| {
            let domain = config.domain(id);
            domain.is_some_and(|domain| domain.state == DomainState::Out)
        };
        if version::era(after.version) > version::era(before.version) {
            let domains = before.domains.iter().map(|domain| domain.id.clone());
            let is_kept = self.out_until.is_some_and(|until| now < until);
            let earlier = std::mem::take(&mut self.out);
            let was_out = |id: &DomainId| out(before, id) || (is_kept && earlier.contains(id));
            self.out = domains.filter(was_out).collect();
            self.out_until = Some(now + REWRITE_TIME);
            return;
        }
        self.out.retain(|id| out(before, id) == out(after, id));
    }

    /// Roster to put in force for the platform's roster.
    pub fn roster(&self, current: &Arc<Roster>, now: Instant) -> Arc<Roster> {
        let is_kept = self.kept_until.is_some_and(|until| now < until);
        let is_left_out = self.left_out_until.is_some_and(|until| now < until);
        if !is_kept && !is_left_out {
            return current.clone();
        }
        let mut roster = Roster::clone(current);
        roster.instances.retain(|instance| !self.has_left(instance));
        for kept in self.kept.iter().filter(|_| is_kept) {
            let found = roster
                .instances
                .binary_search_by(|listed| listed.id.cmp(&kept.id));
            match found {
                Err(index) => roster.instances.insert(index, kept.clone()),
                Ok(index) => {
                    let listed = &mut roster.instances[index];
                    if listed.target == kept.target && kept.state == State::Leaving {
                        listed.state = State::Leaving;
                    }
                }
            }
        }
        Arc::new(roster)
    }

    /// Configuration to put in force for the platform's configuration.
    pub fn config(&self, current: &Arc<Config>, now: Instant) -> Arc<Config> {
        let is_kept = self.out_until.is_some_and(|until| now < until);
        if !is_kept || self.out.is_empty() {
            return current.clone();
        }
        let mut config = Config::clone(current);
        for domain in &mut config.domains {
            if self.out.contains(&domain.id) {
                domain.state = DomainState::Out;
            }
        }
        Arc::new(config)
    }

    /// Whether something that was kept in the roster is no longer kept; returns so once for each
    /// deadline.
    pub fn roster_expired(&mut self, now: Instant) -> bool {
        let kept = self.kept_until.take_if(|until| now >= *until).is_some();
        let left_out = self.left_out_until.take_if(|until| now >= *until).is_some();
        kept || left_out
    }

    /// Whether domains that were kept out are no longer; returns so once.
    pub fn config_expired(&mut self, now: Instant) -> bool {
        self.out_until.take_if(|until| now >= *until).is_some()
    }

    fn has_left(&self, instance: &Instance) -> bool {
        let is_same =
            |departed: &Departed| departed.id == instance.id && departed.run == instance.target;
        self.departed.iter().any(is_same)
    }
}
