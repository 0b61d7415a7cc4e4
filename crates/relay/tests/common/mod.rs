//! Runs a router in the test process, between callers that send raw bytes and scripted endpoints.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod crashing;
mod cut_fleet;
mod endpoint;
mod fakes;
mod gate;
mod releases;
mod router;

pub(crate) use {
    crashing::{CrashForm, CrashLog, CrashingEngine},
    cut_fleet::{CutFleet, CutZone},
    endpoint::{FakeEndpoint, Script, SeenRequest, StartTime},
    fakes::{FakeDutyApi, FakeFeed, FakeLog},
    gate::{Gate, GateState},
    releases::{
        ALL_EVENTS, FIRST_EVENTS, Fleet, ReleaseLog, ReleasedEndpoint, StreamRequest,
        StreamResponse,
    },
    router::{Ports, Router, RouterSpec, config_change, endpoint, free_addr, response_head, route},
};
