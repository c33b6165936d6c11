//! Answers about the configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use basilbay_model::id::{InstanceId, Version};
use basilbay_wire::control::{ConfigBody, Text};
use basilbay_wire::datagram::Heartbeat;
use basilbay_wire::frame::FORMAT_VERSION;

use super::Node;
use crate::action::{Action, Origin, Source};
use crate::event::{Event, Part};
use crate::view::{Verdict, short};

impl Node {
    /// Takes a whole text of the platform.
    pub fn config_text(&mut self, text: &Arc<str>, from: &Origin, now: Instant) {
        self.observe(now);
        self.answered(&from.source, now);
        self.end_config(from);
        self.offer_config(text, from, now);
        self.pull_newer(now);
    }

    /// Takes the answer of a peer.
    pub fn config_body(&mut self, body: ConfigBody, from: &Origin, now: Instant) {
        self.observe(now);
        self.answered(&from.source, now);
        self.end_config(from);
        let before = self.configuration.version();
        if body.version != 0 {
            self.take_config(body, from, now);
        }
        if self.configuration.version() == before {
            // Whatever this peer announced, it did not deliver; its next heartbeat counts again.
            self.hearing.config.drop_teller(&from.source);
        }
        self.pull_newer(now);
    }

    /// Notes that the platform has nothing after the version in force.
    pub fn config_unchanged(&mut self, from: &Origin, now: Instant) {
        self.observe(now);
        self.answered(&from.source, now);
        self.end_config(from);
        self.platform.config_backoff.succeed();
        self.confirm(Part::Config, from);
    }

    /// Notes that a pull or watch failed.
    pub fn config_failed(&mut self, from: &Origin, now: Instant) {
        self.observe(now);
        self.end_config(from);
        self.lose_config(from, now);
        self.pull_newer(now);
    }

    /// Answers a peer's pull. Only a node that serves says that a version is the newest it knows:
    /// the peer takes that as a confirmation after a pause.
    pub fn serve_config(&mut self, have: Version, now: Instant) -> ConfigBody {
        self.observe(now);
        let version = self.configuration.version();
        let confirms = self.standing(now).serves();
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

    pub(super) fn lose_config(&mut self, from: &Origin, now: Instant) {
        if from.source == Source::Platform {
            if !self.platform.config_backoff.has_failed() {
                self.emit(Event::PlatformUnreachable { part: Part::Config });
            }
            self.fail_config_read(now);
        } else {
            self.hearing.config.drop_teller(&from.source);
            self.emit(Event::PullFailed {
                part: Part::Config,
                source: from.source.clone(),
            });
        }
    }

    /// Notes a newer version that a peer has, or another text with the same version.
    pub(super) fn compare_config(&mut self, id: &InstanceId, from: SocketAddr, beat: &Heartbeat) {
        let version = self.configuration.version();
        if beat.config_version > version {
            self.hearing.config.tell(id, from, beat.config_version);
        }
        let digest = short(&self.configuration.digest());
        if version != 0 && beat.config_version == version && beat.config_digest != digest {
            let source = Source::Peer {
                id: id.clone(),
                address: from,
            };
            self.conflict(beat.config_digest, source);
        }
    }

    fn take_config(&mut self, body: ConfigBody, from: &Origin, now: Instant) {
        match body.text {
            Text::Unchanged => self.take_same(body.version, short(&body.digest), from),
            Text::Full(text) => self.offer_config(&Arc::from(text), from, now),
            Text::Edits(edits) => match self.configuration.edited(&edits, &body.digest) {
                Some(text) => self.offer_config(&text, from, now),
                None => self.pull_whole(body.version, from, now),
            },
        }
    }

    fn take_same(&mut self, version: Version, digest: u64, from: &Origin) {
        if version != self.configuration.version() {
            return;
        }
        if digest == short(&self.configuration.digest()) {
            self.confirm(Part::Config, from);
        } else {
            self.conflict(digest, from.source.clone());
        }
    }

    /// Pulls the whole text after edits that did not fit.
    fn pull_whole(&mut self, version: Version, from: &Origin, now: Instant) {
        if version <= self.configuration.version() {
            return;
        }
        self.emit(Event::EditsMismatch {
            version,
            source: from.source.clone(),
        });
        self.pull_config(from.source.clone(), 0, now);
    }

    fn offer_config(&mut self, text: &Arc<str>, from: &Origin, now: Instant) {
        let by_platform = from.source == Source::Platform;
        match self.configuration.offer(text) {
            Verdict::Accepted => {
                self.accept_config(from, now);
                self.settle_read(from);
            }
            Verdict::Same => self.settle_read(from),
            Verdict::Older(offered) => {
                if !by_platform || !self.platform.config_backoff.has_failed() {
                    self.emit(Event::ConfigOlder {
                        offered,
                        version: self.configuration.version(),
                        source: from.source.clone(),
                    });
                }
                self.distrust(from, now);
            }
            Verdict::Conflict => {
                self.conflict(short(&crate::view::digest(text)), from.source.clone());
                self.distrust(from, now);
            }
            Verdict::Rejected(report) => {
                if !self.configuration.repeats_rejection(text) {
                    self.emit(Event::ConfigRejected {
                        source: from.source.clone(),
                        report,
                    });
                }
                self.distrust(from, now);
            }
        }
    }

    fn accept_config(&mut self, from: &Origin, now: Instant) {
        let Some(held) = self.configuration.held() else {
            return;
        };
        let config = held.config.clone();
        self.emit(Event::ConfigAccepted {
            version: config.version,
            source: from.source.clone(),
        });
        self.emit_action(Action::ConfigInForce(config));
        self.announce(now);
    }

    /// Notes that the platform has what is in force.
    fn settle_read(&mut self, from: &Origin) {
        if from.source == Source::Platform {
            self.platform.config_backoff.succeed();
            self.confirm(Part::Config, from);
        }
    }

    /// Asks a source that offered nothing usable less often.
    fn distrust(&mut self, from: &Origin, now: Instant) {
        if from.source == Source::Platform {
            self.fail_config_read(now);
        }
    }

    fn fail_config_read(&mut self, now: Instant) {
        let is_reader = self.is_reader();
        let backoff = &mut self.platform.config_backoff;
        backoff.fail(is_reader, now, &mut self.random);
    }

    /// Reports another text with the version in force, once for each text.
    fn conflict(&mut self, digest: u64, source: Source) {
        let version = self.configuration.version();
        if self.hearing.conflict.replace((version, digest)) != Some((version, digest)) {
            self.emit(Event::ConfigConflict { version, source });
        }
    }

    fn end_config(&mut self, from: &Origin) {
        self.platform.config.end(from.ticket);
        self.hearing.config.end(from.ticket);
    }
}
