//! Responses of a target, and the check that a response is complete and belongs to a request.

use basilbay_model::id::InstanceId;
use serde::{Deserialize, Serialize};

/// Request header with the id of the request; the response body repeats it.
pub const REQUEST_ID: &str = "x-request-id";

/// Request header with the number of filler bytes to send after the JSON.
pub const BODY_BYTES: &str = "x-fake-body-bytes";

/// Request header that makes the target crash while it runs the request.
pub const POISON: &str = "x-fake-poison";

/// Request header with the services to call from within the request, in order, separated by commas.
pub const CHAIN: &str = "x-fake-chain";

/// Maximum number of filler bytes; larger values of [`BODY_BYTES`] are reduced to it.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// JSON body of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// Id of the target that responds.
    pub target: InstanceId,
    /// The caller's `x-request-id`; empty if the request had none.
    pub request: String,
    /// Whether the target ran the request.
    pub ran: bool,
    /// Call to the next service of the call chain; `None` if this service is the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chain: Option<Box<Subcall>>,
}

/// Result of the call to the next service of a call chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subcall {
    /// Name of the service.
    pub service: String,
    /// Status code; 0 if there was no response.
    pub status: u16,
    /// Header `basilbay-outcome` of the response; `None` if it had none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// Response body; `None` if it is not that of a target.
    #[serde(rename = "answer", default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Body>,
}

/// Returns the bytes that follow the JSON and a line break: pseudorandom letters that depend only
/// on the request id, so that a receiver can recognise truncated and mixed-up bodies.
pub fn filler(request: &str, count: usize) -> Vec<u8> {
    let mut state = request.bytes().fold(0xcbf2_9ce4_8422_2325, fnv1a) | 1;
    let mut bytes = Vec::with_capacity(count);
    while bytes.len() < count {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        let letters = state.to_le_bytes().map(|byte| b'a' + byte % 26);
        let remaining = letters.len().min(count - bytes.len());
        bytes.extend_from_slice(&letters[..remaining]);
    }
    bytes
}

/// One step of the 64-bit FNV-1a hash.
fn fnv1a(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
}

/// Whether a body is the complete response to this request, with this many filler bytes.
pub fn is_complete(request: &str, count: usize, body: &[u8]) -> bool {
    let (json, rest) = match body.iter().position(|byte| *byte == b'\n') {
        Some(end) => (&body[..end], &body[end + 1..]),
        None => (body, &body[body.len()..]),
    };
    let parsed = serde_json::from_slice::<Body>(json);
    parsed.is_ok_and(|body| body.request == request) && rest == filler(request, count)
}
