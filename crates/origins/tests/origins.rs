//! What a VM concludes, tells, asks and answers.

mod origin_common;

use {
    origin_common::{
        WINDOW, at, key, observer, origin, read, record, release, service, unknown, vm_addr,
    },
    origins::{Lookup, OriginNews, Origins},
    std::time::Duration,
};

const MEMBER: usize = 1;
const OTHER: usize = 2;

fn look_up(vm: &Origins, ms: u64, attempt: u64) -> Lookup {
    vm.look_up(at(ms), &key(attempt), &service())
}

fn told(origins: &[(u64, u64)], relay: bool) -> OriginNews {
    let records = origins
        .iter()
        .map(|(attempt, r)| record(*attempt, Some(release(*r)), 30_000));
    OriginNews {
        origins: records.collect(),
        asks: Vec::new(),
        relay,
    }
}

fn begin(vm: &mut Origins, ms: u64, attempt: u64, number: u64) {
    let until = at(ms) + WINDOW / 2;
    vm.began(at(ms), key(attempt), &origin(number), until);
}

/// A VM that had just started, or saw two releases, guessed one.
#[test]
fn origin_is_inferred_only_from_a_sole_release() {
    let mut vm = observer(&[1]);
    assert_eq!(look_up(&vm, 120_000, 1), Lookup::Release(release(1)));
    read(&mut vm, &[1, 2], 120_000, 123_000);
    assert_eq!(look_up(&vm, 123_000, 1), Lookup::Ask);
    let mut started = Origins::default();
    started.set_window(at(0), &service(), WINDOW);
    read(&mut started, &[1], 0, 2_000);
    assert_eq!(look_up(&started, 2_000, 1), Lookup::Ask);
    assert_eq!(look_up(&observer(&[1, 2]), 120_000, 1), Lookup::Ask);
}

/// A service without a window, as it was listed before its routes were known, had a sole release.
#[test]
fn service_without_window_has_no_sole_release() {
    let mut vm = Origins::default();
    read(&mut vm, &[1], 0, 120_000);
    assert_eq!(look_up(&vm, 120_000, 1), Lookup::Ask);
}

/// A VM that was cut off from the list went on to infer from what it saw last, and answered others so.
#[test]
fn vm_with_an_old_list_neither_infers_nor_answers() {
    let mut vm = observer(&[1]);
    let ask = Origins::ask(key(1), &service());
    let answers = |vm: &mut Origins, ms| {
        let reaction = vm.learn(at(ms), vm_addr(OTHER), &ask, false);
        reaction.answers.len()
    };
    assert_eq!(answers(&mut vm, 120_500), 1);
    assert_eq!(look_up(&vm, 122_000, 1), Lookup::Ask);
    assert_eq!(answers(&mut vm, 122_000), 0);
    // What it knows of its own streams stays true.
    begin(&mut vm, 122_000, 1, 1);
    assert_eq!(look_up(&vm, 122_500, 1), Lookup::Release(release(1)));
    assert_eq!(answers(&mut vm, 122_500), 1);
}

/// VMs sent datagrams for each stream while only one release served.
#[test]
fn nothing_is_told_while_one_release_serves() {
    let mut vm = observer(&[1]);
    for stream in 0..100 {
        let ms = 120_000 + 250 * stream;
        read(&mut vm, &[1], ms, ms + 1);
        begin(&mut vm, ms, stream, 1);
        assert!(vm.take_news(at(ms + 30), 7).is_empty());
        assert!(vm.take_relayed(at(ms + 60), true).is_empty());
    }
}

/// A stream whose origin is unknown was taken for one of the sole release by other VMs.
#[test]
fn unknown_origin_is_told_beside_a_sole_release_too() {
    let mut vm = observer(&[1]);
    vm.began(at(120_000), key(1), &unknown(), at(150_000));
    let news = vm.take_news(at(120_000), 7);
    assert_eq!(news.origins[0].release, None);
    let mut other = observer(&[1]);
    assert_eq!(look_up(&other, 120_000, 1), Lookup::Release(release(1)));
    other.learn(at(120_010), vm_addr(MEMBER), &news, false);
    assert_eq!(look_up(&other, 120_020, 1), Lookup::Unknown);
}

