//! The project's stand-in for the users' platform: the store and the interface for the duty holder.

#![allow(dead_code, reason = "the cases use a part of it")]

#[path = "../../../platform/tests/platform_standin/duty_calls.rs"]
mod duty_calls;
#[path = "../../../platform/tests/platform_standin/duty_conn.rs"]
mod duty_conn;
#[path = "../../../platform/tests/platform_standin/duty_pace.rs"]
mod duty_pace;
#[path = "../../../platform/tests/platform_standin/http.rs"]
mod http;
#[path = "../../../platform/tests/platform_standin/log_topic.rs"]
mod log_topic;
#[path = "../../../platform/tests/platform_standin/store.rs"]
mod store;

pub(crate) use {
    duty_calls::DutyCalls,
    store::{Outage, Store},
};

/// A machine that calls the platform, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Machine(pub(crate) u8);

/// A writer that is none of the fleet's VMs.
pub(crate) const OTHER_WRITER: Machine = Machine(90);
