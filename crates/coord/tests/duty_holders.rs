//! Histories of the duty log after which two VMs held the duty lease.

use {
    clock::Instant,
    coord::{DutyEntry, DutyLease, DutyRecord, DutyStep, DutyTiming},
    std::time::Duration,
    types::{Epoch, Incarnation},
};

const TIMING: DutyTiming = DutyTiming {
    lease: Duration::from_millis(3_000),
    hold: Duration::from_millis(1_200),
    renew: Duration::from_millis(600),
};
const INCARNATION: Incarnation = Incarnation(1);

fn at(ms: u64) -> Instant {
    Instant::from_nanos((1_000_000 + ms) * 1_000_000)
}

fn lease(vm: &str, ms: u64) -> DutyLease {
    let jitter = Duration::from_millis(150);
    DutyLease::new(at(ms), vm.parse().unwrap(), INCARNATION, TIMING, jitter)
}

fn renewal(vm: &str) -> DutyEntry {
    DutyRecord::Renew(vm.parse().unwrap(), INCARNATION).into()
}

/// A lease of `vm` that claimed at `offset` at the time `ms`.
fn holder(vm: &str, offset: u64, ms: u64) -> DutyLease {
    let start = Instant::from_nanos((1_000_000 + ms - 10_000) * 1_000_000);
    let jitter = Duration::from_millis(150);
    let mut lease = DutyLease::new(start, vm.parse().unwrap(), INCARNATION, TIMING, jitter);
    lease.read_to(start, offset);
    append(&mut lease, ms);
    lease
}

/// Appends what is due at the time `ms`.
fn append(lease: &mut DutyLease, ms: u64) {
    let (entry, end) = send(lease, ms);
    lease.fold(at(ms), end, &entry);
}

/// Sends what is due at the time `ms`.
fn send(lease: &mut DutyLease, ms: u64) -> (DutyEntry, u64) {
    let DutyStep::Append(entry, end) = lease.next_step(at(ms)) else {
        panic!("nothing is due");
    };
    lease.append_started(at(ms), &entry);
    (entry, end)
}

/// A VM that found only renewals in the log, because the claim had expired, claimed beside the holder.
#[test]
fn holder_is_respected_after_its_claim_has_expired() {
    let a = holder("a", 0, 0);
    let mut b = lease("b", 300_000);
    b.fold(at(300_000), 500, &renewal("a"));
    b.read_to(at(300_000), 501);
    assert_eq!(b.holder(), a.holder());
    assert!(matches!(b.next_step(at(302_999)), DutyStep::Wait(_)));
}

/// A VM whose log had dropped all records claimed at once, beside the holder that wrote them.
#[test]
fn vm_waits_for_the_lease_where_the_log_has_dropped_all_records() {
    let mut b = lease("b", 0);
    b.read_to(at(300_000), 501);
    assert!(matches!(b.next_step(at(303_149)), DutyStep::Wait(_)));
    assert!(matches!(b.next_step(at(303_150)), DutyStep::Append(_, 501)));
}

/// A former holder took a record that it could not decode for nothing, and acted again beside the
/// new holder.
#[test]
fn former_holder_does_not_act_after_a_record_that_it_cannot_decode() {
    let mut a = holder("a", 0, 0);
    a.skip(at(10_000), 1);
    a.read_to(at(10_000), 2);
    if let DutyStep::Append(..) = a.next_step(at(10_000)) {
        append(&mut a, 10_000);
    }
    assert_eq!(a.epoch(at(10_000)), None);
}

/// The log came back from an older copy, and its offsets, which were the fencing tokens, were given
/// out again.
#[test]
fn fencing_token_rises_after_the_log_has_lost_records() {
    let a = holder("a", 95, 0);
    let b = holder("b", 80, 10_000);
    assert_eq!(a.epoch(at(0)), Some(Epoch(95)));
    assert!(b.epoch(at(10_000)) > a.epoch(at(0)));
}

/// A holder whose append took effect late counted its time from a later append, while other VMs
/// counted from the record that they had read.
#[test]
fn late_append_counts_from_its_own_send_time() {
    let mut a = holder("a", 0, 0);
    let (renewal, end) = send(&mut a, 600);
    a.require_read();
    a.read_to(at(1_300), end);
    // The renewal takes effect right after this read; the VM pauses before it appends again.
    send(&mut a, 3_000);
    a.require_read();
    a.fold(at(3_005), end, &renewal);
    a.read_to(at(3_005), end + 1);
    assert_eq!(a.epoch(at(3_005)), None);
}
