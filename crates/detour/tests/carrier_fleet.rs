//! Fleets of which a part is cut off from the endpoints: how the other VMs share their requests.
//!
//! Each cut VM has its own table of the carriers, sends requests at random times and knows late which
//! VMs have died or were cut as well.

use {
    clock::Instant,
    detour::{Carrier, CarrierTable},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    types::{VmId, ZoneId},
};

const ZONES: u32 = 5;
/// CPU shares of the two strongest VMs of a zone, and of the others.
const STRONG_MILLICORES: u32 = 500;
const WEAK_MILLICORES: u32 = 120;
/// Time that a carrier has a request.
const WORK_TIME: Duration = Duration::from_millis(400);
/// Time after which a cut VM knows that a carrier has ended.
const NEWS_AGE: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_secs(10);

fn zone(number: u32) -> ZoneId {
    format!("z{number}").parse().unwrap()
}

fn vm(number: u32) -> Carrier {
    Carrier {
        vm: format!("vm-{number:03}").parse().unwrap(),
        addr: SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8], 80)),
        zone: zone(number % ZONES),
        millicores: if number / ZONES < 2 {
            STRONG_MILLICORES
        } else {
            WEAK_MILLICORES
        },
    }
}

struct Run {
    /// Most requests at once at each carrier.
    busiest: BTreeMap<VmId, u32>,
    /// Requests that each carrier took.
    carried: BTreeMap<VmId, u64>,
    total: u64,
    failed: u64,
    /// Mean number of requests in flight.
    in_flight: f64,
    cores: f64,
}

/// Lets the VMs that `is_cut` send `rate` requests a second each; `dies` ends in the middle.
fn run(vms: u32, is_cut: impl Fn(u32) -> bool, rate: f64, dies: impl Fn(u32) -> bool) -> Run {
    let mut rng = fastrand::Rng::with_seed(u64::from(vms));
    let carriers: Vec<_> = (0..vms).filter(|n| !is_cut(*n)).collect();
    let mut tables: Vec<_> = (0..vms)
        .filter(|n| is_cut(*n))
        .map(|n| (zone(n % ZONES), CarrierTable::new(u64::from(n))))
        .collect();
    let start = Instant::default() + Duration::from_secs(100);
    let death = start + RUN_TIME / 2;
    let mut load: BTreeMap<VmId, u32> = BTreeMap::new();
    let mut work: Vec<(Instant, usize, VmId)> = Vec::new();
    let mut result = Run {
        busiest: BTreeMap::new(),
        carried: BTreeMap::new(),
        total: 0,
        failed: 0,
        in_flight: 0.0,
        cores: carriers
            .iter()
            .map(|n| f64::from(vm(*n).millicores) / 1e3)
            .sum(),
    };
    let mut now = start;
    let mut samples = 0.0;
    while now < start + RUN_TIME {
        work.retain(|(end, table, carrier)| {
            if *end > now {
                return true;
            }
            tables[*table].1.release(carrier);
            *load.get_mut(carrier).unwrap() -= 1;
            false
        });
        for (at, (own, table)) in tables.iter_mut().enumerate() {
            if rng.f64() > rate * STEP.as_secs_f64() {
                continue;
            }
            let known = carriers
                .iter()
                .filter(|n| !dies(**n) || now < death + NEWS_AGE)
                .map(|n| vm(*n));
            table.replace(now, None, known);
            let endpoint = zone(rng.u32(0..ZONES));
            result.total += 1;
            let mut avoid = Vec::new();
            loop {
                let Some(carrier) = table.acquire(now, &[&*own, &endpoint], &avoid) else {
                    result.failed += 1;
                    break;
                };
                let number: u32 = carrier.vm.as_str()[3..].parse().unwrap();
                if dies(number) && now >= death {
                    table.record_failure(now, &carrier.vm);
                    table.release(&carrier.vm);
                    avoid.push(carrier.vm);
                    if avoid.len() == 3 {
                        result.failed += 1;
                        break;
                    }
                    continue;
                }
                let count = load.entry(carrier.vm.clone()).or_default();
                *count += 1;
                *result.carried.entry(carrier.vm.clone()).or_default() += 1;
                let most = result.busiest.entry(carrier.vm.clone()).or_default();
                *most = (*most).max(*count);
                work.push((now + WORK_TIME, at, carrier.vm));
                break;
            }
        }
        result.in_flight += work.len() as f64;
        samples += 1.0;
        now = now + STEP;
    }
    result.in_flight /= samples;
    result
}

/// Busiest carrier, as a multiple of its share by its cores, with what chance alone adds.
fn check_spread(vms: u32, is_cut: impl Fn(u32) -> bool, rate: f64) {
    let run = run(vms, is_cut, rate, |_| false);
    assert_eq!(run.failed, 0);
    for (name, most) in &run.busiest {
        let number: u32 = name.as_str()[3..].parse().unwrap();
        let fair = run.in_flight * f64::from(vm(number).millicores) / 1e3 / run.cores;
        // Beyond its share, as many as a random spread brings once in ten thousand.
        let limit = 2.0 * fair + 4.0 * fair.sqrt() + 4.0;
        assert!(
            f64::from(*most) <= limit,
            "{vms} VMs: {most} at {name}, whose share is {fair:.1}"
        );
    }
    // A few strong VMs took most of what was carried, as they looked cheapest while idle.
    for (name, carried) in &run.carried {
        let number: u32 = name.as_str()[3..].parse().unwrap();
        let share = f64::from(vm(number).millicores) / 1e3 / run.cores;
        let fair = run.total as f64 * share;
        let limit = 2.0 * fair + 4.0 * fair.sqrt() + 4.0;
        assert!(
            *carried as f64 <= limit,
            "{vms} VMs: {carried} through {name}, whose share is {fair:.0}"
        );
    }
}

/// Cut VMs must not all turn to the same carrier, nor to the few of their own zone.
#[test]
fn requests_of_cut_vms_are_spread_by_the_carriers_shares() {
    for (vms, rate) in [(8, 20.0), (60, 10.0), (300, 4.0)] {
        // A few, most, and a whole zone.
        check_spread(vms, |n| n % 10 == 3, rate);
        check_spread(vms, |n| n % 10 < 6, rate);
        check_spread(vms, |n| n % ZONES == 0, rate);
    }
}

/// A fifth of the carriers dies, and cut VMs learn of it late.
#[test]
fn carriers_that_die_cost_few_requests() {
    for (vms, rate) in [(8, 20.0), (60, 10.0), (300, 4.0)] {
        let run = run(vms, |n| n % 10 < 4, rate, |n| n % 10 == 7 || n % 10 == 8);
        let share = run.failed as f64 / run.total as f64;
        assert!(
            share < 0.02,
            "{vms} VMs: {} of {} failed",
            run.failed,
            run.total
        );
    }
}

/// Carriers are no longer used once they are not named any more.
#[test]
fn carriers_that_are_cut_as_well_are_dropped() {
    let now = Instant::default() + Duration::from_secs(100);
    let mut table = CarrierTable::new(1);
    table.replace(now, None, (0..10).map(vm));
    table.replace(now, Some(&zone(1)), std::iter::empty());
    for _ in 0..100 {
        let chosen = table.acquire(now, &[], &[]).unwrap();
        assert_ne!(chosen.zone, zone(1));
    }
    table.replace(now, None, std::iter::empty());
    assert_eq!(table.acquire(now, &[], &[]), None);
    table.replace(now, None, [vm(3)]);
    let later = now + Duration::from_secs(4);
    assert_eq!(table.acquire(later, &[], &[]), None);
}
