//! Fleets of 8, 60 and 300 VMs whose callers come back while several releases serve.

mod origin_common;
mod origin_sim;

use {
    origin_sim::{Fleet, Tally},
    std::time::Duration,
};

/// VMs, zones, and new streams a second.
const FLEETS: [(usize, usize, f64); 3] = [(8, 1, 70.0), (60, 4, 300.0), (300, 10, 900.0)];
const LIFE: Duration = Duration::from_secs(20);
/// Seeds of the fleets with an isolated VM.
const ISOLATED_SEEDS: u64 = 20;
/// Smallest share of callers who come back to which a VM can name the release, without cut VMs.
const MIN_KNOWN: f64 = 0.9;
/// Most bytes of control a second of a VM that is no hub.
const MAX_BYTES: f64 = 4_096.0;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Runs while VMs are killed and two are cut off.
fn run_with_trouble(fleet: &mut Fleet, time: u64, rate: f64) {
    let vms = fleet.vms.len();
    let kill_interval = if vms < 20 { 4 } else { 1 };
    for second in 0..time {
        if second % kill_interval == 0 {
            let vm = fleet.rng.usize(..vms);
            fleet.kill(vm);
        }
        if second == 2 {
            let (one, other) = (fleet.rng.usize(..vms), fleet.rng.usize(..vms));
            fleet.cut(one, secs(8));
            fleet.cut(other, secs(8));
        }
        if second == 5 && fleet.uses_hubs() {
            let hub = fleet.first_hub(0);
            fleet.kill(hub);
        }
        fleet.run(secs(1), rate);
    }
}

fn report(name: &str, vms: usize, seed: u64, tally: &Tally) {
    let [all, killed_new, second, cut] =
        [&tally.all, &tally.killed_new, &tally.second, &tally.cut].map(Tally::share);
    println!(
        "{name}, {vms} VMs, seed {seed}: {} begun, {} not begun; known of {} returns {:.3}, of {} from VMs \
         killed at once {:.3}, of {} second {:.3}, with cut VMs of {} {:.3}",
        tally.begun,
        tally.not_settled,
        all.0,
        all.1,
        killed_new.0,
        killed_new.1,
        second.0,
        second.1,
        cut.0,
        cut.1,
    );
}

fn check(name: &str, vms: usize, seed: u64, tally: &Tally) {
    report(name, vms, seed, tally);
    assert_eq!(tally.wrong(), 0, "{name}, {vms} VMs, seed {seed}");
    let (returns, share) = Tally::share(&tally.all);
    assert!(returns > 20, "{name}, {vms} VMs, seed {seed}: {returns}");
    assert!(share > MIN_KNOWN, "{name}, {vms} VMs, seed {seed}: {share}");
}

/// Callers whose VM was killed, or was cut off, were served by the other release.
#[test]
fn callers_come_back_to_their_release_while_a_second_one_appears() {
    for (vms, zones, rate) in FLEETS {
        for seed in 0..2 {
            let mut fleet = Fleet::new(vms, zones, LIFE, seed);
            fleet.run(secs(5), rate);
            fleet.list(&[1, 2]);
            run_with_trouble(&mut fleet, 14, rate);
            check("second release", vms, seed, &fleet.take_tally());
        }
    }
}

/// Guards against unknown origins after a change of routing weights: without it, origins aren't replicated while each service
/// has a single release.
#[test]
fn callers_are_known_after_weights_have_changed() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = Fleet::new(vms, zones, LIFE, 4);
        fleet.run(secs(5), rate);
        fleet.reweighted = Some(fleet.now);
        fleet.run(secs(3), rate);
        fleet.take_tally();
        run_with_trouble(&mut fleet, 10, rate);
        check("weights", vms, 4, &fleet.take_tally());
    }
}

/// After a rollback callers of the release between were served by the old one.
#[test]
fn callers_come_back_to_their_release_after_a_rollback() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = Fleet::new(vms, zones, LIFE, 3);
        fleet.run(secs(2), rate);
        fleet.list(&[1, 2]);
        fleet.run(secs(6), rate);
        fleet.list(&[1]);
        run_with_trouble(&mut fleet, 10, rate);
        check("rollback", vms, 3, &fleet.take_tally());
    }
}

/// VMs that were cut off while a release came and went inferred the other one, then or afterwards.
#[test]
fn cut_vms_infer_nothing_from_old_lists() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = Fleet::new(vms, zones, LIFE, 10);
        fleet.run(secs(2), rate);
        for vm in (0..vms).step_by(4) {
            fleet.cut(vm, secs(9));
        }
        fleet.list(&[1, 2]);
        for second in 0..12 {
            fleet.run(secs(1), rate);
            if second == 6 {
                fleet.list(&[1]);
            }
            if second > 3 && second % 2 == 0 {
                // Its callers come back anywhere.
                let vm = 1 + 4 * fleet.rng.usize(..vms / 4);
                fleet.kill(vm);
            }
        }
        let tally = fleet.take_tally();
        report("cut VMs", vms, 10, &tally);
        assert_eq!(tally.wrong(), 0, "{vms} VMs");
        let (returns, _) = Tally::share(&tally.cut);
        assert!(returns > 20, "{vms} VMs: {returns}");
    }
}

