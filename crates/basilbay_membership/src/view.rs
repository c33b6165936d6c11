//! Active configuration and roster, whose versions only increase. Each offered configuration or
//! roster is compared with the active one; the result is a [`Verdict`].
//!
//! Different content with the active version is refused, and a file with findings is rejected as a
//! whole. The roster has an as-of time in addition to its version: a later as-of time received for
//! the active version shows that the instance list has not changed until then.

use std::sync::Arc;

use basilbay_model::config::Config;
use basilbay_model::finding::Report;
use basilbay_model::id::{Digest, Serial, Version};
use basilbay_model::ini::Document;
use basilbay_model::roster::{Instance, Roster, Timestamp};
use basilbay_model::version;
use basilbay_wire::control::{Changes, Edit};
use sha2::{Digest as _, Sha256};

use crate::change::{self, Log};
use crate::diff;
use crate::history::History;

/// Name of the published file, as it appears in findings.
pub(crate) const FILE: &str = "configuration";

/// Result of offering a configuration or roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The offered one is newer and now active.
    Accepted,
    /// The offered one equals the active one.
    Unchanged,
    /// The offered one has this version, which is older than the active one.
    Older(Version),
    /// The offered one comes from an older copy of the platform's content: it has a later era and
    /// this serial, which is lower than the active one.
    Superseded(Serial),
    /// The offered one has the active version but different content.
    Conflict,
    /// The offered one has these findings.
    Rejected(Report),
}

/// SHA-256 digest of a text.
pub fn digest(text: &str) -> Digest {
    Sha256::digest(text.as_bytes()).into()
}

/// First 8 bytes of a digest, as carried by heartbeats.
pub fn digest_prefix(digest: &Digest) -> u64 {
    digest
        .iter()
        .take(8)
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// The active configuration.
#[derive(Clone, Debug)]
pub struct Current {
    /// The parsed file.
    pub config: Arc<Config>,
    /// Its text.
    pub text: Arc<str>,
    /// Digest of the text.
    pub digest: Digest,
}

/// Configuration part of a view.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    current: Option<Current>,
    history: History,
    /// Digest of the last rejected text; `None` if no text was rejected.
    last_rejected: Option<Digest>,
    /// Highest version of a rejected or superseded text; 0 if there was none.
    highest_seen: Version,
}

impl ConfigView {
    /// The active configuration; `None` before the first.
    pub fn current(&self) -> Option<&Current> {
        self.current.as_ref()
    }

    /// Active version, or 0.
    pub fn version(&self) -> Version {
        self.current
            .as_ref()
            .map_or(0, |current| current.config.version)
    }

    /// Digest of the active text, or zeros.
    pub fn digest(&self) -> Digest {
        self.current
            .as_ref()
            .map_or([0; 32], |current| current.digest)
    }

    /// Highest version that was offered, including rejected and superseded ones.
    ///
    /// Watches start after this version; otherwise a rejected file would be delivered again
    /// immediately.
    pub fn highest_seen(&self) -> Version {
        self.highest_seen.max(self.version())
    }

    /// Digest of the active text without its version; `None` before the first.
    pub fn content(&self) -> Option<u64> {
        self.history.content()
    }

    /// History of accepted texts.
    pub fn history(&mut self) -> &mut History {
        &mut self.history
    }

    /// Whether this text is the one that was rejected last; records it as such.
    pub fn is_repeated_rejection(&mut self, text: &str) -> bool {
        let digest = digest(text);
        self.last_rejected.replace(digest) == Some(digest)
    }

    /// Activates a text if it is newer and has no findings.
    pub fn offer(&mut self, text: &Arc<str>) -> Verdict {
        let digest = digest(text);
        if self
            .current
            .as_ref()
            .is_some_and(|current| current.digest == digest)
        {
            return Verdict::Unchanged;
        }
        let config = match Config::parse(FILE, text) {
            Ok(config) => config,
            Err(report) => {
                self.highest_seen = self.highest_seen.max(declared_version(text));
                return Verdict::Rejected(report);
            }
        };
        if config.version < self.version() {
            return Verdict::Older(config.version);
        }
        if config.version == self.version() {
            return Verdict::Conflict;
        }
        if self.is_superseded(&config) {
            // The next watch waits for a later one.
            self.highest_seen = self.highest_seen.max(config.version);
            return Verdict::Superseded(config.serial);
        }
        self.history.push(config.version, text.clone());
        self.current = Some(Current {
            config: Arc::new(config),
            text: text.clone(),
            digest,
        });
        Verdict::Accepted
    }

