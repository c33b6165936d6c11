//! Encoding of messages, with a size limit on what is read.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the message formats that this build writes.
pub const FORMAT_VERSION: u16 = 1;

/// Largest datagram, small enough to cross common networks in one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Largest control body: a configuration of 1 MB and what is around it.
pub const MAX_CONTROL_BYTES: usize = 1024 * 1024 + 64 * 1024;

/// Largest encoded message in a header.
pub const MAX_HEADER_BYTES: usize = 4096;

/// Result of reading a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a message cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// It is larger than its limit.
    TooLarge {
        /// Bytes that came.
        size: usize,
        /// Bytes that are allowed.
        limit: usize,
    },
    /// It is not a message of the expected type.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { size, limit } => write!(out, "{size} bytes, at most {limit}"),
            Self::Malformed(cause) => write!(out, "malformed message: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes a message as a map with field names.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Serializing plain data into memory fails only on types that this crate does not define.
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

/// Encodes a message for a header value.
pub fn encode_header<T: Serialize>(message: &T) -> String {
    STANDARD_NO_PAD.encode(encode(message))
}

/// Decodes a message from a header value.
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
