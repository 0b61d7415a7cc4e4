//! Reserving and releasing bytes.

use {super::ByteBudget, types::Bytes};

const KIB: u64 = 1024;

fn kib(count: u64) -> Bytes {
    Bytes(count * KIB)
}

#[test]
fn small_bodies_are_free() {
    let budget = ByteBudget::new(kib(100));
    let large = budget.lease();
    assert!(large.grow_to(kib(164)));
    let other = budget.lease();
    assert!(other.grow_to(kib(64)));
    assert!(!other.grow_to(kib(65)));
}

#[test]
fn bytes_are_taken_once_and_given_back() {
    let budget = ByteBudget::new(kib(100));
    let lease = budget.lease();
    assert!(lease.grow_to(kib(128)) && lease.grow_to(kib(100)) && lease.grow_to(kib(164)));
    assert!(!lease.grow_to(kib(165)));
    drop(lease);
    assert!(budget.lease().grow_to(kib(164)));
}

#[test]
fn absurd_sizes_take_nothing() {
    let budget = ByteBudget::new(kib(100));
    assert!(!budget.lease().grow_to(Bytes(u64::MAX)));
    assert!(budget.lease().grow_to(kib(164)));
}
