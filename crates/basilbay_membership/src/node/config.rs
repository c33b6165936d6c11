//! Handling of configuration pulls: processes responses of the platform and of peers, and answers
//! pulls of peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use basilbay_model::config::Config;
use basilbay_model::id::{InstanceId, Version};
use basilbay_wire::control::{ConfigBody, Text};
use basilbay_wire::datagram::Heartbeat;
use basilbay_wire::frame::FORMAT_VERSION;

use super::Node;
use crate::action::{Action, Pull, Source};
use crate::event::{Event, Part};
use crate::gossip::EAGER_FANOUT;
use crate::view::{Verdict, digest_prefix};

impl Node {
    /// Handles a full configuration text from the platform.
    pub fn receive_config_text(&mut self, text: &Arc<str>, pull: &Pull, now: Instant) {
        self.observe(now);
        self.record_contact(&pull.source, now);
        self.complete_config_pull(pull);
        self.offer_config(text, pull, now);
        self.pull_newer(now);
    }

    /// Handles the response of a peer to a configuration pull.
    pub fn receive_config_body(&mut self, body: ConfigBody, pull: &Pull, now: Instant) {
        self.observe(now);
        self.record_contact(&pull.source, now);
        self.complete_config_pull(pull);
        let before = self.config_view.version();
        if body.version != 0 {
            self.apply_config_body(body, pull, now);
        }
        if self.config_view.version() == before {
            // The peer did not deliver the announced version. Its next heartbeat adds it again.
            self.peers.config.remove_candidate(&pull.source);
        }
        self.pull_newer(now);
    }

    /// Handles the response of the platform that there is no version newer than the active one.
    pub fn receive_config_unchanged(&mut self, pull: &Pull, now: Instant) {
        self.observe(now);
        self.record_contact(&pull.source, now);
        self.complete_config_pull(pull);
        self.platform.config_backoff.record_success();
        self.confirm(Part::Config, pull);
    }

    /// Handles the failure of a pull or watch.
    pub fn config_pull_failed(&mut self, pull: &Pull, now: Instant) {
        self.observe(now);
        self.complete_config_pull(pull);
        self.handle_config_failure(pull, now);
        self.pull_newer(now);
    }

    /// Answers a pull of a peer; `content` is the digest of its text without the version, if it states
    /// one. Only a node that is ready states that a version is the newest it
    /// knows, because a paused peer treats this as confirmation of its view.
    pub fn serve_config(
        &mut self,
        have: Version,
        content: Option<u64>,
        now: Instant,
    ) -> ConfigBody {
        self.observe(now);
        let version = self.config_view.version();
        let may_confirm = self.readiness(now).is_ready();
        let mut body = ConfigBody {
            format: FORMAT_VERSION,
            version,
            digest: self.config_view.digest(),
            text: Text::Unchanged,
        };
        if have < version {
            body.text = self.config_view.history().text_since(have, content);
        } else if !may_confirm {
            body.version = 0;
        }
        body
    }

    pub(super) fn handle_config_failure(&mut self, pull: &Pull, now: Instant) {
        if pull.source == Source::Platform {
            if !self.platform.config_backoff.has_failed() {
                self.push_event(Event::PlatformUnreachable { part: Part::Config });
            }
            self.back_off_config(now);
        } else {
            self.peers.config.remove_candidate(&pull.source);
            self.push_event(Event::PullFailed {
                part: Part::Config,
                source: pull.source.clone(),
            });
        }
    }

    /// Compares the configuration of a peer with the active one: records a newer version as a pull
    /// candidate, and reports a different text with the same version as a conflict.
    pub(super) fn compare_config(
        &mut self,
        id: &InstanceId,
        address: SocketAddr,
        heartbeat: &Heartbeat,
    ) {
        let version = self.config_view.version();
        if heartbeat.config_version > version {
            self.peers
                .config
                .add_candidate(id, address, heartbeat.config_version);
        }
        let digest = digest_prefix(&self.config_view.digest());
        if version != 0 && heartbeat.config_version == version && heartbeat.config_digest != digest
        {
            let source = Source::Peer {
                id: id.clone(),
                address,
            };
            self.report_conflict(heartbeat.config_digest, source);
        }
    }

