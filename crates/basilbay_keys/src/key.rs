//! Parsing of idempotency keys and of the issue time that a `UUIDv7` key contains.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use basilbay_model::roster::Timestamp;
use basilbay_wire::header::MAX_KEY_BYTES;
use uuid::{Uuid, Variant, Version};

use crate::digest;

/// Largest tolerated difference between any clock and the instance list's clock.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// Result of parsing a key.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a text is rejected as an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_KEY_BYTES`] (128); holds its length in bytes.
    TooLong(usize),
    /// The byte at this offset is not visible ASCII.
    InvalidByte(usize),
    /// The issue time is this many milliseconds ahead of the local clock, more than
    /// [`MAX_CLOCK_SKEW`].
    InFuture(u64),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(formatter, "the idempotency key is empty"),
            Self::TooLong(size) => {
                write!(
                    formatter,
                    "the idempotency key has {size} bytes; the limit is {MAX_KEY_BYTES}"
                )
            }
            Self::InvalidByte(at) => {
                write!(
                    formatter,
                    "byte {at} of the idempotency key is not visible ASCII"
                )
            }
            Self::InFuture(ahead_ms) => {
                write!(
                    formatter,
                    "the idempotency key was issued {ahead_ms} ms in the future"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

/// Format of a key, which determines whether its issue time is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// `UUIDv7`; holds the issue time by the clock of the process that created it.
    UuidV7(Timestamp),
    /// Any other text; the key was issued at an unknown time within the retention period.
    Opaque,
}

/// A valid idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Text as sent by the caller, without normalization: two spellings of a UUID are two keys.
    pub text: Arc<str>,
    /// Format and issue time.
    pub format: Format,
    digest: u128,
}

impl Key {
    /// Parses a key that was received at the local wall-clock time `wall`, against which the issue
    /// time is checked.
    pub fn parse(text: &str, wall: SystemTime) -> Result<Self> {
        validate(text)?;
        let format = parse_format(text);
        if let Format::UuidV7(issued_at) = format {
            reject_future(issued_at, unix_ms(wall))?;
        }
        Ok(Self {
            text: Arc::from(text),
            format,
            digest: digest::sha256_u128(&[text.as_bytes()]),
        })
    }

    /// First 16 bytes of the SHA-256 digest of the text; the key's identity in the store.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Lower 8 bytes of the digest, for rendezvous hashing.
    pub(crate) fn hash(&self) -> u64 {
        self.digest as u64
    }
}

/// Converts to milliseconds since the Unix epoch; times before the epoch become 0.
pub fn unix_ms(wall: SystemTime) -> Timestamp {
    wall.duration_since(UNIX_EPOCH).map_or(0, millis)
}

/// Converts to whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn validate(text: &str) -> Result<()> {
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

fn reject_future(issued_at: Timestamp, wall_ms: Timestamp) -> Result<()> {
    let ahead_ms = issued_at.saturating_sub(wall_ms);
    if ahead_ms > millis(MAX_CLOCK_SKEW) {
        return Err(Error::InFuture(ahead_ms));
    }
    Ok(())
}

fn parse_format(text: &str) -> Format {
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
