//! The list of endpoints around outages of the platform.

use {
    clock::Stamp,
    relay::{Endpoint, Registry, RegistryChange},
    std::time::Duration,
};

fn at(ms: u64) -> Stamp {
    Stamp::from_nanos((1_000_000 + ms) * 1_000_000)
}

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.parse().unwrap(),
        service: "s".parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: 4,
        leaving: false,
        cheap: false,
        cold: Duration::ZERO,
        born: 1,
    }
}

#[test]
fn removed_endpoint_is_gone_at_once() {
    let mut registry = Registry::default();
    let one = endpoint("e1");
    assert_eq!(registry.list(one.clone()), RegistryChange::Added);
    assert_eq!(registry.list(one.clone()), RegistryChange::None);
    assert_eq!(registry.unlist(at(0), &one.id), RegistryChange::Removed);
    assert!(registry.open(&one.id).is_none());
}

#[test]
fn leaving_endpoint_takes_no_work() {
    let mut registry = Registry::default();
    let mut one = endpoint("e1");
    registry.list(one.clone());
    one.leaving = true;
    assert_eq!(registry.list(one.clone()), RegistryChange::Leaving);
    assert!(registry.open(&one.id).is_none());
    assert_eq!(registry.unlist(at(0), &one.id), RegistryChange::Removed);
}

#[test]
fn entry_that_lapsed_in_an_outage_is_kept_for_its_grace_only() {
    let mut registry = Registry::default();
    let (one, two) = (endpoint("e1"), endpoint("e2"));
    registry.list(one.clone());
    registry.list(two.clone());
    registry.unreachable();
    registry.reached(at(0));
    assert_eq!(registry.unlist(at(100), &one.id), RegistryChange::Lapsed);
    assert_eq!(registry.unlist(at(100), &two.id), RegistryChange::Lapsed);
    assert!(registry.open(&one.id).is_some());
    registry.list(two.clone());
    assert!(registry.expire(at(1_500)).is_empty());
    assert_eq!(registry.expire(at(1_600)), std::slice::from_ref(&one.id));
    assert!(registry.open(&one.id).is_none());
    assert!(registry.open(&two.id).is_some());
}

#[test]
fn missing_in_a_whole_list_means_removed() {
    let mut registry = Registry::default();
    let (one, two) = (endpoint("e1"), endpoint("e2"));
    registry.list(one.clone());
    registry.list(two.clone());
    let missing = registry.missing(std::slice::from_ref(&two.id));
    assert_eq!(missing, [one.id]);
}

#[test]
fn endpoint_that_the_reader_gave_up_gets_no_second_grace() {
    let mut registry = Registry::default();
    let one = endpoint("e1");
    registry.list(one.clone());
    registry.unreachable();
    registry.reached(at(0));
    assert_eq!(registry.forget(&one.id), RegistryChange::Removed);
    assert!(registry.open(&one.id).is_none());
    assert_eq!(registry.forget(&one.id), RegistryChange::None);
}
