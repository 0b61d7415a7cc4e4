//! Results under overload, each compared with first-come, first-served in the same run.

mod sim;

use {
    admit::{FifoQueue, Queue, TieredQueue},
    sim::{Flow, Sim, rule},
};

const SLOTS: usize = 16;
const SECONDS: f64 = 60.0;

fn flow(class: &'static str, org: &'static str, rate: f64, tokens: f64) -> Flow {
    Flow {
        class,
        org,
        rate,
        tokens,
        span: (0.0, f64::INFINITY),
    }
}

fn run(queue: impl Queue + 'static, flows: &[Flow], seed: u64) -> Sim {
    let rules = [
        rule("urgent", 0, 2_000, 400),
        rule("summary", 1, 2_000, 1_000),
        rule("batch", 3, 2_000, 10_000),
    ];
    let mut sim = Sim::new(Box::new(queue), &rules, SLOTS, seed);
    sim.run(SECONDS, flows);
    sim
}

/// The slots generate 1,600 tokens per second. The top tier demands 60% of that; bursts of the
/// others raise the total to twice the capacity.
#[test]
fn top_tier_meets_its_target_during_a_burst_of_others() {
    let mut burst = flow("batch", "c", 40.0, 40.0);
    burst.span = (15.0, 45.0);
    let flows = [
        flow("urgent", "a", 48.0, 20.0),
        flow("summary", "b", 16.0, 30.0),
        flow("batch", "c", 4.0, 40.0),
        burst,
    ];
    for seed in 1..=3 {
        let tiered = run(TieredQueue::default(), &flows, seed);
        let fifo = run(FifoQueue::default(), &flows, seed);
        for (name, sim) in [("tiered", &tiered), ("fifo", &fifo)] {
            let [u, s, b] = ["urgent", "summary", "batch"].map(|c| sim.attained(c, 0.0));
            println!(
                "burst seed {seed} {name}: attained urgent {u:.4} summary {s:.4} batch {b:.4} \
                 wasted {:.4}",
                sim.wasted()
            );
        }
        assert!(tiered.attained("urgent", 0.0) >= 0.99);
        assert!(tiered.wasted() < 0.01);
        assert!(
            fifo.attained("urgent", 0.0) < 0.99,
            "the baseline shows no overload"
        );
    }
}

/// One organisation sends 12.5 times as many requests as each of the others, with responses twice
/// as long.
#[test]
fn heavy_organisation_does_not_take_the_share_of_others() {
    let mut flows = vec![flow("summary", "a-heavy", 100.0, 60.0)];
    for org in ["b", "c", "d", "e", "f"] {
        flows.push(flow("summary", org, 8.0, 30.0));
    }
    for seed in 1..=3 {
        let tiered = run(TieredQueue::default(), &flows, seed);
        let fifo = run(FifoQueue::default(), &flows, seed);
        let (worst, base) = (tiered.worst_share(), fifo.worst_share());
        println!("heavy seed {seed}: worst share tiered {worst:.3} fifo {base:.3}");
        assert!(worst >= 0.9);
        assert!(base < 0.9, "the baseline shows no unfairness");
    }
}

/// The top tier alone demands 1.6 times the capacity. Accepted requests are served in time,
/// refusals are immediate, and the slots stay busy.
#[test]
fn overload_by_the_top_tier_is_refused_at_once_and_wastes_nothing() {
    let flows = [
        flow("urgent", "a", 128.0, 20.0),
        flow("batch", "c", 10.0, 40.0),
    ];
    for seed in 1..=3 {
        let sim = run(TieredQueue::default(), &flows, seed);
        let urgent: Vec<_> = sim.records.iter().filter(|r| r.class == "urgent").collect();
        let shed: Vec<_> = urgent
            .iter()
            .filter_map(|r| Some(r.shed? - r.arrived))
            .collect();
        let late = shed.iter().filter(|s| s.as_millis() > 0).count() as f64;
        let generated: u64 = urgent.iter().map(|r| r.generated).sum();
        let used = generated as f64 / (SECONDS * SLOTS as f64 * 100.0);
        println!(
            "over seed {seed}: refused {} of {}, not at once {late}, slots used by the top tier \
             {used:.3}, wasted {:.4}",
            shed.len(),
            urgent.len(),
            sim.wasted()
        );
        assert!(late / shed.len() as f64 <= 0.01);
        assert!(used >= 0.9);
        assert!(sim.wasted() < 0.01 && sim.idle == 0);
    }
}
