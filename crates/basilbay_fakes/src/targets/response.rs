//! Answers of a target, and how a client checks that one is whole and its own.

use basilbay_model::id::InstanceId;
use serde::{Deserialize, Serialize};

/// Header that names the request; the answer echoes it.
pub const REQUEST_ID: &str = "x-request-id";

/// Header that asks for a body of this many bytes after the JSON.
pub const BODY_BYTES: &str = "x-fake-body-bytes";

/// Header that crashes the target that runs the request.
pub const POISON: &str = "x-fake-poison";

/// Header with the services to call from within the request, first to last.
pub const CHAIN: &str = "x-fake-chain";

/// Largest body that a request may ask for.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The JSON of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The target that answers.
    pub target: InstanceId,
    /// The caller's `x-request-id`; empty without one.
    pub request: String,
    /// Whether the target ran the request.
    pub ran: bool,
    /// Answer of the next service of a call chain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chain: Option<Box<Subcall>>,
}

/// What the next service of a call chain answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subcall {
    /// The service.
    pub service: String,
    /// Status code; 0 when there was no answer.
    pub status: u16,
    /// Header `basilbay-outcome` of the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// The answer, where it came from a target.
    #[serde(rename = "answer", default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Body>,
}

/// Bytes that follow the JSON and a line break: letters that depend on the request id only.
pub fn filler(request: &str, count: usize) -> Vec<u8> {
    let mut state = request.bytes().fold(0xcbf2_9ce4_8422_2325, fnv) | 1;
    let mut bytes = Vec::with_capacity(count);
    while bytes.len() < count {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        let letters = state.to_le_bytes().map(|byte| b'a' + byte % 26);
        let wanted = letters.len().min(count - bytes.len());
        bytes.extend_from_slice(&letters[..wanted]);
    }
    bytes
}

fn fnv(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
}

/// Whether a body is the whole answer to this request with this many filler bytes.
pub fn is_complete(request: &str, count: usize, body: &[u8]) -> bool {
    let (json, rest) = match body.iter().position(|byte| *byte == b'\n') {
        Some(end) => (&body[..end], &body[end + 1..]),
        None => (body, &body[body.len()..]),
    };
    let parsed = serde_json::from_slice::<Body>(json);
    parsed.is_ok_and(|body| body.request == request) && rest == filler(request, count)
}