/// Members infer from a sole release without asking their hub, which alone knew better.
#[test]
fn hubs_tell_all_vms_of_unknown_origins_several_times() {
    let mut vm = observer(&[1]);
    vm.began(at(120_000), key(1), &unknown(), at(150_000));
    let news = vm.take_news(at(120_000), 2);
    assert!(vm.take_doubts(at(120_000), false).near.is_empty());
    let mut hub = observer(&[1]);
    hub.learn(at(120_010), vm_addr(MEMBER), &news, true);
    let mut tells = 0;
    let mut far = OriginNews::default();
    for ms in 120_010..121_000 {
        let doubts = hub.take_doubts(at(ms), true);
        tells += doubts.near.origins.len();
        assert_eq!(doubts.near, doubts.far);
        if !doubts.far.is_empty() {
            far = doubts.far;
        }
    }
    assert_eq!(tells, 3);
    // The hubs of other zones tell their own zones only.
    let mut other = observer(&[1]);
    other.learn(at(121_000), vm_addr(0), &far, true);
    let doubts = other.take_doubts(at(121_000), true);
    assert_eq!(doubts.near.origins.len(), 1);
    assert!(doubts.far.is_empty());
    // What is known already isn't told without end.
    hub.learn(at(121_000), vm_addr(OTHER), &doubts.near, true);
    assert!(hub.take_doubts(at(121_000), true).near.is_empty());
    let mut member = observer(&[1]);
    member.learn(at(121_000), vm_addr(0), &doubts.near, false);
    assert_eq!(look_up(&member, 121_000, 1), Lookup::Unknown);
}

/// A hub that was told of two releases for one stream kept it to itself.
#[test]
fn conflict_seen_by_a_hub_is_told() {
    let mut hub = observer(&[1, 2]);
    hub.learn(at(120_000), vm_addr(MEMBER), &told(&[(1, 1)], true), true);
    assert!(hub.take_doubts(at(120_000), true).near.is_empty());
    hub.learn(at(120_010), vm_addr(OTHER), &told(&[(1, 2)], true), true);
    let doubts = hub.take_doubts(at(120_010), true);
    assert_eq!(doubts.near.origins[0].release, None);
}

/// The VM that began a stream before the second release appeared was killed afterwards, and no other
/// one knew the origin.
#[test]
fn second_release_lets_own_live_streams_be_told() {
    let mut vm = observer(&[1]);
    begin(&mut vm, 119_900, 1, 1);
    assert!(vm.take_news(at(119_950), 7).is_empty());
    read(&mut vm, &[1, 2], 120_000, 120_100);
    let news = vm.take_news(at(120_000), 7);
    let mut other = observer(&[1]);
    read(&mut other, &[1, 2], 120_000, 120_100);
    other.learn(at(120_010), vm_addr(MEMBER), &news, false);
    assert_eq!(look_up(&other, 120_020, 1), Lookup::Release(release(1)));
}

/// A new hub knew nothing of the streams that its zone had told the last one.
#[test]
fn new_hubs_are_told_of_own_live_streams() {
    let mut vm = observer(&[1, 2]);
    begin(&mut vm, 120_000, 1, 1);
    assert_eq!(vm.take_news(at(120_000), 2).origins.len(), 1);
    vm.hubs_changed(at(121_000));
    assert_eq!(vm.take_news(at(121_000), 2).origins.len(), 1);
    let mut alone = observer(&[1]);
    begin(&mut alone, 120_000, 1, 1);
    alone.hubs_changed(at(120_100));
    assert!(alone.take_news(at(120_100), 2).is_empty());
}

/// The list of a VM was a moment older than that of the one that used the new release already.
#[test]
fn news_of_an_unlisted_release_ends_the_inference() {
    let mut vm = observer(&[1]);
    vm.learn(at(120_000), vm_addr(MEMBER), &told(&[(7, 2)], true), false);
    assert_eq!(look_up(&vm, 120_000, 7), Lookup::Release(release(2)));
    assert_eq!(look_up(&vm, 120_000, 8), Lookup::Ask);
}

/// A VM sent more than 200 datagrams a second in a mesh of 40 VMs.
#[test]
fn news_is_batched_by_the_number_of_receivers() {
    for targets in [2, 7, 39] {
        let mut vm = observer(&[1, 2]);
        let mut batches = 0;
        for ms in 120_000..130_000 {
            begin(&mut vm, ms, ms, 1);
            let news = vm.take_news(at(ms), targets);
            batches += usize::from(!news.is_empty());
        }
        // The first one goes at once.
        assert!((batches - 1) * targets <= 2_000, "{targets}: {batches}");
        assert!(batches <= 401, "{targets}: {batches}");
    }
}