    fn apply_config_body(&mut self, body: ConfigBody, pull: &Pull, now: Instant) {
        match body.text {
            Text::Unchanged => {
                self.check_unchanged(body.version, digest_prefix(&body.digest), pull);
            }
            Text::Full(text) => self.offer_config(&Arc::from(text), pull, now),
            Text::Edits(edits) => match self.config_view.apply_edits(&edits, &body.digest) {
                Some(text) => self.offer_config(&text, pull, now),
                None => self.pull_full_text(body.version, pull, now),
            },
        }
    }

    fn check_unchanged(&mut self, version: Version, digest: u64, pull: &Pull) {
        if version != self.config_view.version() {
            return;
        }
        if digest == digest_prefix(&self.config_view.digest()) {
            self.confirm(Part::Config, pull);
        } else {
            self.report_conflict(digest, pull.source.clone());
        }
    }

    /// Pulls the full text after edits whose result did not match the announced digest.
    fn pull_full_text(&mut self, version: Version, pull: &Pull, now: Instant) {
        if version <= self.config_view.version() {
            return;
        }
        self.push_event(Event::EditsMismatch {
            version,
            source: pull.source.clone(),
        });
        self.pull_config(pull.source.clone(), 0, now);
    }

    fn offer_config(&mut self, text: &Arc<str>, pull: &Pull, now: Instant) {
        let from_platform = pull.source == Source::Platform;
        let before = self.current_config().cloned();
        match self.config_view.offer(text) {
            Verdict::Accepted => {
                self.accept_config(before.as_deref(), pull, now);
                self.record_config_read(pull);
            }
            Verdict::Unchanged => self.record_config_read(pull),
            Verdict::Older(offered) => {
                if !from_platform || !self.platform.config_backoff.has_failed() {
                    self.push_event(Event::ConfigOlder {
                        offered,
                        version: self.config_view.version(),
                        source: pull.source.clone(),
                    });
                }
                self.reject_config(pull, now);
            }
            Verdict::Superseded(offered) => {
                if !self.config_view.is_repeated_rejection(text) {
                    let current = self.config_view.current();
                    self.push_event(Event::ConfigSuperseded {
                        offered,
                        serial: current.map_or(0, |current| current.config.serial),
                        source: pull.source.clone(),
                    });
                }
                // The operators' next write is due soon, so the platform is watched without delay.
                if from_platform {
                    self.platform.config_backoff.record_success();
                }
            }
            Verdict::Conflict => {
                self.report_conflict(
                    digest_prefix(&crate::view::digest(text)),
                    pull.source.clone(),
                );
                self.reject_config(pull, now);
            }
            Verdict::Rejected(report) => {
                if !self.config_view.is_repeated_rejection(text) {
                    self.push_event(Event::ConfigRejected {
                        source: pull.source.clone(),
                        report,
                    });
                }
                self.reject_config(pull, now);
            }
        }
    }

    fn accept_config(&mut self, before: Option<&Config>, pull: &Pull, now: Instant) {
        let Some(current) = self.config_view.current() else {
            return;
        };
        let config = current.config.clone();
        if let Some(before) = before {
            self.restoration.observe_config(before, &config, now);
        }
        self.push_event(Event::ConfigAccepted {
            version: config.version,
            source: pull.source.clone(),
        });
        self.apply_config(now);
        self.announce(EAGER_FANOUT, now);
    }

    /// Puts the active configuration in force, with what a restoration of the platform keeps.
    pub(super) fn apply_config(&mut self, now: Instant) {
        if let Some(config) = self.current_config() {
            let config = self.restoration.config(config, now);
            self.push_action(Action::ApplyConfig(config));
        }
    }

    /// Records that the platform has the active configuration.
    fn record_config_read(&mut self, pull: &Pull) {
        if pull.source == Source::Platform {
            self.platform.config_backoff.record_success();
            self.confirm(Part::Config, pull);
        }
    }

    /// Backs off from the platform after it offered no usable configuration.
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

    /// Reports a different text with the active version, unless the same text was just reported.
    fn report_conflict(&mut self, digest: u64, source: Source) {
        let version = self.config_view.version();
        if self.peers.reported_conflict.replace((version, digest)) != Some((version, digest)) {
            self.push_event(Event::ConfigConflict { version, source });
        }
    }

    fn complete_config_pull(&mut self, pull: &Pull) {
        self.platform.config.complete(pull.id);
        self.peers.config.complete(pull.id);
    }
}
