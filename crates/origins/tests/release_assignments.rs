//! Fleets of 8, 60 and 300 VMs that enforce the assignments of the platform's records.

mod origin_common;
mod origin_sim;

use {
    origin_sim::{Fleet, Outcome, Tally},
    std::time::Duration,
};

/// VMs, zones, and new streams a second.
const FLEETS: [(usize, usize, f64); 3] = [(8, 3, 70.0), (60, 4, 300.0), (300, 10, 900.0)];
const LIFE: Duration = Duration::from_secs(20);
/// Time after a change of the releases until the buckets have settled.
const HOLD_TIME: Duration = Duration::from_secs(125);
/// Smallest share of callers who come back to which a VM can name the release.
const MIN_KNOWN: f64 = 0.9;
/// Largest share of new streams that find no endpoint.
const MAX_UNPLACED: f64 = 0.05;
/// Seeds of the fleets with faults of all kinds.
const SEEDS: u64 = 12;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A fleet that has served two releases until the buckets have settled.
fn fleet_of_two(vms: usize, zones: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(vms, zones, LIFE, seed);
    fleet.list(&[1, 2]);
    fleet.run(HOLD_TIME, 0.0);
    fleet
}

/// Kills all VMs and returns what becomes of the callers.
fn restart(fleet: &mut Fleet, rate: f64) -> Tally {
    fleet.take_tally();
    fleet.kill_all();
    fleet.run(secs(9), rate);
    fleet.take_tally()
}

fn check_known(vms: usize, tally: &Tally) {
    let (returns, share) = Tally::share(&tally.all);
    println!("{vms} VMs: {share:.3} of {returns} returns known");
    assert_eq!(tally.wrong(), 0, "{vms} VMs");
    assert!(returns > 20, "{vms} VMs: {returns}");
    assert!(share > MIN_KNOWN, "{vms} VMs: {share} of {returns}");
}

/// Guards against unknown origins after a restart of all VMs while two releases serve.
#[test]
fn streams_of_two_releases_are_known_after_all_vms_restart() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = fleet_of_two(vms, zones, 14);
        fleet.run(secs(5), rate);
        check_known(vms, &restart(&mut fleet, rate));
        // And again, before a window has been observed.
        check_known(vms, &restart(&mut fleet, rate));
    }
}

/// Guards against streams resumed at a wrong release if the releases change shortly before a restart of all VMs.
#[test]
fn streams_are_not_joined_when_releases_change_before_all_vms_restart() {
    for (vms, zones, rate) in FLEETS {
        for releases in [[2].as_slice(), &[1, 2, 3], &[2, 3]] {
            let mut fleet = fleet_of_two(vms, zones, 15);
            fleet.run(secs(3), rate);
            fleet.list(releases);
            fleet.run(secs(5), rate);
            let tally = restart(&mut fleet, rate);
            println!("{vms} VMs, {releases:?}: {:?}", tally.all);
            assert_eq!(tally.wrong(), 0, "{vms} VMs, {releases:?}");
            assert!(Tally::share(&tally.all).0 > 20, "{vms} VMs, {releases:?}");
        }
    }
}

/// Guards against new streams without an endpoint after their assigned release was removed.
#[test]
fn streams_begin_elsewhere_when_their_release_has_left() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = fleet_of_two(vms, zones, 16);
        fleet.run(secs(1), rate);
        fleet.take_tally();
        fleet.list(&[2]);
        fleet.run(secs(20), rate);
        let tally = fleet.take_tally();
        let unplaced = tally.not_placed as f64 / (tally.begun + tally.not_placed) as f64;
        println!("{vms} VMs: {unplaced:.4} of new streams not placed");
        assert!(unplaced < MAX_UNPLACED, "{vms} VMs: {unplaced}");
    }
}

