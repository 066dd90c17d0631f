//! Rendezvous (highest random weight) hashing. Weights are the same in all
//! releases.

use xxhash_rust::xxh3::Xxh3;

/// Returns the weight of a candidate for a key.
#[must_use]
pub fn weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(candidate.as_bytes());
    hasher.digest()
}

/// Returns the candidate with the highest weight for the key, if any.
pub fn pick<'a, T>(
    key: &str,
    candidates: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    candidates.max_by_key(|candidate| weight(key, name(candidate)))
}

/// Returns all candidates in descending order of weight for the key.
pub fn rank<'a, T>(
    key: &str,
    candidates: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let mut ranked: Vec<_> = candidates.collect();
    ranked.sort_by_cached_key(|candidate| std::cmp::Reverse(weight(key, name(candidate))));
    ranked
}
