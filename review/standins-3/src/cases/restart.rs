//! All VMs are killed at once and start again after releases of a service; callers take up their streams.

use {
    super::TempDir,
    crate::{
        callers::{Break, World, judge, lock, spawn_callers},
        config::{LLM, stream_route, write_config},
        fleet::{Block, FleetSpec, STORE_PORT, Vm, start_vms, wait_ready},
        platform::Store,
        record::Record,
        replica::{Replica, ReplicaSpec, Runs, Work},
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Zones of the VMs and of the replicas, as on the sheet.
pub(super) const VM_ZONES: [&str; 8] = [
    "ernakulam",
    "ernakulam",
    "ernakulam",
    "calicut",
    "calicut",
    "calicut",
    "trivandrum",
    "trivandrum",
];
pub(super) const ZONES: [&str; 3] = ["ernakulam", "calicut", "trivandrum"];
const REPLICAS: u8 = 9;
/// The replicas that the two releases replace, one after the other: 0.45 of them each time. Two of v1, three of v2
/// and four of v3 are left.
const FIRST_RELEASE: [usize; 4] = [0, 1, 2, 3];
const SECOND_RELEASE: [usize; 4] = [0, 4, 5, 6];
const RELEASE_GAP: Duration = Duration::from_secs(1);
pub(super) const WORK: Work = Work::Stream {
    events: 100,
    gap: Duration::from_millis(110),
};
/// Interval between two new streams.
const INTERVAL: Duration = Duration::from_millis(150);
/// Time after the kill at which the processes run again.
const DOWN: Duration = Duration::from_millis(700);
/// Pause of a caller whose connection broke, until it takes the stream up again.
const RECONNECT: Duration = Duration::from_millis(4_300);

/// Replaces replicas by ones of another version: the new one starts first, the old one drains.
pub(super) fn release(
    world: &World,
    old: &[usize],
    version: &str,
    start: &(dyn Fn(&str, &str) -> Result<Replica, String> + Sync),
) -> Result<(), String> {
    for number in old {
        let old = lock(&world.replicas)[*number].clone();
        let new = start(version, old.zone())?;
        lock(&world.replicas)[*number] = new;
        old.drain();
        thread::sleep(RELEASE_GAP);
    }
    Ok(())
}

pub(super) fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let dir = TempDir::create()?;
    let block = Block::free()?;
    let store = Store::default();
    let runs = Runs::default();
    write_config(&store, 7, &[stream_route("r-s", "/s/", true, 2)]);
    let started = Mutex::new(0_u8);
    let start = |version: &str, zone: &str| {
        let mut number = lock(&started);
        *number += 1;
        let spec = ReplicaSpec {
            id: format!("i-{:08x}", fastrand::u32(..)),
            service: LLM,
            zone: zone.to_owned(),
            version: version.to_owned(),
            slots: 128,
            work: WORK,
        };
        Replica::start(spec, block.ip(100 + *number), (&store, record, &runs))
    };
    let replicas: Result<Vec<_>, _> = (0..REPLICAS)
        .map(|n| start("v1", ZONES[usize::from(n) % ZONES.len()]))
        .collect();
    let spec = FleetSpec {
        block,
        zones: &VM_ZONES,
        dir: &dir.0,
        store_port: STORE_PORT,
    };
    let mut vms = start_vms(&spec, &store)?;
    wait_ready(&vms, Duration::from_secs(15))?;
    record.line("all VMs are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let world = World::new(record, &vms, replicas?);
    world.fronts.check(&stop);
    let calls = spawn_callers(&world, INTERVAL, &stop);
    thread::sleep(Duration::from_secs(6));
    release(&world, &FIRST_RELEASE, "v2", &start)?;
    thread::sleep(Duration::from_secs(6));
    release(&world, &SECOND_RELEASE, "v3", &start)?;
    thread::sleep(Duration::from_secs(10));
    *lock(&world.broken) = Some(Break {
        at: Instant::now(),
        vm: None,
        reconnect: RECONNECT,
        by_callers: !trouble,
    });
    if trouble {
        vms.iter_mut().for_each(Vm::kill);
        record.line("all processes are killed");
        thread::sleep(DOWN);
        for vm in &mut vms {
            vm.restart()?;
        }
        record.line("all processes run again");
        world.fronts.restarted(&vms);
    }
    thread::sleep(Duration::from_secs(16));
    stop.store(true, SeqCst);
    for call in calls.join().map_err(|_| "callers failed")? {
        call.join().map_err(|_| "a caller failed")?;
    }
    if vms.iter_mut().any(Vm::has_ended) {
        record.say("a process ended by itself");
        return Ok(false);
    }
    let outcomes = lock(&world.outcomes).clone();
    Ok(judge(record, &outcomes))
}
