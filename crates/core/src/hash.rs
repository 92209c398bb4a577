//! Hash maps for untrusted keys, and hash functions whose results are the same in every process.

use std::collections;

use sha2::{Digest, Sha256};

/// Hash map with a fast hasher that is randomly seeded in each process.
pub type HashMap<K, V> = collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with a fast hasher that is randomly seeded in each process.
pub type HashSet<K> = collections::HashSet<K, foldhash::fast::RandomState>;

/// 64-bit FNV-1a hash with a final mixing step. The result is the same in all processes and releases, so
/// it can determine shards and rendezvous weights. Do not use it for maps whose keys callers control.
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

/// SHA-256 of the concatenated parts.
pub fn sha256(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Mixes the bits of `hash` with the finaliser of splitmix64.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
