//! Idempotency keys and their issue times.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use basilbay_model::roster::Timestamp;
use basilbay_wire::header::MAX_KEY_BYTES;
use uuid::{Uuid, Variant, Version};

use crate::digest;

/// Largest difference between any clock and the list's clock that the rules allow for.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// Result of reading a key.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a text is not a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It has no characters.
    Empty,
    /// It has more than 128 characters.
    TooLong(usize),
    /// It has a character that is not visible ASCII, at this byte.
    InvalidByte(usize),
    /// It was issued this many milliseconds after the present.
    InFuture(u64),
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(out, "the idempotency key is empty"),
            Self::TooLong(size) => {
                write!(
                    out,
                    "the idempotency key has {size} bytes, at most {MAX_KEY_BYTES}"
                )
            }
            Self::InvalidByte(at) => {
                write!(out, "byte {at} of the idempotency key is not visible ASCII")
            }
            Self::InFuture(ahead) => {
                write!(
                    out,
                    "the idempotency key is issued {ahead} ms in the future"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

/// When a key was issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// At this time by its caller's clock (`UUIDv7`).
    UuidV7(Timestamp),
    /// At an unknown time within the retention.
    Opaque,
}

/// An idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Text as the caller sent it; two spellings of one UUID are two keys.
    pub text: Arc<str>,
    /// When it was issued.
    pub format: Format,
    digest: u128,
}

impl Key {
    /// Reads a key at a local wall-clock time.
    pub fn parse(text: &str, wall: SystemTime) -> Result<Self> {
        check(text)?;
        let format = format_of(text);
        if let Format::UuidV7(at) = format {
            check_future(at, unix_ms(wall))?;
        }
        Ok(Self {
            text: Arc::from(text),
            format,
            digest: digest::wide(&[text.as_bytes()]),
        })
    }

    /// First 16 bytes of SHA-256 of the text, by which daemons remember the key.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Half of the digest, for rendezvous hashing.
    pub(crate) fn hash(&self) -> u64 {
        self.digest as u64
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms(wall: SystemTime) -> Timestamp {
    wall.duration_since(UNIX_EPOCH).map_or(0, millis)
}

/// Whole milliseconds of a duration.
pub(crate) fn millis(from: Duration) -> u64 {
    u64::try_from(from.as_millis()).unwrap_or(u64::MAX)
}

fn check(text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_KEY_BYTES {
        return Err(Error::TooLong(text.len()));
    }
    match text.bytes().position(|byte| !byte.is_ascii_graphic()) {
        Some(at) => Err(Error::InvalidByte(at)),
        None => Ok(()),
    }
}

fn check_future(at: Timestamp, wall: Timestamp) -> Result<()> {
    let ahead = at.saturating_sub(wall);
    if ahead > millis(MAX_CLOCK_SKEW) {
        return Err(Error::InFuture(ahead));
    }
    Ok(())
}

fn format_of(text: &str) -> Format {
    let Ok(uuid) = Uuid::try_parse(text) else {
        return Format::Opaque;
    };
    let is_v7 = uuid.get_version() == Some(Version::SortRand);
    if !is_v7 || uuid.get_variant() != Variant::RFC4122 {
        return Format::Opaque;
    }
    // The first 48 bits of a UUIDv7 are milliseconds since the Unix epoch.
    Format::UuidV7((uuid.as_u128() >> 80) as u64)
}
