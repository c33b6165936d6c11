//! Versions in force: they only go forward.
//!
//! An equal version with other content is refused, and a file with findings is refused whole. The
//! roster carries an as-of time next to its version: a daemon that hears a later as-of time for the
//! version that it holds knows that the list has not changed until then.

use std::sync::Arc;

use basilbay_model::config::Config;
use basilbay_model::finding::Report;
use basilbay_model::id::{Digest, Version};
use basilbay_model::ini::Document;
use basilbay_model::roster::{Roster, Timestamp};
use basilbay_wire::control::Edit;
use sha2::{Digest as _, Sha256};

use crate::diff;
use crate::history::History;

/// Name of the published file in findings.
const FILE: &str = "configuration";

/// What became of an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is newer and in force now.
    Accepted,
    /// It is the one in force.
    Unchanged,
    /// It is older than the one in force.
    Older(Version),
    /// It carries the version in force and differs.
    Conflict,
    /// It has findings.
    Rejected(Report),
}

/// SHA-256 of a text.
pub fn digest(text: &str) -> Digest {
    Sha256::digest(text.as_bytes()).into()
}

/// First 8 bytes of a digest, as heartbeats carry them.
pub fn digest_prefix(digest: &Digest) -> u64 {
    digest
        .iter()
        .take(8)
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct Current {
    /// The parsed file.
    pub config: Arc<Config>,
    /// Its text.
    pub text: Arc<str>,
    /// Digest of the text.
    pub digest: Digest,
}

/// The configuration side of a view.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    held: Option<Current>,
    history: History,
    rejected: Option<Digest>,
    seen: Version,
}

impl ConfigView {
    /// The configuration in force.
    pub fn current(&self) -> Option<&Current> {
        self.held.as_ref()
    }

    /// Version in force, or 0.
    pub fn version(&self) -> Version {
        self.held.as_ref().map_or(0, |held| held.config.version)
    }

    /// Digest in force, or zeros.
    pub fn digest(&self) -> Digest {
        self.held.as_ref().map_or([0; 32], |held| held.digest)
    }

    /// Highest version that was offered, rejected ones included.
    ///
    /// A watch starts after it: a rejected file would otherwise be delivered again at once.
    pub fn seen(&self) -> Version {
        self.seen.max(self.version())
    }

    /// Former texts.
    pub fn history(&mut self) -> &mut History {
        &mut self.history
    }

    /// Whether a rejected text was already reported; it is remembered.
    pub fn is_repeated_rejection(&mut self, text: &str) -> bool {
        let digest = digest(text);
        self.rejected.replace(digest) == Some(digest)
    }

    /// Takes a text into force when it is newer and clean.
    pub fn offer(&mut self, text: &Arc<str>) -> Verdict {
        let digest = digest(text);
        if self.held.as_ref().is_some_and(|held| held.digest == digest) {
            return Verdict::Unchanged;
        }
        let config = match Config::parse(FILE, text) {
            Ok(config) => config,
            Err(report) => {
                self.seen = self.seen.max(declared_version(text));
                return Verdict::Rejected(report);
            }
        };
        if config.version < self.version() {
            return Verdict::Older(config.version);
        }
        if config.version == self.version() {
            return Verdict::Conflict;
        }
        self.history.push(config.version, text.clone());
        self.held = Some(Current {
            config: Arc::new(config),
            text: text.clone(),
            digest,
        });
        Verdict::Accepted
    }

    /// Applies edits to the text in force; `None` when the result has another digest.
    pub fn apply_edits(&self, edits: &[Edit], expected: &Digest) -> Option<Arc<str>> {
        let held = self.held.as_ref()?;
        let text = diff::apply(&held.text, edits)?;
        (digest(&text) == *expected).then(|| Arc::from(text))
    }
}

/// Version that a text with findings states, or 0.
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

/// The roster side of a view.
#[derive(Clone, Debug, Default)]
pub struct RosterView {
    roster: Option<Arc<Roster>>,
    as_of_ms: Timestamp,
}

impl RosterView {
    /// The roster in force.
    pub fn roster(&self) -> Option<&Arc<Roster>> {
        self.roster.as_ref()
    }

    /// Version in force, or 0.
    pub fn version(&self) -> Version {
        self.roster.as_ref().map_or(0, |roster| roster.version)
    }

    /// Latest time at which the list is known to have been at the version in force.
    pub fn as_of_ms(&self) -> Timestamp {
        self.as_of_ms
    }

    /// Takes a roster into force when it is newer.
    ///
    /// An equal version without instances says that nothing changed until its as-of time.
    pub fn offer(&mut self, roster: Arc<Roster>) -> Verdict {
        let held = self.roster.as_ref();
        let Some(held) = held.filter(|held| roster.version <= held.version) else {
            self.as_of_ms = roster.as_of_ms;
            self.roster = Some(sorted(roster));
            return Verdict::Accepted;
        };
        if roster.version < held.version {
            return Verdict::Older(roster.version);
        }
        let differs =
            !roster.instances.is_empty() && sorted(roster.clone()).instances != held.instances;
        if differs {
            return Verdict::Conflict;
        }
        self.advance_as_of(roster.version, roster.as_of_ms);
        Verdict::Unchanged
    }

    /// Raises the as-of time to one heard for the same version; tells whether it rose.
    pub fn advance_as_of(&mut self, version: Version, as_of_ms: Timestamp) -> bool {
        let raises = version != 0 && version == self.version() && as_of_ms > self.as_of_ms;
        if raises {
            self.as_of_ms = as_of_ms;
        }
        raises
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
