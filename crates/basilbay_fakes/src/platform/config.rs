//! Published configurations, newest last.

use std::collections::VecDeque;

use basilbay_model::config::MAX_CONFIG_BYTES;
use basilbay_model::finding::Report;
use basilbay_model::id::Version;
use basilbay_model::ini::Document;
use bytes::Bytes;

/// Result of publishing.
pub type Result<T> = std::result::Result<T, Error>;

/// Published texts that are kept for stale answers; at 1 MB each they bound the memory.
const KEPT: usize = 64;

/// Why a text cannot be published.
///
/// The service takes any text with a version: files with findings, versions that go back and equal
/// versions with other content are published as they are, since readers must withstand them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It is larger than the service takes.
    Size,
    /// Its `[basilbay]` section has no whole number as version.
    Version,
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Size => write!(formatter, "larger than {MAX_CONFIG_BYTES} bytes"),
            Self::Version => formatter.write_str("no version in the section [basilbay]"),
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

/// All published texts.
#[derive(Default)]
pub(super) struct Store {
    texts: VecDeque<Text>,
}

impl Store {
    pub(super) fn publish(&mut self, text: &str) -> Result<Version> {
        if text.len() > MAX_CONFIG_BYTES {
            return Err(Error::Size);
        }
        let version = version(text).ok_or(Error::Version)?;
        if self.texts.len() == KEPT {
            self.texts.pop_front();
        }
        self.texts.push_back(Text {
            version,
            bytes: Bytes::copy_from_slice(text.as_bytes()),
        });
        Ok(version)
    }

    /// The text that a reader gets: the last one, or the last one that is not above `stale`.
    pub(super) fn read(&self, stale: Option<Version>) -> Option<Text> {
        let newest = stale.unwrap_or(Version::MAX);
        self.texts
            .iter()
            .rev()
            .find(|text| text.version <= newest)
            .or(self.texts.front())
            .cloned()
    }
}

fn version(text: &str) -> Option<Version> {
    let mut report = Report::default();
    let document = Document::parse("published", text, &mut report);
    let section = document.section("basilbay")?;
    section.entry("version")?.value.parse().ok()
}
