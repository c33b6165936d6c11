//! Handling of roster pulls: processes responses of the platform and of peers, and answers pulls of
//! peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_model::id::{InstanceId, Version};
use basilbay_model::roster::{Roster, Timestamp};
use basilbay_wire::control::RosterBody;
use basilbay_wire::frame::FORMAT_VERSION;

use super::Node;
use crate::action::{Action, Pull, Source};
use crate::event::{Event, Part};
use crate::gossip::{Peers, ROSTER_FANOUT};
use crate::reader::{self, MAX_JITTER};
use crate::view::Verdict;

/// Maximum lag of a response of the instance list behind the known as-of time; beyond it, the
/// response counts as a failed read.
const MAX_RESPONSE_LAG: Duration = reader::STALE_AFTER;

impl Node {
    /// Handles a roster from the platform or a peer. The active version without instances means
    /// that nothing has changed, as in the response to a conditional read.
    pub fn receive_roster(&mut self, roster: Arc<Roster>, pull: &Pull, now: Instant) {
        self.observe(now);
        self.record_contact(&pull.source, now);
        self.complete_roster_pull(pull);
        let before = self.roster_view.version();
        if roster.version == 0 {
            self.handle_roster_failure(pull, now);
        } else {
            self.offer_roster(roster, pull, now);
        }
        if self.roster_view.version() == before {
            self.peers.roster.remove_candidate(&pull.source);
        }
        self.pull_newer(now);
    }

    /// Handles the response of a peer to a roster pull.
    pub fn receive_roster_body(&mut self, body: RosterBody, pull: &Pull, now: Instant) {
        let Some(changes) = body.changes else {
            return self.receive_roster(Arc::new(body.roster), pull, now);
        };
        let version = body.roster.version;
        if let Some(instances) = self.roster_view.apply_changes(&changes) {
            let roster = Roster {
                instances,
                ..body.roster
            };
            return self.receive_roster(Arc::new(roster), pull, now);
        }
        self.observe(now);
        self.record_contact(&pull.source, now);
        self.complete_roster_pull(pull);
        // If another version became active meanwhile, the next pull states it.
        if changes.base == self.roster_view.version() && version > changes.base {
            self.push_event(Event::EditsMismatch {
                version,
                source: pull.source.clone(),
            });
            return self.pull_roster(pull.source.clone(), 0, now);
        }
        self.pull_newer(now);
    }

    /// Handles the failure of a pull.
    pub fn roster_pull_failed(&mut self, pull: &Pull, now: Instant) {
        self.observe(now);
        self.complete_roster_pull(pull);
        self.handle_roster_failure(pull, now);
        self.pull_newer(now);
    }

    /// Answers a pull of a peer: with changes if they are known, in full otherwise, and without
    /// either if the peer has this version already. `digest` is that of the peer's instances, if it
    /// states one.
    pub fn serve_roster(&mut self, have: Version, digest: Option<u64>, now: Instant) -> RosterBody {
        self.observe(now);
        let may_confirm = self.readiness(now).is_ready();
        let mut body = RosterBody {
            format: FORMAT_VERSION,
            roster: Roster::default(),
            changes: None,
        };
        let Some(current) = self.roster_view.roster() else {
            return body;
        };
        if have < current.version {
            body.changes = digest.and_then(|digest| self.roster_view.changes_since(have, digest));
            if body.changes.is_some() {
                body.roster.version = current.version;
            } else {
                body.roster = Roster::clone(current);
            }
        } else if may_confirm {
            body.roster.version = current.version;
        }
        body.roster.as_of_ms = self.roster_view.as_of_ms();
        body
    }

    pub(super) fn handle_roster_failure(&mut self, pull: &Pull, now: Instant) {
        if pull.source == Source::Platform {
            if !self.platform.roster_backoff.has_failed() {
                self.push_event(Event::PlatformUnreachable { part: Part::Roster });
            }
            self.back_off_roster(now);
        } else {
            self.peers.roster.remove_candidate(&pull.source);
            self.push_event(Event::PullFailed {
                part: Part::Roster,
                source: pull.source.clone(),
            });
        }
    }

