//! Suspects and endpoints of the tests of crashes.

use {
    clock::Instant,
    route::{EndpointStart, Suspect},
    std::time::Duration,
    types::PromptPartId,
};

pub(crate) fn part(id: u64) -> Suspect {
    Suspect::Part(PromptPartId(id))
}

pub(crate) fn at(ms: u64) -> Instant {
    Instant::from_nanos(1_000_000_000) + Duration::from_millis(ms)
}

/// A start of the endpoint with this number.
pub(crate) fn start_of(endpoint: usize, born: u64) -> EndpointStart {
    EndpointStart {
        id: format!("e{endpoint}-{born}").parse().unwrap(),
        born,
        addr: format!("127.0.0.1:{}", 1_000 + endpoint).parse().unwrap(),
    }
}
