//! Answers about the roster.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_model::id::{InstanceId, Version};
use basilbay_model::roster::{Roster, Timestamp};
use basilbay_wire::control::RosterBody;
use basilbay_wire::frame::FORMAT_VERSION;

use super::Node;
use crate::action::{Action, Pull, Source};
use crate::event::{Event, Part};
use crate::gossip::Peers;
use crate::reader::{self, MAX_JITTER};
use crate::view::Verdict;

/// As-of time behind the one known from which an answer of the list counts as stale.
const STALE_ANSWER: Duration = reader::STALE_AFTER;

impl Node {
    /// Takes a roster of the platform or of a peer. The version in force without instances means
    /// that nothing changed, as the answer to a conditional read does.
    pub fn receive_roster(&mut self, roster: Arc<Roster>, pull: &Pull, now: Instant) {
        self.observe(now);
        self.answered(&pull.source, now);
        self.complete_roster_pull(pull);
        let before = self.listing.version();
        if roster.version == 0 {
            self.handle_roster_failure(pull, now);
        } else {
            self.offer_roster(roster, pull, now);
        }
        if self.listing.version() == before {
            self.peers.roster.remove_candidate(&pull.source);
        }
        self.pull_newer(now);
    }

    /// Notes that a pull failed.
    pub fn roster_pull_failed(&mut self, pull: &Pull, now: Instant) {
        self.observe(now);
        self.complete_roster_pull(pull);
        self.handle_roster_failure(pull, now);
        self.pull_newer(now);
    }

    /// Answers a peer's pull; without instances when the peer has this version already.
    pub fn serve_roster(&mut self, have: Version, now: Instant) -> RosterBody {
        self.observe(now);
        let confirms = self.readiness(now).is_ready();
        let mut body = RosterBody {
            format: FORMAT_VERSION,
            roster: Roster::default(),
        };
        let Some(held) = self.listing.roster() else {
            return body;
        };
        if have < held.version {
            body.roster = Roster::clone(held);
        } else if confirms {
            body.roster.version = held.version;
        }
        body.roster.as_of_ms = self.listing.as_of_ms();
        body
    }

    pub(super) fn handle_roster_failure(&mut self, pull: &Pull, now: Instant) {
        if pull.source == Source::Platform {
            if !self.platform.roster_backoff.has_failed() {
                self.emit(Event::PlatformUnreachable { part: Part::Roster });
            }
            self.back_off_roster(now);
        } else {
            self.peers.roster.remove_candidate(&pull.source);
            self.emit(Event::PullFailed {
                part: Part::Roster,
                source: pull.source.clone(),
            });
        }
    }

    fn offer_roster(&mut self, roster: Arc<Roster>, pull: &Pull, now: Instant) {
        let version = self.listing.version();
        let known = self.listing.as_of_ms();
        let as_of_ms = roster.as_of_ms;
        let by_platform = pull.source == Source::Platform;
        // Reads of the roster by others keep it fresh and so hide that no reader watches the
        // configuration; whoever reads the one therefore looks after the other too.
        let has_config = self.configuration.current().is_some();
        self.platform.config_read_due |= by_platform && has_config && !self.is_reader();
        // A peer says with an empty list that it serves and knows nothing newer.
        let confirms = by_platform || roster.instances.is_empty();
        match self.listing.offer(roster) {
            Verdict::Accepted => {
                self.accept_roster(pull, now);
                if by_platform {
                    self.platform.roster_backoff.record_success();
                    self.confirm(Part::Roster, pull);
                }
            }
            Verdict::Unchanged => {
                if as_of_ms > known {
                    self.mark_fresh(now);
                }
                if confirms {
                    self.confirm(Part::Roster, pull);
                }
                self.record_roster_read(as_of_ms, known, pull, now);
            }
            Verdict::Older(offered) => {
                if !by_platform || !self.platform.roster_backoff.has_failed() {
                    self.emit(Event::RosterOlder {
                        offered,
                        version,
                        source: pull.source.clone(),
                    });
                }
                self.reject_roster(pull, now);
            }
            Verdict::Conflict | Verdict::Rejected(_) => {
                self.emit(Event::RosterConflict {
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
        known: Timestamp,
        pull: &Pull,
        now: Instant,
    ) {
        if pull.source != Source::Platform {
            return;
        }
        let behind = Duration::from_millis(known.saturating_sub(as_of_ms));
        if behind > STALE_ANSWER {
            self.back_off_roster(now);
        } else {
            self.platform.roster_backoff.record_success();
        }
    }

    fn accept_roster(&mut self, pull: &Pull, now: Instant) {
        let Some(roster) = self.listing.roster().cloned() else {
            return;
        };
        self.mark_fresh(now);
        self.first_roster_at.get_or_insert(now);
        let listed = |id: &InstanceId| roster.instance(id).is_some();
        self.peers.left.retain(listed);
        self.gossip_peers = Peers::new(
            roster.clone(),
            &self.identity.id,
            &self.identity.service,
            &self.identity.domain,
        );
        self.select_readers();
        self.emit(Event::RosterAccepted {
            version: roster.version,
            source: pull.source.clone(),
        });
        self.emit_action(Action::ApplyRoster(roster));
        self.announce(now);
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
        self.platform.roster.end(pull.id);
        self.peers.roster.end(pull.id);
    }
}
