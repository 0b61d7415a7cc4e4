//! Sizes, rates and tiers as distinct types.

mod amount;
mod tier;

pub use {
    amount::{Bytes, ParseQuantityError, PerSecond, Tokens},
    tier::Tier,
};
