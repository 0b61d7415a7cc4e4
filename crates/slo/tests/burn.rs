//! Burn rates, budgets and alerts.

use {
    clock::Instant,
    conf::{Change, Class, Config, Item, Op, Targets},
    quickcheck::{Gen, QuickCheck},
    slo::{
        Alert, BurnReport, Prices, ResponseTiming, SloMeter, SloSnapshot, draw_chart, meets_targets,
    },
    std::time::Duration,
    types::{OrgId, RequestId, Tier, Tokens, Version},
};

const SEED: u64 = 6;
const UNIT: Duration = Duration::from_secs(60);
const PRICES: Prices = Prices { cheap: 0.5 };

fn class(name: &str, objective: f64) -> Class {
    Class {
        id: name.parse().unwrap(),
        tier: Tier(0),
        targets: Targets {
            first_ms: 400,
            between_ms: 30,
            objective,
        },
        queue: 10,
        starve_ms: 1_000,
    }
}

fn config(classes: &[Class]) -> Config {
    let put = |class: &Class| Op::Put {
        base: Version(0),
        item: Item::Class(class.clone()),
    };
    let change = Change {
        id: RequestId::from_bits(1),
        by: "operator".parse().unwrap(),
        ops: classes.iter().map(put).collect(),
    };
    let mut config = Config::default();
    config.fold(0, &serde_json::to_string(&change).unwrap());
    config
}

fn minute(n: u64) -> Instant {
    Instant::default() + UNIT * u32::try_from(n).unwrap()
}

fn meter() -> SloMeter {
    SloMeter::new(Instant::default(), "kerala-west-a".parse().unwrap(), UNIT)
}

fn org() -> OrgId {
    "rice-mill".parse().unwrap()
}

/// Records `met` answers in time and `missed` late ones.
fn count(meter: &mut SloMeter, now: Instant, class: &Class, met: u64, missed: u64) {
    for n in 0..met + missed {
        let total = Duration::from_millis(if n < met { 100 } else { 900 });
        let timing = ResponseTiming::Whole {
            total,
            tokens: Tokens(0),
        };
        meter.record_response(now, class, &org(), timing);
    }
}

fn report(meter: &mut SloMeter, now: Instant, classes: &[Class]) -> BurnReport {
    BurnReport::from_snapshot(&meter.snapshot(now, &config(classes)), PRICES, None)
}

#[test]
fn a_short_burst_of_misses_raises_no_alert() {
    let classes = [class("summary", 0.99)];
    let mut meter = meter();
    for m in 0..360 {
        let missed = if m == 359 { 20 } else { 0 };
        count(&mut meter, minute(m), &classes[0], 100, missed);
    }
    let report = report(&mut meter, minute(359), &classes);
    assert!(report.classes[0].short > 2.0);
    assert_eq!(report.worst_alert(), Alert::None);
}

#[test]
fn lasting_misses_page_until_the_short_window_is_clean() {
    let classes = [class("summary", 0.99)];
    let mut meter = meter();
    for m in 0..60 {
        count(&mut meter, minute(m), &classes[0], 80, 20);
    }
    assert_eq!(
        report(&mut meter, minute(59), &classes).worst_alert(),
        Alert::Page
    );
    for m in 60..75 {
        count(&mut meter, minute(m), &classes[0], 100, 0);
    }
    let later = report(&mut meter, minute(74), &classes);
    assert_ne!(
        later.worst_alert(),
        Alert::Page,
        "the short window is clean again"
    );
}

#[test]
fn slow_burn_raises_a_ticket() {
    let classes = [class("summary", 0.99)];
    let mut meter = meter();
    for m in 0..360 {
        count(&mut meter, minute(m), &classes[0], 92, 8);
    }
    let report = report(&mut meter, minute(359), &classes);
    assert_eq!(report.worst_alert(), Alert::Ticket);
    assert!((report.classes[0].long - 8.0).abs() < 0.01);
    assert!((report.classes[0].budget + 7.0).abs() < 0.01);
}

