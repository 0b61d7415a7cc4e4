//! The settings files change while the VMs run: the store gets another address.

use {
    super::TempDir,
    crate::{
        client::plain,
        config::{DESK, TENANTS, key, unsafe_route, write_config, write_config_without},
        fleet::{Block, FleetSpec, STORE_PORT, Vm, start_vms, wait_ready},
        platform::{Machine, Store},
        record::Record,
        replica::{Replica, ReplicaSpec, Runs, Work},
    },
    rustix::process::Signal,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const VM_ZONES: [&str; 4] = ["ernakulam", "ernakulam", "calicut", "calicut"];
const ZONES: [&str; 2] = ["ernakulam", "calicut"];
const REPLICAS: u8 = 3;
const WORK: Work = Work::Plain {
    time: Duration::from_millis(60),
    size: 800,
};
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Port of the store after the change.
const NEW_PORT: u16 = 8744;
/// Numbers of the VMs as callers of the store at its new address, beyond their own.
const NEW_MACHINES: u8 = 100;
/// Pause between the signals to the first half of the VMs and to the second one.
const HUP_GAP: Duration = Duration::from_secs(2);
/// Time for which the store serves both addresses.
const OVERLAP: Duration = Duration::from_secs(4);
/// Time from the end of the old address to the configuration without the key: a VM is in touch again after `contactMs`.
const SETTLE: Duration = Duration::from_secs(4);
/// Bound for a configuration to be in force (`configApplyMs`).
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Time in which requests are counted.
const COUNTED: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(100);
const DROPPED: &str = TENANTS[0];

/// Requests and their answers.
#[derive(Debug, Default)]
struct Answers {
    sent: u32,
    served: u32,
    unauthorized: u32,
}

/// Sends requests with the key of a tenant to all VMs in turn.
fn send(record: &Record, vms: &[Vm], tenant: &str, time: Duration) -> Answers {
    let mut answers = Answers::default();
    let began = Instant::now();
    while began.elapsed() < time {
        let vm = &vms[answers.sent as usize % vms.len()];
        let id = format!("{:08x}{:08x}", answers.sent, fastrand::u32(..));
        let status = plain(vm.front(), "/u/2f", (&id, &key(tenant)), TIMEOUT);
        record.line(format!(
            "request {id} of {tenant} at {}: {status:?}",
            vm.name
        ));
        answers.sent += 1;
        answers.served += u32::from(status == Some(200));
        answers.unauthorized += u32::from(status == Some(401));
        thread::sleep(PAUSE);
    }
    answers
}

pub(super) fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let dir = TempDir::create()?;
    let block = Block::free()?;
    let store = Store::default();
    let runs = Runs::default();
    let routes = [unsafe_route("r-u", "/u/", TIMEOUT.as_millis() as u32)];
    write_config(&store, 7, &routes);
    let start = |number: u8| {
        let spec = ReplicaSpec {
            id: format!("i-{:08x}", fastrand::u32(..)),
            service: DESK,
            zone: ZONES[usize::from(number) % ZONES.len()].to_owned(),
            version: "v1".into(),
            slots: 6,
            work: WORK,
        };
        Replica::start(spec, block.ip(100 + number), (&store, record, &runs))
    };
    let replicas: Result<Vec<_>, _> = (0..REPLICAS).map(start).collect();
    let _replicas = replicas?;
    let spec = FleetSpec {
        block,
        zones: &VM_ZONES,
        dir: &dir.0,
        store_port: STORE_PORT,
    };
    let mut vms = start_vms(&spec, &store)?;
    wait_ready(&vms, Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(3));
    let before = send(record, &vms, DROPPED, Duration::from_secs(2));
    record.say(format!("version 7: {before:?}"));
    if trouble {
        let moved = FleetSpec {
            store_port: NEW_PORT,
            ..spec
        };
        for (number, (vm, zone)) in vms.iter().zip(VM_ZONES).enumerate() {
            if number == VM_ZONES.len() / 2 {
                thread::sleep(HUP_GAP);
            }
            let machine = Machine(NEW_MACHINES + number as u8 + 1);
            store.listen(machine, vm.store_addr(NEW_PORT));
            vm.write_settings(&moved, zone, false)?;
            vm.signal(Signal::HUP)?;
            record.line(format!(
                "settings of {} changed: the store has another address; SIGHUP sent",
                vm.name
            ));
        }
        thread::sleep(OVERLAP);
        for number in 1..=VM_ZONES.len() as u8 {
            store.reject(Machine(number), Some(crate::platform::Outage::Close));
        }
        record.line("the store no longer serves its old address");
        thread::sleep(SETTLE);
    }
    write_config_without(&store, 8, &routes, DROPPED);
    record.line(format!("version 8 is acknowledged: {DROPPED} has no key"));
    thread::sleep(CONFIG_APPLY);
    let ran_before = runs.lock().map_err(|_| "a replica failed")?.len();
    let after = send(record, &vms, DROPPED, COUNTED);
    let ran = runs.lock().map_err(|_| "a replica failed")?.len() - ran_before;
    record.say(format!(
        "later than configApplyMs after version 8, with the dropped key: {after:?}, run by replicas: {ran}"
    ));
    if vms.iter_mut().any(Vm::has_ended) {
        record.say("a process ended by itself");
        return Ok(false);
    }
    Ok(ran == 0)
}
