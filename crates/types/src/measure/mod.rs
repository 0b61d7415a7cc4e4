//! Sizes, rates and tiers as distinct types.

mod amount;
mod tier;

pub use {
    amount::{Bytes, ParseMeasureError, PerSecond, Tokens},
    tier::Tier,
};
