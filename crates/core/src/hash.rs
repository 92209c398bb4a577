//! Hash maps for untrusted keys and a hash that is equal in every process.

use std::collections;

use sha2::{Digest, Sha256};

/// Hash map with a fast hasher that is seeded at random for each process.
pub type HashMap<K, V> = collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with a fast hasher that is seeded at random for each process.
pub type HashSet<K> = collections::HashSet<K, foldhash::fast::RandomState>;

/// 64-bit FNV-1a with a final mix. Equal in all processes and releases, so it may decide shards
/// and rendezvous weights. Not for maps with keys that callers control.
pub fn stable_hash(parts: &[&str]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }
    mix(hash)
}

/// SHA-256 of the parts, one after another.
pub fn sha256(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Spreads the bits of `hash` (the finaliser of splitmix64).
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
