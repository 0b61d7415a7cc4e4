//! Histories of the duty log after which two VMs held the duty lease.

use {
    clock::Instant,
    coord::{
        DutyEntry, DutyLease, DutyMember, DutyRecord, DutyStep, DutyTiming, LogChange,
        SealedWindow, Trailer,
    },
    std::time::Duration,
    types::{Epoch, Era, Incarnation, LogPosition},
};

const TIMING: DutyTiming = DutyTiming {
    lease: Duration::from_millis(3_000),
    hold: Duration::from_millis(1_200),
    renew: Duration::from_millis(600),
    window: Duration::from_secs(5),
};
const INCARNATION: Incarnation = Incarnation(1);
/// The usage window at the time of the tests.
const WINDOW: u64 = 200;

fn at(ms: u64) -> Instant {
    Instant::from_nanos((1_000_000 + ms) * 1_000_000)
}

/// A VM that has just read nothing yet.
fn lease(vm: &str, ms: u64) -> DutyLease {
    lease_at(vm, at(ms))
}

fn lease_at(vm: &str, start: Instant) -> DutyLease {
    let member = DutyMember {
        vm: vm.parse().unwrap(),
        incarnation: INCARNATION,
        jitter: Duration::from_millis(150),
        first_start: false,
    };
    DutyLease::new(start, member, TIMING)
}

/// An entry of `vm` in a tenure of `era`.
fn entry(vm: &str, era: u64, epoch: u64) -> DutyEntry {
    let trailer = Trailer {
        epoch: Epoch(epoch),
        serial: 0,
        era: Era(era),
        next_window: 0,
    };
    let record = DutyRecord::Claim(vm.parse().unwrap(), INCARNATION);
    let trailer = Some(trailer);
    DutyEntry { record, trailer }
}

fn renewal(vm: &str) -> DutyEntry {
    DutyRecord::Renew(vm.parse().unwrap(), INCARNATION).into()
}

/// A lease of `vm` that claimed at `offset` at the time `ms`.
fn holder(vm: &str, offset: u64, ms: u64) -> DutyLease {
    let start = Instant::from_nanos((1_000_000 + ms - 10_000) * 1_000_000);
    let mut lease = lease_at(vm, start);
    lease.observe(start, position(1, offset), unix(WINDOW - 1));
    lease.read_to(start, offset);
    append(&mut lease, ms);
    lease
}

/// A time of day in the middle of a window.
fn unix(window: u64) -> Duration {
    TIMING.window.mul_f64(window as f64 + 0.5)
}

fn position(era: u64, offset: u64) -> LogPosition {
    let era = Era(era);
    LogPosition { era, offset }
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
    let mut b = lease("b", 5_000);
    b.observe(at(5_000), position(2, 80), unix(WINDOW));
    b.fold(at(5_000), 79, &entry("c", 1, 79));
    b.read_to(at(5_000), 80);
    append(&mut b, 8_150);
    assert!(a.epoch(at(0)) >= Some(Epoch(95)));
    assert!(b.epoch(at(8_150)) > a.epoch(at(0)));
}

/// A holder acted on in a new era of the store, in which another VM may have claimed.
#[test]
fn holder_stops_once_it_hears_of_a_new_era() {
    let mut a = holder("a", 95, 0);
    assert_eq!(
        a.observe(at(500), position(2, 80), unix(WINDOW)),
        LogChange::Restarted
    );
    assert_eq!((a.epoch(at(500)), a.end_offset()), (None, 0));
    a.fold(at(510), 79, &entry("a", 1, 40));
    a.read_to(at(510), 80);
    assert!(matches!(a.next_step(at(3_659)), DutyStep::Wait(_)));
    append(&mut a, 3_660);
    assert!(a.epoch(at(3_660)) > Some(Epoch(95)));
}

