//! History of accepted configuration texts, from which pulls are answered with line edits instead
//! of the full text.

use std::sync::Arc;

use basilbay_model::id::Version;
use basilbay_wire::control::Text;

use crate::diff;

/// Maximum number of versions kept, including the active one.
pub const MAX_VERSIONS: usize = 16;

/// Maximum total size of the texts kept; the active text is kept even if it is larger.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Texts sorted by version.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The last text is the active one.
    texts: Vec<(Version, Arc<str>)>,
    /// Edits to the newest text by the version that they apply to, sorted.
    edits_cache: Vec<(Version, Text)>,
}

impl History {
    /// Adds the text that became active and evicts the oldest ones beyond the limits.
    pub fn push(&mut self, version: Version, text: Arc<str>) {
        self.texts.push((version, text));
        self.edits_cache.clear();
        while self.texts.len() > 1 && self.is_over_limits() {
            self.texts.remove(0);
        }
    }

    /// Response to a pull of a daemon that has version `have`: edits, or the full text.
    pub fn text_since(&mut self, have: Version) -> Text {
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
        self.texts.iter().map(|entry| entry.0)
    }

    fn build_text(&self, have: Version) -> Text {
        let Some((_, newest)) = self.texts.last() else {
            return Text::Unchanged;
        };
        let position = self.texts.binary_search_by_key(&have, |entry| entry.0);
        let Ok(index) = position else {
            return Text::Full(newest.to_string());
        };
        let edits = diff::edits(&self.texts[index].1, newest);
        let lines = edits.iter().flat_map(|edit| &edit.added);
        let bytes: usize = lines.map(|line| line.len() + 3).sum();
        // Edits larger than half of the text save little and require the receiver to verify them.
        if bytes > newest.len() / 2 {
            return Text::Full(newest.to_string());
        }
        Text::Edits(edits)
    }

    fn is_over_limits(&self) -> bool {
        let bytes: usize = self.texts.iter().map(|entry| entry.1.len()).sum();
        self.texts.len() > MAX_VERSIONS || bytes > MAX_BYTES
    }
}