/// Hubs were sent all live streams of their zone at once.
#[test]
fn streams_told_again_are_spread_over_time() {
    let mut vm = observer(&[1]);
    for stream in 0..400 {
        begin(&mut vm, 119_000, stream, 1);
    }
    read(&mut vm, &[1, 2], 120_000, 120_100);
    let mut sizes = Vec::new();
    for ms in (120_000..123_000).step_by(25) {
        let count = vm.take_news(at(ms), 2).origins.len();
        sizes.extend((count > 0).then_some(count));
    }
    assert_eq!(sizes.iter().sum::<usize>(), 400);
    assert!(sizes.len() >= 8, "{sizes:?}");
}

/// The hubs of other zones were never told, or told again of what they knew.
#[test]
fn first_hub_relays_what_is_new_once() {
    let mut hub = observer(&[1, 2]);
    let news = told(&[(1, 1), (2, 2)], true);
    hub.learn(at(120_000), vm_addr(MEMBER), &news, true);
    hub.learn(at(120_001), vm_addr(MEMBER), &news, true);
    let relayed = hub.take_relayed(at(120_001), true);
    assert_eq!((relayed.origins.len(), relayed.relay), (2, false));
    assert!(hub.take_relayed(at(120_100), true).is_empty());
    hub.learn(at(120_200), vm_addr(OTHER), &told(&[(3, 1)], false), true);
    assert!(hub.take_relayed(at(120_300), true).is_empty());
    // Its own ones too.
    begin(&mut hub, 120_400, 4, 1);
    assert_eq!(hub.take_news(at(120_400), 0).origins.len(), 1);
    assert_eq!(hub.take_relayed(at(120_400), true).origins.len(), 1);
}

/// The hub's list didn't show the second release yet, and it dropped what members told because of it.
#[test]
fn hub_relays_what_members_tell_whatever_its_own_list_shows() {
    let mut hub = observer(&[1]);
    hub.learn(at(120_000), vm_addr(MEMBER), &told(&[(1, 1)], true), true);
    assert_eq!(hub.take_relayed(at(120_000), true).origins.len(), 1);
}

/// What a first hub had taken shortly before it was killed reached no other zone.
#[test]
fn second_hub_relays_the_last_seconds_when_it_takes_over() {
    let mut hub = observer(&[1, 2]);
    hub.learn(at(120_000), vm_addr(MEMBER), &told(&[(1, 1)], true), true);
    hub.learn(at(124_000), vm_addr(MEMBER), &told(&[(2, 1)], true), true);
    assert!(hub.take_relayed(at(124_000), false).is_empty());
    let relayed = hub.take_relayed(at(125_000), true);
    assert_eq!(relayed.origins.len(), 1);
    assert_eq!(relayed.origins[0].key, key(2));
}

/// A member kept the streams of its whole life for a relay that it never did.
#[test]
fn members_relay_nothing() {
    let mut vm = observer(&[1, 2]);
    vm.learn(at(120_000), vm_addr(OTHER), &told(&[(1, 1)], true), false);
    assert!(vm.take_relayed(at(120_000), true).is_empty());
}

/// A caller came back in another zone while the news of its stream was lost between the hubs.
#[test]
fn hub_asks_other_zones_and_answers_whoever_waits() {
    let mut hub = observer(&[1, 2]);
    let ask = Origins::ask(key(1), &service());
    let reaction = hub.learn(at(120_000), vm_addr(MEMBER), &ask, true);
    assert!(reaction.answers.is_empty());
    let asked = reaction.forwarded;
    assert_eq!((asked.asks.len(), asked.relay), (1, false));
    let mut other = observer(&[1, 2]);
    begin(&mut other, 119_000, 1, 2);
    let reaction = other.learn(at(120_010), vm_addr(0), &asked, true);
    assert!(reaction.forwarded.is_empty(), "asked in a circle");
    let (to, answer) = &reaction.answers[0];
    assert_eq!(*to, vm_addr(0));
    let reaction = hub.learn(at(120_020), vm_addr(OTHER), answer, true);
    let (to, answer) = &reaction.answers[0];
    assert_eq!(*to, vm_addr(MEMBER));
    let mut member = observer(&[1, 2]);
    member.learn(at(120_030), vm_addr(0), answer, false);
    assert_eq!(look_up(&member, 120_030, 1), Lookup::Release(release(2)));
    // Nobody waits any more.
    let reaction = hub.learn(at(120_040), vm_addr(OTHER), answer, true);
    assert!(reaction.answers.is_empty());
}