/// A claim that was sent before the store came back from a copy took effect after it, behind the
/// claim of the new holder.
#[test]
fn record_of_an_earlier_era_does_not_end_a_tenure() {
    let mut a = holder("a", 95, 0);
    a.fold(at(100), 96, &entry("b", 0, 120));
    assert_eq!(a.holder().unwrap().as_str(), "a");
    assert!(a.epoch(at(100)).is_some());
    assert_eq!(a.end_offset(), 97);
}

/// A window that was reported was sealed with new figures after the store had lost its seal.
#[test]
fn window_of_a_lost_seal_keeps_its_figures_or_is_not_reported() {
    let window = WINDOW - 1;
    let figures = |count| SealedWindow {
        window,
        counts: [("org".parse().unwrap(), count)].into(),
    };
    let mut a = holder("a", 95, 0);
    a.observe(at(50), position(1, 96), unix(WINDOW));
    let (seal, end) = a.seal(at(100), figures(7)).unwrap();
    a.append_started(at(100), &seal);
    a.fold(at(100), end, &seal);
    for mut vm in [a, lease("b", 0)] {
        let knows = vm.sealed(window).is_some();
        vm.observe(at(500), position(2, 80), unix(WINDOW));
        vm.fold(at(510), 79, &entry("c", 1, 79));
        vm.read_to(at(510), 80);
        append(&mut vm, 4_000);
        assert_eq!(vm.sealed(window), None);
        let sealed = vm
            .seal(at(4_000), figures(9))
            .map(|(entry, _)| entry.record);
        let writer = vm.holder().unwrap().clone();
        let again = DutyRecord::Seal(writer, INCARNATION, figures(7));
        assert_eq!(sealed, knows.then_some(again));
    }
}

/// A copy from before the first claim made the lease look unused, and windows were sealed again.
#[test]
fn window_is_not_sealed_again_after_a_copy_without_any_record() {
    let mut b = lease("b", 0);
    b.observe(at(500), position(2, 0), unix(WINDOW));
    b.read_to(at(510), 0);
    assert!(matches!(b.next_step(at(3_649)), DutyStep::Wait(_)));
    append(&mut b, 3_650);
    assert!(!b.is_open(WINDOW - 1) && b.is_open(WINDOW));
}

