//! Difference between two configurations, by section and key.
//!
//! The parsed configurations are compared, not the texts: comments, order, and defaults that only
//! one file spells out make no difference.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use super::Config;
use super::print::{self, Section};
use crate::id::Version;

/// How a key differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase", tag = "effect")]
pub enum Effect {
    /// Only the new configuration has the key.
    Added {
        /// Value in the new configuration.
        new: Arc<str>,
    },
    /// Only the old configuration has the key.
    Removed {
        /// Value in the old configuration.
        old: Arc<str>,
    },
    /// Both configurations have the key, with different values.
    Changed {
        /// Value in the old configuration.
        old: Arc<str>,
        /// Value in the new configuration.
        new: Arc<str>,
    },
}

/// A key that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Section of the key.
    pub section: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// How the key differs.
    #[serde(flatten)]
    pub effect: Effect,
}

/// Difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Version of the old configuration.
    pub old_version: Version,
    /// Version of the new configuration.
    pub new_version: Version,
    /// Sections that only the new configuration has, sorted.
    pub added_sections: Vec<Arc<str>>,
    /// Sections that only the old configuration has, sorted.
    pub removed_sections: Vec<Arc<str>>,
    /// Keys that differ, sorted by section, without the version.
    pub changes: Vec<Change>,
}

impl Diff {
    /// Whether the configurations are equal apart from the version.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Compares two configurations.
pub fn between(old: &Config, new: &Config) -> Diff {
    let old_sections = sorted_sections(old);
    let new_sections = sorted_sections(new);
    let mut diff = Diff {
        old_version: old.version,
        new_version: new.version,
        added_sections: Vec::new(),
        removed_sections: Vec::new(),
        changes: Vec::new(),
    };
    let names: BTreeSet<&Arc<str>> = old_sections
        .iter()
        .chain(&new_sections)
        .map(|section| &section.name)
        .collect();
    for name in names {
        let (before, after) = (find(&old_sections, name), find(&new_sections, name));
        match (before, after) {
            (None, Some(_)) => diff.added_sections.push(name.clone()),
            (Some(_), None) => diff.removed_sections.push(name.clone()),
            _ => {}
        }
        compare(name, before, after, &mut diff.changes);
    }
    diff
}

/// Returns the sections sorted by name, without the one of the version.
fn sorted_sections(config: &Config) -> Vec<Section> {
    let mut sections = print::sections(config);
    sections.retain(|section| &*section.name != "basilbay");
    sections.sort_by(|left, right| left.name.cmp(&right.name));
    sections
}

fn find<'a>(sections: &'a [Section], name: &str) -> Option<&'a Section> {
    let index = sections
        .binary_search_by(|section| (*section.name).cmp(name))
        .ok()?;
    sections.get(index)
}

/// Adds the keys that differ between two sections of the same name; `None` means that the
/// configuration lacks the section.
fn compare(
    name: &Arc<str>,
    before: Option<&Section>,
    after: Option<&Section>,
    changes: &mut Vec<Change>,
) {
    let old_entries = before.map_or(&[][..], |section| &section.entries);
    let new_entries = after.map_or(&[][..], |section| &section.entries);
    let removed = old_entries
        .iter()
        .map(|(key, _)| *key)
        .filter(|key| value(new_entries, key).is_none());
    let keys = new_entries.iter().map(|(key, _)| *key).chain(removed);
    for key in keys {
        let Some(effect) = effect(value(old_entries, key), value(new_entries, key)) else {
            continue;
        };
        changes.push(Change {
            section: name.clone(),
            key: Arc::from(key),
            effect,
        });
    }
}

fn value<'a>(entries: &'a [(&'static str, String)], key: &str) -> Option<&'a str> {
    entries
        .iter()
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value.as_str())
}

/// Returns how the value of a key differs; `None` if it does not.
fn effect(old: Option<&str>, new: Option<&str>) -> Option<Effect> {
    match (old.map(Arc::from), new.map(Arc::from)) {
        (None, Some(new)) => Some(Effect::Added { new }),
        (Some(old), None) => Some(Effect::Removed { old }),
        (Some(old), Some(new)) if old != new => Some(Effect::Changed { old, new }),
        _ => None,
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "version {} -> {}", self.old_version, self.new_version)?;
        if self.is_empty() {
            return writeln!(out, "no other difference");
        }
        let mut section = "";
        for change in &self.changes {
            if section != &*change.section {
                section = &change.section;
                writeln!(out, "{}[{section}]", self.marker(&change.section))?;
            }
            writeln!(out, "{change}")?;
        }
        Ok(())
    }
}

impl Diff {
    /// `+` for an added section, `-` for a removed one, a space otherwise.
    fn marker(&self, section: &Arc<str>) -> char {
        if self.added_sections.contains(section) {
            '+'
        } else if self.removed_sections.contains(section) {
            '-'
        } else {
            ' '
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match &self.effect {
            Effect::Added { new } => write!(out, "+  {key} = {new}"),
            Effect::Removed { old } => write!(out, "-  {key} = {old}"),
            Effect::Changed { old, new } => write!(out, "   {key} = {old} -> {new}"),
        }
    }
}
