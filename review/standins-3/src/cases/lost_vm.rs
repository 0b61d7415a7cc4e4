//! A VM is lost, and a release of the service begins right after; callers take up its streams.

use {
    super::{
        TempDir,
        restart::{VM_ZONES, WORK, ZONES, release},
        split_route::{DARK, INTERVAL, RECONNECT},
    },
    crate::{
        callers::{Break, World, judge, lock, spawn_callers},
        config::{LLM, stream_route, write_config},
        fleet::{Block, FleetSpec, STORE_PORT, Vm, start_vms, wait_ready},
        platform::Store,
        record::Record,
        replica::{Replica, ReplicaSpec, Runs},
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

/// The VM that is lost: none that reads the store for its zone.
const LOST_VM: usize = 0;
const REPLICAS: u8 = 9;
/// The replicas that are replaced, one after the other: 0.45 of them.
const RELEASED: [usize; 4] = [0, 1, 2, 3];
/// Time for which the system has run before: longer than streams may be resumed.
const RUN: Duration = Duration::from_secs(36);
/// Time from the loss to the release.
const RELEASE_AFTER: Duration = Duration::from_millis(500);

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
    thread::sleep(RUN.saturating_sub(Duration::from_secs(15)));
    let calls = spawn_callers(&world, INTERVAL, &stop);
    thread::sleep(Duration::from_secs(15));
    let lost_at = Instant::now();
    *lock(&world.broken) = Some(Break {
        at: lost_at,
        vm: Some(LOST_VM),
        reconnect: RECONNECT,
        by_callers: !trouble,
    });
    if trouble {
        vms[LOST_VM].kill();
        record.line(format!("VM {LOST_VM} loses power"));
    }
    thread::sleep(RELEASE_AFTER);
    let released = thread::scope(|scope| {
        let releasing = scope.spawn(|| release(&world, &RELEASED, "v2", &start));
        if trouble {
            thread::sleep(DARK.saturating_sub(lost_at.elapsed()));
            vms[LOST_VM].restart()?;
            record.line(format!("VM {LOST_VM} is back"));
            world.fronts.restarted(&vms);
        }
        releasing.join().map_err(|_| "the release failed")?
    });
    released?;
    thread::sleep(Duration::from_secs(9));
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
