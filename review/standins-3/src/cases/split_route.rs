//! A VM is lost, and a configuration that splits a route comes right after; callers take up its streams.

use {
    super::{
        TempDir,
        restart::{VM_ZONES, WORK, ZONES},
    },
    crate::{
        callers::{Break, World, judge, lock, spawn_callers},
        config::{LLM, LLM_B, split_route, stream_route, write_config},
        fleet::{Block, FleetSpec, STORE_PORT, Vm, start_vms, wait_ready},
        platform::Store,
        record::Record,
        replica::{Replica, ReplicaSpec, Runs},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

const REPLICAS: u8 = 9;
/// Replicas of the second service, from the end.
const REPLICAS_B: u8 = 3;
/// Interval between two new streams: 25 a second, as the sheet has it.
pub(super) const INTERVAL: Duration = Duration::from_millis(40);
/// The VM that is lost.
const LOST_VM: usize = 7;
/// Time for which it stays dark.
pub(super) const DARK: Duration = Duration::from_millis(3_500);
/// Time from the loss to the configuration.
const CONFIG_AFTER: Duration = Duration::from_millis(500);
/// Pause of a caller whose connection broke, until it takes the stream up again.
pub(super) const RECONNECT: Duration = Duration::from_millis(3_000);

pub(super) fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let dir = TempDir::create()?;
    let block = Block::free()?;
    let store = Store::default();
    let runs = Runs::default();
    write_config(&store, 7, &[stream_route("r-s", "/s/", true, 2)]);
    let start = |number: u8| {
        let is_b = number >= REPLICAS - REPLICAS_B;
        let spec = ReplicaSpec {
            id: format!("i-{:08x}", fastrand::u32(..)),
            service: if is_b { LLM_B } else { LLM },
            zone: ZONES[usize::from(number) % ZONES.len()].to_owned(),
            version: "v1".into(),
            slots: 128,
            work: WORK,
        };
        Replica::start(spec, block.ip(100 + number), (&store, record, &runs))
    };
    let replicas: Result<Vec<_>, _> = (0..REPLICAS).map(start).collect();
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
    thread::sleep(Duration::from_secs(20));
    *lock(&world.broken) = Some(Break {
        at: Instant::now(),
        vm: Some(LOST_VM),
        reconnect: RECONNECT,
        by_callers: !trouble,
    });
    if trouble {
        vms[LOST_VM].kill();
        record.line(format!("VM {LOST_VM} loses power"));
    }
    thread::sleep(CONFIG_AFTER);
    write_config(&store, 8, &[split_route("r-s", "/s/")]);
    record.line("version 8 is acknowledged: the route is split");
    if trouble {
        thread::sleep(DARK - CONFIG_AFTER);
        vms[LOST_VM].restart()?;
        record.line(format!("VM {LOST_VM} is back"));
        world.fronts.restarted(&vms);
    }
    thread::sleep(Duration::from_secs(10));
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
