//! Names and times of the tests.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    clock::Instant,
    origins::{Origin, OriginRecord, Origins, StreamKey},
    std::{net::SocketAddr, time::Duration},
    types::{Release, ServiceId},
};

/// Window of the service.
pub(crate) const WINDOW: Duration = Duration::from_secs(60);

pub(crate) fn at(ms: u64) -> Instant {
    Instant::from_nanos(1_000_000_000_000) + Duration::from_millis(ms)
}

pub(crate) fn service() -> ServiceId {
    "chat-70b".parse().unwrap()
}

pub(crate) fn release(number: u64) -> Release {
    format!("r{number}").parse().unwrap()
}

pub(crate) fn key(attempt: u64) -> StreamKey {
    let attempt = format!("attempt-{attempt}").parse().unwrap();
    StreamKey::of(&service(), None, &attempt)
}

/// An origin; that of number 0 is unknown.
pub(crate) fn origin(number: u64) -> Origin {
    Origin {
        service: service(),
        release: (number > 0).then(|| release(number)),
    }
}

pub(crate) fn unknown() -> Origin {
    origin(0)
}

pub(crate) fn record(attempt: u64, release: Option<Release>, ends_ms: u32) -> OriginRecord {
    OriginRecord {
        key: key(attempt),
        service: service(),
        release,
        ends_ms,
    }
}

pub(crate) fn vm_addr(vm: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (vm / 256) as u8, (vm % 256) as u8], 7_000))
}

/// A VM that reads these releases four times a second from `from_ms` on.
pub(crate) fn read(vm: &mut Origins, releases: &[u64], from_ms: u64, to_ms: u64) {
    let service = service();
    let releases: Vec<_> = releases.iter().map(|r| release(*r)).collect();
    for ms in (from_ms..to_ms).step_by(250) {
        let endpoints = releases.iter().map(|r| (&service, Some(r)));
        vm.replace_list(at(ms), at(ms), endpoints);
    }
}

/// A VM that has observed releases for the first two minutes.
pub(crate) fn observer(releases: &[u64]) -> Origins {
    let mut vm = Origins::default();
    vm.set_window(at(0), &service(), WINDOW);
    read(&mut vm, releases, 0, 120_000);
    vm
}