/// A VM that had just started used a new release before a VM that is cut off from the others could know, which took the old
/// release for the only one.
#[test]
fn isolated_vm_does_not_resume_streams_of_a_vm_that_has_just_started() {
    for seed in 0..ISOLATED_SEEDS {
        let mut fleet = Fleet::new(8, 1, LIFE, seed);
        fleet.kill(2);
        // It starts again half a second after the release is listed.
        fleet.run(Duration::from_millis(3_500), 70.0);
        fleet.isolate(1, secs(10));
        fleet.list(&[1, 2]);
        fleet.run(Duration::from_millis(1_600), 400.0);
        fleet.take_tally();
        fleet.kill(2);
        fleet.run(secs(2), 70.0);
        let tally = fleet.take_tally();
        assert_eq!(tally.wrong(), 0, "seed {seed}: {:?}", tally.all);
    }
}

/// Callers of a release whose last endpoint had gone were served by the one that was left.
#[test]
fn callers_of_a_release_that_is_gone_are_known() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = Fleet::new(vms, zones, LIFE, 4);
        fleet.list(&[1, 2]);
        fleet.run(secs(5), rate);
        fleet.list(&[2]);
        run_with_trouble(&mut fleet, 6, rate);
        // Replaced at once.
        fleet.list(&[3]);
        run_with_trouble(&mut fleet, 6, rate);
        check("release gone", vms, 4, &fleet.take_tally());
    }
}

/// With a zone all that knew the origins of its streams was gone.
#[test]
fn callers_of_a_zone_that_failed_are_known() {
    for (vms, zones, rate) in FLEETS.into_iter().filter(|f| f.1 > 1) {
        for backups in [1, zones] {
            let mut fleet = Fleet::new(vms, zones, LIFE, 7);
            fleet.backups = backups;
            fleet.run(secs(5), rate);
            fleet.list(&[1, 2]);
            fleet.run(secs(6), rate);
            fleet.kill_zone(1);
            fleet.run(secs(3), rate);
            check("zone failed", vms, 7, &fleet.take_tally());
        }
    }
}

/// Only hubs knew that an origin is unknown, and the other VMs took it for the sole release.
#[test]
fn origins_in_doubt_are_unknown_everywhere() {
    for (vms, zones, _) in FLEETS {
        let mut fleet = Fleet::new(vms, zones, LIFE, 8);
        for _ in 0..200 {
            fleet.begin_in_doubt();
            fleet.run(Duration::from_millis(20), 1.0);
        }
        fleet.run(secs(2), 1.0);
        let tally = fleet.take_tally();
        assert_eq!(tally.wrong(), 0, "{vms} VMs");
        assert!(tally.unknowable() >= 195, "{vms} VMs: {:?}", tally.all);
    }
}

/// Streams of endpoints whose release isn't known were taken for those of the known one, or made VMs
/// tell each other of all of them.
#[test]
fn streams_of_unknown_releases_are_unknown_and_not_told() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = Fleet::new(vms, zones, LIFE, 9);
        fleet.list(&[1, 0]);
        run_with_trouble(&mut fleet, 16, rate);
        let tally = fleet.take_tally();
        assert!(tally.unknowable() > 10, "{vms} VMs: {:?}", tally.all);
        check("unknown release", vms, 9, &tally);
        fleet.list(&[0]);
        fleet.run(LIFE * 2 + secs(2), 0.0);
        fleet.network.reset_counts();
        fleet.run(secs(12), rate);
        assert_eq!(fleet.network.datagrams(), 0, "{vms} VMs");
        let tally = fleet.take_tally();
        assert_eq!(tally.wrong(), 0, "{vms} VMs");
        assert!(tally.unknowable() > 0, "{vms} VMs");
    }
}

/// VMs told each other of each stream though all could infer its release.
#[test]
fn vms_are_silent_while_one_release_serves() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = Fleet::new(vms, zones, LIFE, 5);
        fleet.run(secs(12), rate);
        assert_eq!(fleet.network.datagrams(), 0, "{vms} VMs");
        let tally = fleet.take_tally();
        let (returns, share) = Tally::share(&tally.all);
        assert_eq!((tally.wrong(), share), (0, 1.0), "{vms} VMs, {returns}");
        // And again when another one has been gone for a window.
        fleet.list(&[1, 2]);
        fleet.run(secs(3), rate);
        assert!(fleet.network.datagrams() > 0, "{vms} VMs");
        fleet.list(&[1]);
        fleet.run(LIFE * 2 + secs(2), 0.0);
        fleet.network.reset_counts();
        fleet.run(secs(3), rate);
        assert_eq!(fleet.network.datagrams(), 0, "{vms} VMs");
    }
}

/// What VMs told each other of streams cost more than the control traffic that a node may have.
#[test]
fn control_traffic_stays_within_the_target() {
    for (vms, zones, rate) in FLEETS {
        let mut fleet = Fleet::new(vms, zones, secs(60), 6);
        fleet.run(secs(20), rate);
        fleet.network.reset_counts();
        fleet.list(&[1, 2]);
        for (phase, time) in [("first seconds", 5), ("both releases", 10)] {
            fleet.run(secs(time), rate);
            for hubs in [false, true]
                .into_iter()
                .filter(|h| !h || fleet.uses_hubs())
            {
                let (most, mean) = fleet.bytes_per_second(hubs, secs(time));
                let (most_sent, mean_sent) = fleet.datagrams_per_second(hubs, secs(time));
                let role = if hubs { "hubs" } else { "VMs" };
                println!(
                    "{vms} VMs, {phase}, {role}: bytes/s most {most:.0}, mean {mean:.0}; \
                     datagrams/s most {most_sent:.1}, mean {mean_sent:.1}"
                );
                let is_bounded = vms == 300 && !hubs;
                assert!(
                    !is_bounded || most <= MAX_BYTES,
                    "{vms} VMs, {phase}: {most}"
                );
            }
            fleet.network.reset_counts();
        }
    }
}