/// Guards against new streams without an endpoint while the VMs of a zone can't reach their assigned release, and against
/// wrong origins for the streams that other releases serve instead.
#[test]
fn streams_begin_elsewhere_while_their_release_cannot_be_used() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = fleet_of_two(vms, zones, 17);
        fleet.run(secs(1), rate);
        for vm in fleet.vms.iter_mut().filter(|vm| vm.zone == 0) {
            vm.unusable = Some(2);
        }
        fleet.take_tally();
        fleet.run(secs(20), rate);
        let tally = fleet.take_tally();
        let unplaced = tally.not_placed as f64 / (tally.begun + tally.not_placed) as f64;
        println!("{vms} VMs: {unplaced:.4} of new streams not placed");
        assert!(unplaced < MAX_UNPLACED, "{vms} VMs: {unplaced}");
        let tally = restart(&mut fleet, rate);
        assert_eq!(tally.wrong(), 0, "{vms} VMs");
    }
}

/// Guards against wrong origins for streams of VMs of an earlier release of the router, which ignore assignments.
#[test]
fn streams_of_vms_that_know_no_assignments_are_not_joined() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = fleet_of_two(vms, zones, 18);
        // The first one is noticed before the others, among them those that read the platform, are replaced.
        for vms in [vms / 2..vms / 2 + 1, 0..vms / 3] {
            vms.clone().for_each(|vm| fleet.kill(vm));
            fleet.run(secs(5), rate);
            vms.for_each(|vm| fleet.vms[vm].is_earlier = true);
            fleet.run(secs(2), rate);
        }
        let tally = restart(&mut fleet, rate);
        assert_eq!(tally.wrong(), 0, "{vms} VMs");
        // All have restarted with this release.
        fleet.run(HOLD_TIME, 0.0);
        fleet.run(secs(5), rate);
        check_known(vms, &restart(&mut fleet, rate));
    }
}

/// Guards against refused new streams, and wrong origins, during an outage of the store.
#[test]
fn streams_begin_and_are_not_joined_while_the_store_is_away() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = fleet_of_two(vms, zones, 19);
        fleet.store.down_until = fleet.now + secs(15);
        fleet.run(secs(5), rate);
        assert_eq!(fleet.take_tally().not_placed, 0, "{vms} VMs");
        fleet.kill_all();
        fleet.run(secs(12), rate);
        assert_eq!(fleet.take_tally().wrong(), 0, "{vms} VMs");
        // The records are as before once the store is back.
        fleet.run(secs(5), rate);
        check_known(vms, &restart(&mut fleet, rate));
    }
}

/// Random changes of releases, unreachable endpoints, VM restarts with this or an earlier release of the router, partitions,
/// and outages and lost answers of the store.
fn run_at_random(seed: u64) -> Tally {
    let mut fleet = Fleet::new(8, 3, LIFE, seed);
    fleet.store.lost_share = 0.2;
    for _ in 0..60 {
        if fleet.rng.u8(..5) == 0 {
            let releases: &[&[u64]] = &[&[1], &[2], &[1, 2], &[1, 2], &[2, 3]];
            let listed = releases[fleet.rng.usize(..releases.len())];
            fleet.list(listed);
        }
        let vm = fleet.rng.usize(..8);
        match fleet.rng.u8(..14) {
            0 => fleet.kill_all(),
            1..3 => fleet.kill(vm),
            3 => fleet.store.down_until = fleet.now + secs(4),
            4 => {
                let time = fleet.rng.u64(2..15);
                fleet.cut(vm, secs(time));
            }
            5 => fleet.vms[vm].unusable = Some(1),
            6 => fleet.vms.iter_mut().for_each(|vm| vm.unusable = None),
            7 => fleet.vms[vm].is_earlier = true,
            8 => fleet.vms.iter_mut().for_each(|vm| vm.is_earlier = false),
            _ => {}
        }
        let pause = fleet.rng.u64(500..12_000);
        fleet.run(Duration::from_millis(pause), 12.0);
    }
    fleet.take_tally()
}

/// Guards against streams resumed at the assigned release although they started at another one.
#[test]
fn streams_are_never_joined_at_another_release_than_their_own() {
    let mut known = 0;
    for seed in 0..SEEDS {
        let tally = run_at_random(seed);
        assert_eq!(tally.wrong(), 0, "seed {seed}: {:?}", tally.all);
        known += tally.all.get(&Outcome::Right).copied().unwrap_or(0);
    }
    assert!(known > 0);
}
