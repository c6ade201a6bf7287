//! Rendezvous hashing weighted by slots.

use super::{ChatKey, EndpointHash};

/// Returns the score of an endpoint for a chat. The endpoint with the lowest score ranks first.
/// Each endpoint ranks first for a share of the chats in proportion to its slots. When an endpoint
/// joins or leaves, only the chats for which it ranks first move.
pub fn rendezvous_score(chat: ChatKey, endpoint: EndpointHash, slots: u32) -> f64 {
    let mixed = mix(chat.0 ^ mix(endpoint.0));
    // The upper 53 bits make a fraction in (0, 1]. Its negated logarithm is an exponential variate.
    let fraction = ((mixed >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -fraction.ln() / f64::from(slots.max(1))
}

/// Orders endpoints, given with their slots, by rank for `chat`.
///
/// ```
/// use persimmon_decide::load::{ChatKey, EndpointHash, rank_by_slots};
///
/// let endpoints = [(EndpointHash(1), 8), (EndpointHash(2), 8), (EndpointHash(3), 8)];
/// let ranked = rank_by_slots(ChatKey(5), endpoints);
/// let without_last = rank_by_slots(ChatKey(5), endpoints.into_iter().filter(|e| e.0 != ranked[2]));
/// assert_eq!(ranked[..2], without_last);
/// ```
pub fn rank_by_slots(
    chat: ChatKey,
    endpoints: impl IntoIterator<Item = (EndpointHash, u32)>,
) -> Vec<EndpointHash> {
    let mut scored: Vec<_> = endpoints
        .into_iter()
        .map(|(endpoint, slots)| (rendezvous_score(chat, endpoint, slots), endpoint))
        .collect();
    scored.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, endpoint)| endpoint).collect()
}

/// Mixes the bits of `word` as a 64-bit finalizer: each input bit affects about half of the output
/// bits.
fn mix(mut word: u64) -> u64 {
    word ^= word >> 33;
    word = word.wrapping_mul(0xff51_afd7_ed55_8ccd);
    word ^= word >> 33;
    word = word.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    word ^ (word >> 33)
}
