//! Text that an engine generates. It is a function of the request id, so that a caller can check
//! its response.

use types::RequestId;

const WORDS: [&str; 16] = [
    "boiler", "valve", "plate", "seam", "gauge", "flue", "drum", "rivet", "proof", "banner", "ink",
    "vinyl", "trim", "bleed", "margin", "crop",
];

/// Text of the token at `index` of the response to request `id`.
pub fn token_text(id: RequestId, index: u64) -> String {
    let bits = id.bits();
    let mixed = (bits as u64) ^ ((bits >> 64) as u64) ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let word = WORDS[(mixed >> 32) as usize % WORDS.len()];
    format!("{word}{index} ")
}

/// Text of a complete response of `tokens` tokens.
pub fn response_text(id: RequestId, tokens: u64) -> String {
    (0..tokens).map(|i| token_text(id, i)).collect()
}
