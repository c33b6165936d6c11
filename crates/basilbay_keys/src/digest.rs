//! Hashes that are the same in every build and on every platform.

use sha2::{Digest, Sha256};

/// First 16 bytes of SHA-256 over the parts, each preceded by its length.
pub(crate) fn wide(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut head = [0; 16];
    head.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(head)
}

/// First 8 bytes of the same hash.
pub(crate) fn narrow(parts: &[&[u8]]) -> u64 {
    (wide(parts) >> 64) as u64
}

/// Mixes two hashes into a rendezvous score (the finalizer of `SplitMix64`).
pub(crate) fn mix(left: u64, right: u64) -> u64 {
    let mut value = left ^ right.rotate_left(32);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
