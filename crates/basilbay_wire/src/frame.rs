//! Message encoding: `MessagePack` maps with field names, and Base64 on top in header values.
//!
//! Decoding rejects messages over a size limit before it parses them.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the message format that this build writes.
pub const FORMAT_VERSION: u16 = 1;

/// Largest datagram; small enough for one packet in common networks, without IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Largest control body: a configuration of 1 MB plus 64 KB for the surrounding message.
pub const MAX_CONTROL_BYTES: usize = 1024 * 1024 + 64 * 1024;

/// Largest instance list between daemons.
pub const MAX_ROSTER_BYTES: usize = 16 * 1024 * 1024;

/// Largest header value with an encoded message, and largest message in it.
pub const MAX_HEADER_BYTES: usize = 4096;

/// Result of decoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of decoding a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The message exceeds its size limit.
    TooLarge {
        /// Size of the message in bytes.
        size: usize,
        /// Largest permitted size in bytes.
        limit: usize,
    },
    /// The bytes are not a message of the expected type.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { size, limit } => write!(
                out,
                "message of {size} bytes exceeds the limit of {limit} bytes"
            ),
            Self::Malformed(cause) => write!(out, "malformed message: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes a message as a map with field names.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Serializing plain data into memory fails only for types that this crate does not define.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Decodes a message of at most `limit` bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T> {
    if bytes.len() > limit {
        return Err(Error::TooLarge {
            size: bytes.len(),
            limit,
        });
    }
    rmp_serde::from_slice(bytes).map_err(|error| Error::Malformed(error.to_string()))
}

/// Encodes a message as a header value, in Base64.
pub fn encode_header<T: Serialize>(message: &T) -> String {
    STANDARD_NO_PAD.encode(encode(message))
}

/// Decodes a message from a header value of at most [`MAX_HEADER_BYTES`].
pub fn decode_header<T: DeserializeOwned>(value: &[u8]) -> Result<T> {
    if value.len() > MAX_HEADER_BYTES {
        return Err(Error::TooLarge {
            size: value.len(),
            limit: MAX_HEADER_BYTES,
        });
    }
    let bytes = STANDARD_NO_PAD
        .decode(value)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    decode(&bytes, MAX_HEADER_BYTES)
}