/// An answer that was older than another one made the VM forget what it had read.
#[test]
fn answer_of_an_earlier_era_is_ignored() {
    let mut a = holder("a", 95, 0);
    assert_eq!(
        a.observe(at(10), position(0, 300), unix(WINDOW)),
        LogChange::Outdated
    );
    assert_eq!(
        a.observe(at(10), position(1, 90), unix(WINDOW)),
        LogChange::Outdated
    );
    assert!(a.epoch(at(10)).is_some());
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

/// A VM whose clock was behind when it first read the new era sealed a window twice, as the first seal was lost.
#[test]
fn window_is_not_sealed_again_by_a_vm_whose_time_was_behind() {
    let window = WINDOW - 2;
    let mut b = lease("b", 0);
    b.observe(at(0), position(2, 80), unix(window));
    b.fold(at(0), 79, &entry("a", 1, 79));
    b.read_to(at(0), 80);
    b.observe(at(1_800), position(2, 80), unix(WINDOW));
    append(&mut b, 3_150);
    let counts = [("org".parse().unwrap(), 9)].into();
    assert_eq!(b.seal(at(3_200), SealedWindow { window, counts }), None);
}

/// A VM whose time of day was ahead when it heard of a new era closed windows that had not begun.
#[test]
fn window_is_open_after_a_claim_by_a_vm_whose_time_was_ahead() {
    let mut b = lease("b", 0);
    b.observe(at(0), position(2, 80), unix(WINDOW + 2));
    b.fold(at(0), 79, &entry("a", 1, 79));
    b.read_to(at(0), 80);
    b.observe(at(1_800), position(2, 80), unix(WINDOW));
    append(&mut b, 3_150);
    assert!(b.is_open(WINDOW + 1));
}

/// A VM whose claim took effect late waited for the end of the lease that it held.
#[test]
fn vm_renews_at_once_after_its_claim_took_effect_late() {
    let mut b = lease("b", 0);
    b.observe(at(0), position(1, 80), unix(WINDOW));
    b.fold(at(0), 79, &entry("a", 1, 79));
    b.read_to(at(0), 80);
    let (claim, end) = send(&mut b, 3_150);
    b.require_read();
    b.read_to(at(4_400), end);
    send(&mut b, 4_400);
    b.require_read();
    b.fold(at(5_400), end, &claim);
    b.read_to(at(5_400), end + 1);
    assert!(matches!(b.next_step(at(5_400)), DutyStep::Append(..)));
}

/// A VM reported the figures of a second seal, by a VM of an earlier release that didn't know that the first
/// one had been dropped.
#[test]
fn second_seal_of_an_earlier_release_after_missed_records_is_not_reported() {
    let seal = |window| {
        let counts = [("org".parse().unwrap(), 9)].into();
        let sealed = SealedWindow { window, counts };
        let entry: DutyEntry = DutyRecord::Seal("a".parse().unwrap(), INCARNATION, sealed).into();
        entry
    };
    let mut b = lease("b", 0);
    b.observe(at(0), position(0, 1), unix(WINDOW - 1));
    b.fold(at(0), 0, &renewal("a"));
    b.read_to(at(0), 1);
    b.observe(at(5_000), position(0, 4), unix(WINDOW));
    b.read_to(at(5_000), 4);
    b.fold(at(5_500), 4, &seal(WINDOW - 1));
    b.fold(at(5_600), 5, &seal(WINDOW));
    assert_eq!(b.sealed(WINDOW - 1), None);
    assert!(b.sealed(WINDOW).is_some());
}

/// A VM reported the figures of the first of two seals, after the VM of an earlier release that had missed it had
/// reported those of the second one.
#[test]
fn window_with_two_different_seals_is_not_reported() {
    let seal = |count| {
        let counts = [("org".parse().unwrap(), count)].into();
        let window = WINDOW - 1;
        let sealed = SealedWindow { window, counts };
        let entry: DutyEntry = DutyRecord::Seal("a".parse().unwrap(), INCARNATION, sealed).into();
        entry
    };
    let mut b = lease("b", 0);
    b.observe(at(0), position(0, 3), unix(WINDOW));
    b.fold(at(0), 0, &seal(7));
    b.fold(at(0), 1, &seal(7));
    assert!(b.sealed(WINDOW - 1).is_some());
    b.fold(at(0), 2, &seal(9));
    assert_eq!(b.sealed(WINDOW - 1), None);
    assert!(!b.is_open(WINDOW - 1));
}

/// A VM whose clock was behind when it skipped a seal that it could not decode sealed the window twice.
#[test]
fn window_is_not_sealed_again_after_an_unreadable_record_and_a_wrong_time() {
    let window = WINDOW - 2;
    let mut b = lease("b", 0);
    b.observe(at(0), position(1, 80), unix(window));
    b.fold(at(0), 78, &entry("a", 1, 78));
    b.skip(at(0), 79);
    b.read_to(at(0), 80);
    b.observe(at(1_800), position(1, 80), unix(WINDOW));
    append(&mut b, 3_150);
    let counts = [("org".parse().unwrap(), 9)].into();
    assert_eq!(b.seal(at(3_200), SealedWindow { window, counts }), None);
}

/// A record of another writer with an absurd token or era made tokens overflow, or all later records void.
#[test]
fn record_with_an_absurd_token_or_era_gives_nobody_the_lease() {
    for absurd in [entry("x", 1, u64::MAX), entry("x", u64::MAX, 97)] {
        let mut a = holder("a", 95, 0);
        a.fold(at(100), 96, &absurd);
        a.read_to(at(100), 97);
        assert_eq!((a.epoch(at(100)), a.holder()), (None, None));
        append(&mut a, 3_250);
        assert!(a.epoch(at(3_250)) > Some(Epoch(95)));
        assert!(a.epoch(at(3_250)) < Some(Epoch(1 << 53)));
    }
}