    fn offer_roster(&mut self, roster: Arc<Roster>, pull: &Pull, now: Instant) {
        let version = self.roster_view.version();
        let known_as_of_ms = self.roster_view.as_of_ms();
        let as_of_ms = roster.as_of_ms;
        let from_platform = pull.source == Source::Platform;
        // Roster reads by other daemons keep the roster fresh, which hides that no reader watches
        // the configuration. A non-reader that reads the roster therefore reads the configuration
        // too.
        let has_config = self.config_view.current().is_some();
        self.platform.config_read_due |= from_platform && has_config && !self.is_reader();
        // A response without instances states that the peer is ready and knows no newer version.
        let may_confirm = from_platform || roster.instances.is_empty();
        let before = self.current_roster().cloned();
        match self.roster_view.offer(roster) {
            Verdict::Accepted => {
                self.accept_roster(before.as_deref(), pull, now);
                if from_platform {
                    self.platform.roster_backoff.record_success();
                    self.confirm(Part::Roster, pull);
                }
            }
            Verdict::Unchanged => {
                if as_of_ms > known_as_of_ms {
                    self.mark_roster_advanced(now);
                }
                if may_confirm {
                    self.confirm(Part::Roster, pull);
                }
                self.record_roster_read(as_of_ms, known_as_of_ms, pull, now);
            }
            Verdict::Older(offered) => {
                if !from_platform || !self.platform.roster_backoff.has_failed() {
                    self.push_event(Event::RosterOlder {
                        offered,
                        version,
                        source: pull.source.clone(),
                    });
                }
                self.reject_roster(pull, now);
            }
            Verdict::Conflict | Verdict::Rejected(_) | Verdict::Superseded(_) => {
                self.push_event(Event::RosterConflict {
                    version,
                    source: pull.source.clone(),
                });
                self.reject_roster(pull, now);
            }
        }
    }

    fn record_roster_read(
        &mut self,
        as_of_ms: Timestamp,
        known_as_of_ms: Timestamp,
        pull: &Pull,
        now: Instant,
    ) {
        if pull.source != Source::Platform {
            return;
        }
        let lag = Duration::from_millis(known_as_of_ms.saturating_sub(as_of_ms));
        if lag > MAX_RESPONSE_LAG {
            self.back_off_roster(now);
        } else {
            self.platform.roster_backoff.record_success();
        }
    }

    fn accept_roster(&mut self, before: Option<&Roster>, pull: &Pull, now: Instant) {
        let Some(roster) = self.roster_view.roster().cloned() else {
            return;
        };
        if let Some(before) = before {
            self.restoration.observe_roster(before, &roster, now);
        }
        self.mark_roster_advanced(now);
        self.first_roster_at.get_or_insert(now);
        self.bootstrap = None;
        let is_listed = |id: &InstanceId| roster.instance(id).is_some();
        self.peers.leaving.retain(is_listed);
        self.gossip_peers = Peers::new(
            roster.clone(),
            &self.identity.id,
            &self.identity.service,
            &self.identity.domain,
        );
        self.select_readers();
        self.push_event(Event::RosterAccepted {
            version: roster.version,
            source: pull.source.clone(),
        });
        self.apply_roster(now);
        self.announce(ROSTER_FANOUT, now);
    }

    /// Puts the active roster in force, with what a restoration of the platform keeps.
    pub(super) fn apply_roster(&mut self, now: Instant) {
        if let Some(roster) = self.current_roster() {
            let roster = self.restoration.roster(roster, now);
            self.push_action(Action::ApplyRoster(roster));
        }
    }

    fn reject_roster(&mut self, pull: &Pull, now: Instant) {
        if pull.source == Source::Platform {
            self.back_off_roster(now);
        }
    }

    fn back_off_roster(&mut self, now: Instant) {
        let is_reader = self.is_reader();
        let backoff = &mut self.platform.roster_backoff;
        backoff.record_failure(is_reader, now, &mut self.random);
        self.jitter = reader::random_fraction(MAX_JITTER, &mut self.random);
    }

    fn complete_roster_pull(&mut self, pull: &Pull) {
        self.platform.roster.complete(pull.id);
        self.peers.roster.complete(pull.id);
    }
}