    /// Whether a configuration of a later era has content from before the active one. Within an era,
    /// the version alone decides.
    fn is_superseded(&self, offered: &Config) -> bool {
        self.current.as_ref().is_some_and(|current| {
            version::era(offered.version) > version::era(current.config.version)
                && offered.serial < current.config.serial
        })
    }

    /// Applies edits to the active text; `None` if the result does not have the expected digest.
    pub fn apply_edits(&self, edits: &[Edit], expected: &Digest) -> Option<Arc<str>> {
        let current = self.current.as_ref()?;
        let text = diff::apply(&current.text, edits)?;
        (digest(&text) == *expected).then(|| Arc::from(text))
    }
}

/// Version declared in a text that has findings, or 0.
fn declared_version(text: &str) -> Version {
    let mut report = Report::default();
    let document = Document::parse(FILE, text, &mut report);
    let entry = document
        .section("basilbay")
        .and_then(|section| section.entry("version"));
    entry
        .and_then(|entry| entry.value.parse().ok())
        .unwrap_or(0)
}

/// Roster part of a view.
#[derive(Clone, Debug, Default)]
pub struct RosterView {
    roster: Option<Arc<Roster>>,
    /// Digest of the active instances; 0 without a roster.
    digest: u64,
    as_of_ms: Timestamp,
    log: Log,
}

impl RosterView {
    /// The active roster; `None` before the first.
    pub fn roster(&self) -> Option<&Arc<Roster>> {
        self.roster.as_ref()
    }

    /// Active version, or 0.
    pub fn version(&self) -> Version {
        self.roster.as_ref().map_or(0, |roster| roster.version)
    }

    /// Digest of the active instances; `None` before the first roster.
    pub fn digest(&self) -> Option<u64> {
        self.roster.as_ref().map(|_| self.digest)
    }

    /// Changes from version `have`, whose instances have this digest, to the active version; `None`
    /// if all instances are needed.
    pub fn changes_since(&self, have: Version, digest: u64) -> Option<Changes> {
        let roster = self.roster.as_ref()?;
        if digest == self.digest {
            return Some(Changes {
                base: have,
                updated: Vec::new(),
                removed: Vec::new(),
                digest,
            });
        }
        self.log.since(have, roster, self.digest)
    }

    /// Applies changes to the active instances; `None` if they do not apply to the active version
    /// or the result does not have the stated digest.
    pub fn apply_changes(&self, changes: &Changes) -> Option<Vec<Instance>> {
        let roster = self.roster.as_ref()?;
        if roster.version != changes.base {
            return None;
        }
        change::apply(&roster.instances, changes)
    }

    /// Latest time at which the instance list is known to have been at the active version; 0
    /// without a roster.
    pub fn as_of_ms(&self) -> Timestamp {
        self.as_of_ms
    }

    /// Activates a roster if it is newer.
    ///
    /// The active version without instances means that nothing has changed until its as-of time.
    pub fn offer(&mut self, roster: Arc<Roster>) -> Verdict {
        let current = self.roster.as_ref();
        let Some(current) = current.filter(|current| roster.version <= current.version) else {
            let roster = sorted(roster);
            self.log.record(self.roster.as_deref(), &roster);
            self.as_of_ms = roster.as_of_ms;
            self.digest = change::digest(&roster.instances);
            self.roster = Some(roster);
            return Verdict::Accepted;
        };
        if roster.version < current.version {
            return Verdict::Older(roster.version);
        }
        let differs =
            !roster.instances.is_empty() && sorted(roster.clone()).instances != current.instances;
        if differs {
            return Verdict::Conflict;
        }
        self.advance_as_of(roster.version, roster.as_of_ms);
        Verdict::Unchanged
    }

    /// Advances the as-of time if `version` is the active one; returns whether it advanced.
    pub fn advance_as_of(&mut self, version: Version, as_of_ms: Timestamp) -> bool {
        let advances = version != 0 && version == self.version() && as_of_ms > self.as_of_ms;
        if advances {
            self.as_of_ms = as_of_ms;
        }
        advances
    }
}

fn sorted(roster: Arc<Roster>) -> Arc<Roster> {
    if roster
        .instances
        .is_sorted_by(|left, right| left.id <= right.id)
    {
        return roster;
    }
    let mut roster = Arc::unwrap_or_clone(roster);
    roster.sort();
    Arc::new(roster)
}
