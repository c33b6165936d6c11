//! Answers about the configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use basilbay_model::id::{InstanceId, Version};
use basilbay_wire::control::{ConfigBody, Text};
use basilbay_wire::datagram::Heartbeat;
use basilbay_wire::frame::FORMAT_VERSION;

use super::Node;
use crate::action::{Action, Pull, Source};
use crate::event::{Event, Part};
use crate::view::{Verdict, digest_prefix};

impl Node {
    /// Takes a whole text of the platform.
    pub fn receive_config_text(&mut self, text: &Arc<str>, pull: &Pull, now: Instant) {
        self.observe(now);
        self.answered(&pull.source, now);
        self.complete_config_pull(pull);
        self.offer_config(text, pull, now);
        self.pull_newer(now);
    }

    /// Takes the answer of a peer.
    pub fn receive_config_body(&mut self, body: ConfigBody, pull: &Pull, now: Instant) {
        self.observe(now);
        self.answered(&pull.source, now);
        self.complete_config_pull(pull);
        let before = self.configuration.version();
        if body.version != 0 {
            self.apply_config_answer(body, pull, now);
        }
        if self.configuration.version() == before {
            // Whatever this peer announced, it did not deliver; its next heartbeat counts again.
            self.peers.config.remove_candidate(&pull.source);
        }
        self.pull_newer(now);
    }

    /// Notes that the platform has nothing after the version in force.
    pub fn receive_config_unchanged(&mut self, pull: &Pull, now: Instant) {
        self.observe(now);
        self.answered(&pull.source, now);
        self.complete_config_pull(pull);
        self.platform.config_backoff.record_success();
        self.confirm(Part::Config, pull);
    }

    /// Notes that a pull or watch failed.
    pub fn config_pull_failed(&mut self, pull: &Pull, now: Instant) {
        self.observe(now);
        self.complete_config_pull(pull);
        self.handle_config_failure(pull, now);
        self.pull_newer(now);
    }

    /// Answers a peer's pull. Only a node that serves says that a version is the newest it knows:
    /// the peer takes that as a confirmation after a pause.
    pub fn serve_config(&mut self, have: Version, now: Instant) -> ConfigBody {
        self.observe(now);
        let version = self.configuration.version();
        let confirms = self.readiness(now).is_ready();
        let mut body = ConfigBody {
            format: FORMAT_VERSION,
            version,
            digest: self.configuration.digest(),
            text: Text::Unchanged,
        };
        if have < version {
            body.text = self.configuration.history().answer(have);
        } else if !confirms {
            body.version = 0;
        }
        body
    }

    pub(super) fn handle_config_failure(&mut self, pull: &Pull, now: Instant) {
        if pull.source == Source::Platform {
            if !self.platform.config_backoff.has_failed() {
                self.emit(Event::PlatformUnreachable { part: Part::Config });
            }
            self.back_off_config(now);
        } else {
            self.peers.config.remove_candidate(&pull.source);
            self.emit(Event::PullFailed {
                part: Part::Config,
                source: pull.source.clone(),
            });
        }
    }

    /// Notes a newer version that a peer has, or another text with the same version.
    pub(super) fn compare_config(&mut self, id: &InstanceId, pull: SocketAddr, beat: &Heartbeat) {
        let version = self.configuration.version();
        if beat.config_version > version {
            self.peers
                .config
                .add_candidate(id, pull, beat.config_version);
        }
        let digest = digest_prefix(&self.configuration.digest());
        if version != 0 && beat.config_version == version && beat.config_digest != digest {
            let source = Source::Peer {
                id: id.clone(),
                address: pull,
            };
            self.conflict(beat.config_digest, source);
        }
    }

    fn apply_config_answer(&mut self, body: ConfigBody, pull: &Pull, now: Instant) {
        match body.text {
            Text::Unchanged => {
                self.check_unchanged(body.version, digest_prefix(&body.digest), pull);
            }
            Text::Full(text) => self.offer_config(&Arc::from(text), pull, now),
            Text::Edits(edits) => match self.configuration.apply_edits(&edits, &body.digest) {
                Some(text) => self.offer_config(&text, pull, now),
                None => self.pull_full_text(body.version, pull, now),
            },
        }
    }

    fn check_unchanged(&mut self, version: Version, digest: u64, pull: &Pull) {
        if version != self.configuration.version() {
            return;
        }
        if digest == digest_prefix(&self.configuration.digest()) {
            self.confirm(Part::Config, pull);
        } else {
            self.conflict(digest, pull.source.clone());
        }
    }

    /// Pulls the whole text after edits that did not fit.
    fn pull_full_text(&mut self, version: Version, pull: &Pull, now: Instant) {
        if version <= self.configuration.version() {
            return;
        }
        self.emit(Event::EditsMismatch {
            version,
            source: pull.source.clone(),
        });
        self.pull_config(pull.source.clone(), 0, now);
    }

    fn offer_config(&mut self, text: &Arc<str>, pull: &Pull, now: Instant) {
        let by_platform = pull.source == Source::Platform;
        match self.configuration.offer(text) {
            Verdict::Accepted => {
                self.accept_config(pull, now);
                self.record_config_read(pull);
            }
            Verdict::Unchanged => self.record_config_read(pull),
            Verdict::Older(offered) => {
                if !by_platform || !self.platform.config_backoff.has_failed() {
                    self.emit(Event::ConfigOlder {
                        offered,
                        version: self.configuration.version(),
                        source: pull.source.clone(),
                    });
                }
                self.reject_config(pull, now);
            }
            Verdict::Conflict => {
                self.conflict(
                    digest_prefix(&crate::view::digest(text)),
                    pull.source.clone(),
                );
                self.reject_config(pull, now);
            }
            Verdict::Rejected(report) => {
                if !self.configuration.is_repeated_rejection(text) {
                    self.emit(Event::ConfigRejected {
                        source: pull.source.clone(),
                        report,
                    });
                }
                self.reject_config(pull, now);
            }
        }
    }

    fn accept_config(&mut self, pull: &Pull, now: Instant) {
        let Some(held) = self.configuration.current() else {
            return;
        };
        let config = held.config.clone();
        self.emit(Event::ConfigAccepted {
            version: config.version,
            source: pull.source.clone(),
        });
        self.emit_action(Action::ApplyConfig(config));
        self.announce(now);
    }

    /// Notes that the platform has what is in force.
    fn record_config_read(&mut self, pull: &Pull) {
        if pull.source == Source::Platform {
            self.platform.config_backoff.record_success();
            self.confirm(Part::Config, pull);
        }
    }

    /// Asks a source that offered nothing usable less often.
    fn reject_config(&mut self, pull: &Pull, now: Instant) {
        if pull.source == Source::Platform {
            self.back_off_config(now);
        }
    }

    fn back_off_config(&mut self, now: Instant) {
        let is_reader = self.is_reader();
        let backoff = &mut self.platform.config_backoff;
        backoff.record_failure(is_reader, now, &mut self.random);
    }

    /// Reports another text with the version in force, once for each text.
    fn conflict(&mut self, digest: u64, source: Source) {
        let version = self.configuration.version();
        if self.peers.conflict.replace((version, digest)) != Some((version, digest)) {
            self.emit(Event::ConfigConflict { version, source });
        }
    }

    fn complete_config_pull(&mut self, pull: &Pull) {
        self.platform.config.end(pull.id);
        self.peers.config.end(pull.id);
    }
}