/// A VM that had just started could not serve callers of the only release.
#[test]
fn started_vm_is_answered_by_one_that_observed_the_window() {
    let mut old = observer(&[1]);
    let mut started = Origins::default();
    started.set_window(at(119_000), &service(), WINDOW);
    read(&mut started, &[1], 119_000, 120_000);
    let ask = Origins::ask(key(1), &service());
    let reaction = old.learn(at(120_000), vm_addr(MEMBER), &ask, false);
    started.learn(at(120_010), vm_addr(OTHER), &reaction.answers[0].1, false);
    let known = Lookup::Release(release(1));
    assert_eq!(look_up(&started, 120_020, 1), known);
    // Two that have just started don't lead each other astray.
    let mut peer = Origins::default();
    peer.set_window(at(119_000), &service(), WINDOW);
    read(&mut peer, &[1], 119_000, 120_000);
    let reaction = peer.learn(at(120_000), vm_addr(MEMBER), &ask, false);
    assert!(reaction.answers.is_empty());
}

/// Questions for streams that nobody knows filled the memory of a hub.
#[test]
fn waiting_questions_are_bounded_and_end() {
    let mut hub = observer(&[1, 2]);
    for stream in 0..20_000 {
        let ask = Origins::ask(key(stream), &service());
        hub.learn(at(120_000), vm_addr(MEMBER), &ask, true);
    }
    let late = told(&[(1, 1)], false);
    let reaction = hub.learn(at(121_000), vm_addr(OTHER), &late, true);
    assert!(reaction.answers.is_empty());
    let ask = Origins::ask(key(30_000), &service());
    hub.learn(at(121_000), vm_addr(MEMBER), &ask, true);
    let news = told(&[(30_000, 1)], false);
    let reaction = hub.learn(at(121_010), vm_addr(OTHER), &news, true);
    assert_eq!(reaction.answers.len(), 1);
}

/// The relay slept while there was something to tell.
#[test]
fn due_time_of_news_is_known() {
    let mut vm = observer(&[1, 2]);
    assert_eq!(vm.news_due(), None);
    begin(&mut vm, 120_000, 1, 1);
    assert!(vm.news_due() <= Some(at(120_000)));
    vm.take_news(at(120_000), 2);
    begin(&mut vm, 120_001, 2, 1);
    assert_eq!(vm.news_due(), Some(at(120_025)));
    assert!(vm.take_news(at(120_024), 2).is_empty());
    assert_eq!(vm.take_news(at(120_025), 2).origins.len(), 1);
    vm.expire(at(120_000) + Duration::from_secs(3_600));
    assert!(vm.is_empty());
}

/// VMs of a new system told of all streams for a whole window, although they had seen all releases.
#[test]
fn new_system_infers_its_only_release_at_once() {
    let mut vm = Origins::default();
    vm.begin_system();
    vm.set_window(at(0), &service(), WINDOW);
    read(&mut vm, &[1], 0, 500);
    assert_eq!(look_up(&vm, 500, 1), Lookup::Release(release(1)));
    begin(&mut vm, 500, 1, 1);
    assert!(vm.take_news(at(600), 7).is_empty());
    // A gap in which a release may have been used and gone.
    read(&mut vm, &[1], 5_000, 6_000);
    assert_eq!(look_up(&vm, 6_000, 2), Lookup::Ask);
}

/// While no VM could read the list, nobody was told of streams and nobody could infer their release: all
/// that were taken up at other VMs were refused.
#[test]
fn streams_are_told_while_the_list_cannot_be_read() {
    let mut vm = observer(&[1]);
    begin(&mut vm, 120_000, 1, 1);
    assert!(vm.take_news(at(120_050), 7).is_empty());
    vm.expire(at(123_000));
    begin(&mut vm, 123_000, 2, 1);
    let news = vm.take_news(at(123_500), 7);
    assert_eq!(news.origins.len(), 2);
}
