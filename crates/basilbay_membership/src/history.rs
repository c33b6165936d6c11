//! Former configurations, kept to answer pulls with line edits.

use std::sync::Arc;

use basilbay_model::id::Version;
use basilbay_wire::control::Text;

use crate::diff;

/// Versions that are kept, the one in force included.
pub const MAX_VERSIONS: usize = 16;

/// Bytes of text that are kept, at least the text in force.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Texts by version, the newest last.
#[derive(Clone, Debug, Default)]
pub struct History {
    texts: Vec<(Version, Arc<str>)>,
    answers: Vec<(Version, Text)>,
}

impl History {
    /// Adds the text that came into force and drops what no longer fits.
    pub fn push(&mut self, version: Version, text: Arc<str>) {
        self.texts.push((version, text));
        self.answers.clear();
        while self.texts.len() > 1 && self.is_over_limits() {
            self.texts.remove(0);
        }
    }

    /// Answers a pull by a daemon that has version `have`.
    pub fn answer(&mut self, have: Version) -> Text {
        if let Ok(index) = self.answers.binary_search_by_key(&have, |entry| entry.0) {
            return self.answers[index].1.clone();
        }
        let text = self.compose(have);
        if matches!(text, Text::Edits(_)) {
            let index = self.answers.partition_point(|entry| entry.0 < have);
            self.answers.insert(index, (have, text.clone()));
        }
        text
    }

    /// Versions that are kept.
    pub fn versions(&self) -> impl Iterator<Item = Version> {
        self.texts.iter().map(|entry| entry.0)
    }

    fn compose(&self, have: Version) -> Text {
        let Some((_, newest)) = self.texts.last() else {
            return Text::Unchanged;
        };
        let found = self.texts.binary_search_by_key(&have, |entry| entry.0);
        let Ok(index) = found else {
            return Text::Full(newest.to_string());
        };
        let edits = diff::edits(&self.texts[index].1, newest);
        let lines = edits.iter().flat_map(|edit| &edit.added);
        let bytes: usize = lines.map(|line| line.len() + 3).sum();
        // Past half of the text, edits save little and cost the receiver a check.
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
