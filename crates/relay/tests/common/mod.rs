//! A router in this process, between callers that speak raw bytes and scripted endpoints.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod endpoint;
mod fakes;
mod router;

pub(crate) use {
    endpoint::{FakeEndpoint, Script, Seen},
    fakes::{FakeDutyApi, FakeFeed, FakeLog},
    router::{Ports, Router, RouterSpec, answer_head, config_change, endpoint, free_addr, route},
};
