//! What endpoints say of themselves in their responses: that they leave, that they refuse requests
//! for a time, or how many requests they take from the whole fleet.
//!
//! Designed for these conditions: the platform cannot be read, so that an endpoint's own response is
//! the only word; the list drops an endpoint and lists it again; hundreds of VMs share a limit of
//! one request a second; VMs join, leave and restart while a limit is in force.

mod fleet_rank;
mod held_rank;
mod notice_table;
mod share_limiter;

pub use {
    fleet_rank::FleetRank,
    notice_table::{LimitNotice, Notice, NoticeTable, Restriction},
};
pub(crate) use {held_rank::HeldRank, share_limiter::ShareLimiter};
