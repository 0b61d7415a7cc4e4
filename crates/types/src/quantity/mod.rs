//! Sizes, rates and tiers as distinct types, so that they cannot be mixed up.

mod amount;
mod tier;
mod urgency;

pub use {
    amount::{Bytes, ParseQuantityError, PerSecond, Tokens},
    tier::Tier,
    urgency::Urgency,
};
