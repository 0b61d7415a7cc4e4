//! Services between which routing weights have changed.

mod origin_common;

use {
    clock::Instant,
    origin_common::{WINDOW, at, key, observer, origin, read, release, service, vm_addr},
    origins::{Binding, Known, LedgerStep, OriginNews, Origins, ReleaseLedger, ReleaseRecord},
    std::time::Duration,
    types::{Era, LogPosition, Version},
};

const AFTER: Duration = Duration::from_secs(1);

fn now() -> Instant {
    at(120_000)
}

/// The replies of a VM to a query of another one.
fn answer(vm: &mut Origins, question: &OriginNews) -> Vec<Known> {
    let reaction = vm.learn(now() + AFTER, vm_addr(7), question, false);
    let answers = reaction
        .answers
        .into_iter()
        .flat_map(|(_, news)| news.origins);
    answers
        .map(|o| o.release.map_or(Known::Unknown, Known::Release))
        .collect()
}

/// Guards against an inferred origin for a stream that may have started at another service.
#[test]
fn release_of_a_reweighted_service_is_not_inferred_for_others() {
    let mut vm = observer(&[1]);
    let question = Origins::ask(key(1), &service());
    let inferred = [Known::Release(release(1))];
    assert_eq!(answer(&mut vm, &question), inferred);
    assert_eq!(answer(&mut vm, &Origins::table_query([key(1)])), []);
    let end = now() + WINDOW;
    vm.mark_reweighted(now(), [service()], end);
    assert_eq!(answer(&mut vm, &question), []);
    vm.began(now(), key(1), &origin(1), end);
    assert_eq!(answer(&mut vm, &Origins::table_query([key(1)])), inferred);
}

/// Guards against origins that aren't replicated because each service has a single release.
#[test]
fn origins_of_reweighted_services_are_replicated_despite_a_single_release() {
    let mut vm = observer(&[1]);
    let end = now() + WINDOW;
    vm.began(now(), key(1), &origin(1), end);
    assert!(vm.take_news(now(), 2).is_empty());
    vm.mark_reweighted(now(), [service()], end);
    let told = vm.take_news(now() + AFTER, 2);
    assert_eq!(told.origins.len(), 1);
    vm.began(now() + AFTER, key(2), &origin(1), end);
    let told = vm.take_news(now() + AFTER * 2, 2);
    assert!(told.origins.iter().any(|o| o.key == key(2)));
    // And no longer once streams of before the change can't be resumed.
    read(&mut vm, &[1], 120_000, 190_000);
    vm.expire(at(190_000));
    vm.began(at(190_000), key(3), &origin(1), at(200_000));
    assert!(
        vm.take_news(at(190_000), 2)
            .origins
            .iter()
            .all(|o| o.key != key(3))
    );
}

/// The record that the ledger writes now, if any.
fn recorded(vm: &mut Origins, ledger: &mut ReleaseLedger, now: Instant) -> Option<ReleaseRecord> {
    match ledger.step(now, vm) {
        LedgerStep::Write(_, record, _) => Some(record),
        LedgerStep::Wait | LedgerStep::Read => None,
    }
}

/// Guards against weights that count as settled while streams from before the change can be resumed.
#[test]
fn weights_are_settled_once_no_stream_of_before_can_be_resumed() {
    let end = |offset| LogPosition {
        era: Era(0),
        offset,
    };
    let mut vm = Origins::default();
    vm.set_window(at(0), &service(), WINDOW);
    vm.begin_system();
    vm.set_binding(Binding::Bound);
    vm.set_weights(Version(1), [(service(), 11)].into());
    read(&mut vm, &[1, 2], 0, 1_000);
    let mut ledger = ReleaseLedger::new(Duration::ZERO);
    ledger.apply(at(1_000), end(0), [].into(), &mut vm);
    let first = recorded(&mut vm, &mut ledger, at(1_000)).unwrap();
    let weights = first.weights.unwrap();
    assert_eq!((weights.digest, weights.settled), (11, true));
    ledger.written(at(1_000), (service(), first.clone()), end(1), &mut vm);
    // Other versions of the configuration with the same weights change nothing.
    vm.set_weights(Version(2), [(service(), 11)].into());
    read(&mut vm, &[1, 2], 1_000, 20_000);
    ledger.apply(at(20_000), end(1), [(service(), first)].into(), &mut vm);
    vm.set_weights(Version(3), [(service(), 12)].into());
    let changed = recorded(&mut vm, &mut ledger, at(20_000)).unwrap();
    let weights = changed.weights.unwrap();
    assert_eq!((weights.digest, weights.settled), (12, false));
    ledger.written(at(20_000), (service(), changed.clone()), end(2), &mut vm);
    let records = || [(service(), changed.clone())].into();
    read(&mut vm, &[1, 2], 20_000, 139_000);
    ledger.apply(at(139_000), end(2), records(), &mut vm);
    assert_eq!(recorded(&mut vm, &mut ledger, at(139_000)), None);
    read(&mut vm, &[1, 2], 139_000, 141_000);
    ledger.apply(at(141_000), end(2), records(), &mut vm);
    let settled = recorded(&mut vm, &mut ledger, at(141_000)).unwrap();
    assert!(settled.weights.unwrap().settled);
    // A VM with an older configuration leaves the record as it is.
    vm.set_weights(Version(2), [(service(), 11)].into());
    assert_eq!(recorded(&mut vm, &mut ledger, at(141_000)), None);
}
