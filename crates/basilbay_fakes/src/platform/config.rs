//! Published configurations, in order of publication.
//!
//! Readers get the last configuration, or an older one while the fault `stale_version` is set.

use std::collections::VecDeque;

use basilbay_model::config::MAX_CONFIG_BYTES;
use basilbay_model::finding::Report;
use basilbay_model::id::Version;
use basilbay_model::ini::Document;
use bytes::Bytes;

/// Result of publishing.
pub type Result<T> = std::result::Result<T, Error>;

/// Published texts that are retained for stale responses; at up to 1 MB each, 64 bound the memory
/// to 64 MB.
const MAX_TEXTS: usize = 64;

/// Reason why a text was not published.
///
/// The service accepts any text that has a version. It does not reject invalid configurations, a
/// lower version than before or the same version with different content, because readers must
/// handle all of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text exceeds [`MAX_CONFIG_BYTES`].
    Size,
    /// The section `[basilbay]` has no `version`, or one that is not a whole number.
    Version,
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Size => write!(
                formatter,
                "configuration exceeds the limit of {MAX_CONFIG_BYTES} bytes"
            ),
            Self::Version => {
                formatter.write_str("section [basilbay] has no version that is a whole number")
            }
        }
    }
}

impl std::error::Error for Error {}

/// A published text.
#[derive(Clone, Debug)]
pub(super) struct Text {
    pub(super) version: Version,
    pub(super) bytes: Bytes,
}

/// The published texts, oldest first.
#[derive(Default)]
pub(super) struct Store {
    texts: VecDeque<Text>,
}

impl Store {
    pub(super) fn publish(&mut self, text: &str) -> Result<Version> {
        if text.len() > MAX_CONFIG_BYTES {
            return Err(Error::Size);
        }
        let version = parse_version(text).ok_or(Error::Version)?;
        if self.texts.len() == MAX_TEXTS {
            self.texts.pop_front();
        }
        self.texts.push_back(Text {
            version,
            bytes: Bytes::copy_from_slice(text.as_bytes()),
        });
        Ok(version)
    }

    /// Returns the last published text whose version does not exceed `max_version`, if that is
    /// given, or else the oldest retained text; `None` if nothing was published.
    pub(super) fn read(&self, max_version: Option<Version>) -> Option<Text> {
        let max_version = max_version.unwrap_or(Version::MAX);
        self.texts
            .iter()
            .rev()
            .find(|text| text.version <= max_version)
            .or(self.texts.front())
            .cloned()
    }
}

/// Version in the section `[basilbay]`; `None` if it is missing or not a whole number.
fn parse_version(text: &str) -> Option<Version> {
    let mut report = Report::default();
    let document = Document::parse("published", text, &mut report);
    let section = document.section("basilbay")?;
    section.entry("version")?.value.parse().ok()
}