#[test]
fn a_total_failure_pages_whatever_the_objective() {
    for objective in [0.4, 0.9, 0.95, 0.9999] {
        let classes = [class("batch", objective)];
        let mut meter = meter();
        for m in 0..60 {
            count(&mut meter, minute(m), &classes[0], 0, 5);
        }
        let report = report(&mut meter, minute(59), &classes);
        assert_eq!(report.worst_alert(), Alert::Page, "objective {objective}");
    }
}

#[test]
fn a_class_without_an_objective_raises_no_alert() {
    let classes = [class("batch", 0.0)];
    let mut meter = meter();
    count(&mut meter, minute(1), &classes[0], 0, 100);
    assert_eq!(
        report(&mut meter, minute(1), &classes).worst_alert(),
        Alert::None
    );
}

#[test]
fn old_counts_leave_the_windows() {
    let classes = [class("summary", 0.99)];
    let mut meter = meter();
    count(&mut meter, minute(0), &classes[0], 0, 50);
    let row = |r: BurnReport| (r.classes[0].requests, r.classes[0].hour);
    let (requests, hour) = row(report(&mut meter, minute(62), &classes));
    assert_eq!((requests, hour), (50, 0.0));
    assert_eq!(row(report(&mut meter, minute(400), &classes)).0, 0);
}

#[test]
fn a_streamed_answer_must_meet_both_targets() {
    let targets = class("urgent", 0.9).targets;
    let stream = |first, rest| ResponseTiming::Stream {
        first: Duration::from_millis(first),
        rest: Duration::from_millis(rest),
        tokens: Tokens(11),
    };
    assert!(meets_targets(&targets, stream(400, 300)));
    assert!(!meets_targets(&targets, stream(401, 300)));
    assert!(!meets_targets(&targets, stream(400, 301)));
}

#[test]
fn endpoint_time_is_kept_by_kind_and_counted_once_per_zone() {
    let classes = [class("summary", 0.99)];
    let entry_snapshot = || -> SloSnapshot {
        let mut meter = meter();
        meter.set_endpoints(minute(0), 3, 2);
        meter.set_endpoints(minute(60), 1, 0);
        count(&mut meter, minute(60), &classes[0], 1, 0);
        meter.snapshot(minute(120), &config(&classes))
    };
    let report = BurnReport::from_snapshot(
        &SloSnapshot::merge([entry_snapshot(), entry_snapshot()]),
        PRICES,
        None,
    );
    let spending = &report.spending[0];
    assert_eq!((spending.steady, spending.cheap), (4.0, 2.0));
    assert_eq!(spending.cost, 5.0);
    assert_eq!(report.classes[0].requests, 2);
}

/// Merged snapshots do not depend on how the answers were spread over entries.
#[test]
fn merged_counts_equal_those_of_a_single_entry() {
    fn merged_equals_single(answers: Vec<(bool, bool)>) -> bool {
        let classes = [class("summary", 0.99)];
        let (mut single, mut a, mut b) = (meter(), meter(), meter());
        for (at, (left, met)) in answers.into_iter().enumerate() {
            let now = minute(at as u64 * 3);
            let counts = (u64::from(met), u64::from(!met));
            let entry = if left { &mut a } else { &mut b };
            count(entry, now, &classes[0], counts.0, counts.1);
            count(&mut single, now, &classes[0], counts.0, counts.1);
        }
        let now = minute(400);
        let config = config(&classes);
        let expected = single.snapshot(now, &config);
        SloSnapshot::merge([a.snapshot(now, &config), b.snapshot(now, &config)]) == expected
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .quickcheck(merged_equals_single as fn(Vec<(bool, bool)>) -> bool);
}

#[test]
fn the_chart_is_svg_and_names_every_class() {
    let classes = [class("urgent", 0.99), class("batch", 0.9)];
    let mut meter = meter();
    for class in &classes {
        count(&mut meter, minute(1), class, 90, 10);
    }
    let text = draw_chart(&report(&mut meter, minute(1), &classes)).unwrap();
    assert!(text.starts_with("<svg"));
    assert!(text.contains("urgent") && text.contains("batch"));
}
