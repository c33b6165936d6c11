//! Answers about the roster.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_model::id::{InstanceId, Version};
use basilbay_model::roster::{Roster, Timestamp};
use basilbay_wire::control::RosterBody;
use basilbay_wire::frame::FORMAT_VERSION;

use super::Node;
use crate::action::{Action, Origin, Source};
use crate::event::{Event, Part};
use crate::gossip::Circle;
use crate::reader::{self, JITTER};
use crate::view::Verdict;

/// As-of time behind the one known from which an answer of the list counts as stale.
const STALE_ANSWER: Duration = reader::STALE;

impl Node {
    /// Takes a roster of the platform or of a peer. The version in force without instances means
    /// that nothing changed, as the answer to a conditional read does.
    pub fn roster(&mut self, roster: Arc<Roster>, from: &Origin, now: Instant) {
        self.observe(now);
        self.answered(&from.source, now);
        self.end_roster(from);
        let before = self.listing.version();
        if roster.version == 0 {
            self.lose_roster(from, now);
        } else {
            self.offer_roster(roster, from, now);
        }
        if self.listing.version() == before {
            self.hearing.roster.drop_teller(&from.source);
        }
        self.pull_newer(now);
    }

    /// Notes that a pull failed.
    pub fn roster_failed(&mut self, from: &Origin, now: Instant) {
        self.observe(now);
        self.end_roster(from);
        self.lose_roster(from, now);
        self.pull_newer(now);
    }

    /// Answers a peer's pull; without instances when the peer has this version already.
    pub fn serve_roster(&mut self, have: Version, now: Instant) -> RosterBody {
        self.observe(now);
        let confirms = self.standing(now).serves();
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

    pub(super) fn lose_roster(&mut self, from: &Origin, now: Instant) {
        if from.source == Source::Platform {
            if !self.platform.roster_backoff.has_failed() {
                self.emit(Event::PlatformUnreachable { part: Part::Roster });
            }
            self.fail_roster_read(now);
        } else {
            self.hearing.roster.drop_teller(&from.source);
            self.emit(Event::PullFailed {
                part: Part::Roster,
                source: from.source.clone(),
            });
        }
    }

    fn offer_roster(&mut self, roster: Arc<Roster>, from: &Origin, now: Instant) {
        let version = self.listing.version();
        let known = self.listing.as_of_ms();
        let as_of_ms = roster.as_of_ms;
        let by_platform = from.source == Source::Platform;
        // Reads of the roster by others keep it fresh and so hide that no reader watches the
        // configuration; whoever reads the one therefore looks after the other too.
        let has_config = self.configuration.held().is_some();
        self.platform.config_owed |= by_platform && has_config && !self.is_reader();
        // A peer says with an empty list that it serves and knows nothing newer.
        let confirms = by_platform || roster.instances.is_empty();
        match self.listing.offer(roster) {
            Verdict::Accepted => {
                self.accept_roster(from, now);
                if by_platform {
                    self.platform.roster_backoff.succeed();
                    self.confirm(Part::Roster, from);
                }
            }
            Verdict::Same => {
                if as_of_ms > known {
                    self.freshen(now);
                }
                if confirms {
                    self.confirm(Part::Roster, from);
                }
                self.settle_roster(as_of_ms, known, from, now);
            }
            Verdict::Older(offered) => {
                if !by_platform || !self.platform.roster_backoff.has_failed() {
                    self.emit(Event::RosterOlder {
                        offered,
                        version,
                        source: from.source.clone(),
                    });
                }
                self.distrust_roster(from, now);
            }
            Verdict::Conflict | Verdict::Rejected(_) => {
                self.emit(Event::RosterConflict {
                    version,
                    source: from.source.clone(),
                });
                self.distrust_roster(from, now);
            }
        }
    }

    fn settle_roster(
        &mut self,
        as_of_ms: Timestamp,
        known: Timestamp,
        from: &Origin,
        now: Instant,
    ) {
        if from.source != Source::Platform {
            return;
        }
        let behind = Duration::from_millis(known.saturating_sub(as_of_ms));
        if behind > STALE_ANSWER {
            self.fail_roster_read(now);
        } else {
            self.platform.roster_backoff.succeed();
        }
    }

    fn accept_roster(&mut self, from: &Origin, now: Instant) {
        let Some(roster) = self.listing.roster().cloned() else {
            return;
        };
        self.freshen(now);
        self.first_roster_at.get_or_insert(now);
        let listed = |id: &InstanceId| roster.instance(id).is_some();
        self.hearing.left.retain(listed);
        self.circle = Circle::new(
            roster.clone(),
            &self.identity.id,
            &self.identity.service,
            &self.identity.domain,
        );
        self.choose_readers();
        self.emit(Event::RosterAccepted {
            version: roster.version,
            source: from.source.clone(),
        });
        self.emit_action(Action::RosterInForce(roster));
        self.announce(now);
    }

    fn distrust_roster(&mut self, from: &Origin, now: Instant) {
        if from.source == Source::Platform {
            self.fail_roster_read(now);
        }
    }

    fn fail_roster_read(&mut self, now: Instant) {
        let is_reader = self.is_reader();
        let backoff = &mut self.platform.roster_backoff;
        backoff.fail(is_reader, now, &mut self.random);
        self.jitter = reader::part_of(JITTER, &mut self.random);
    }

    fn end_roster(&mut self, from: &Origin) {
        self.platform.roster.end(from.ticket);
        self.hearing.roster.end(from.ticket);
    }
}
