//! History of accepted configuration texts, from which pulls are answered with line edits instead
//! of the full text.
//!
//! Each full read of the platform may have a version of its own, so that after a start of all
//! daemons many versions have the same content. A daemon therefore states the digest of its text
//! without the version too: edits of any text with the same content apply to its own.

use std::sync::Arc;

use basilbay_model::finding::Report;
use basilbay_model::id::Version;
use basilbay_model::ini::Document;
use basilbay_wire::control::{Edit, Text};

use crate::diff;
use crate::view::{FILE, digest, digest_prefix};

/// Maximum number of versions kept, including the active one.
pub const MAX_VERSIONS: usize = 16;

/// Maximum total size of the texts kept; the active text is kept even if it is larger.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// A text that was active.
#[derive(Clone, Debug)]
struct Entry {
    version: Version,
    text: Arc<str>,
    /// Digest of the text without the line of its version.
    content: u64,
    /// Line of its version, counted from 0.
    version_line: usize,
}

impl Entry {
    fn new(version: Version, text: Arc<str>) -> Self {
        let document = Document::parse(FILE, &text, &mut Report::default());
        let section = document.section("basilbay");
        let entry = section.and_then(|section| section.entry("version"));
        let version_line = entry.map_or(0, |entry| entry.line.saturating_sub(1));
        let mut lines: Vec<&str> = text.split('\n').collect();
        if let Some(line) = lines.get_mut(version_line) {
            *line = "";
        }
        let content = digest_prefix(&digest(&lines.join("\n")));
        Self {
            version,
            text,
            content,
            version_line,
        }
    }

    /// Edit that turns a text with the same content into this one.
    fn restate(&self) -> Text {
        let line = self.text.split('\n').nth(self.version_line);
        Text::Edits(vec![Edit {
            line: self.version_line as u32,
            removed: 1,
            added: line.map(str::to_owned).into_iter().collect(),
        }])
    }
}

/// Texts sorted by version.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The last text is the active one.
    texts: Vec<Entry>,
    /// Edits to the newest text by the version that they apply to, sorted.
    edits_cache: Vec<(Version, Text)>,
}

impl History {
    /// Adds the text that became active and evicts the oldest ones beyond the limits.
    pub fn push(&mut self, version: Version, text: Arc<str>) {
        self.texts.push(Entry::new(version, text));
        self.edits_cache.clear();
        while self.texts.len() > 1 && self.is_over_limits() {
            self.texts.remove(0);
        }
    }

    /// Digest of the active text without its version; `None` before the first.
    pub fn content(&self) -> Option<u64> {
        self.texts.last().map(|entry| entry.content)
    }

    /// Response to a pull of a daemon that has version `have`: edits, or the full text. `content` is
    /// the digest of its text without the version, if it states one.
    pub fn text_since(&mut self, have: Version, content: Option<u64>) -> Text {
        let is_same = |entry: &&Entry| Some(entry.content) == content;
        if let Some(newest) = self.texts.last().filter(is_same) {
            return newest.restate();
        }
        let same = self.texts.iter().rev().find(is_same);
        let have = same.map_or(have, |entry| entry.version);
        if let Ok(index) = self
            .edits_cache
            .binary_search_by_key(&have, |entry| entry.0)
        {
            return self.edits_cache[index].1.clone();
        }
        let text = self.build_text(have);
        if matches!(text, Text::Edits(_)) {
            let index = self.edits_cache.partition_point(|entry| entry.0 < have);
            self.edits_cache.insert(index, (have, text.clone()));
        }
        text
    }

    /// Versions kept.
    pub fn versions(&self) -> impl Iterator<Item = Version> {
        self.texts.iter().map(|entry| entry.version)
    }

    fn build_text(&self, have: Version) -> Text {
        let Some(Entry { text: newest, .. }) = self.texts.last() else {
            return Text::Unchanged;
        };
        let position = self
            .texts
            .binary_search_by_key(&have, |entry| entry.version);
        let Ok(index) = position else {
            return Text::Full(newest.to_string());
        };
        let edits = diff::edits(&self.texts[index].text, newest);
        let lines = edits.iter().flat_map(|edit| &edit.added);
        let bytes: usize = lines.map(|line| line.len() + 3).sum();
        // Edits larger than half of the text save little and require the receiver to verify them.
        if bytes > newest.len() / 2 {
            return Text::Full(newest.to_string());
        }
        Text::Edits(edits)
    }

    fn is_over_limits(&self) -> bool {
        let bytes: usize = self.texts.iter().map(|entry| entry.text.len()).sum();
        self.texts.len() > MAX_VERSIONS || bytes > MAX_BYTES
    }
}
