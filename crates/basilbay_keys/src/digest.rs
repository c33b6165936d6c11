//! Hashes with the same result in every build and on every platform, since daemons of different
//! builds must agree on key owners and request fingerprints.

use sha2::{Digest, Sha256};

/// First 16 bytes of the SHA-256 digest of the parts, each prefixed with its length.
pub(crate) fn sha256_u128(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(prefix)
}

/// First 8 bytes of the digest that [`sha256_u128`] truncates.
pub(crate) fn sha256_u64(parts: &[&[u8]]) -> u64 {
    (sha256_u128(parts) >> 64) as u64
}

/// Combines two hashes into a rendezvous score with the finalizer of `SplitMix64`.
pub(crate) fn rendezvous_score(left: u64, right: u64) -> u64 {
    let mut value = left ^ right.rotate_left(32);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
