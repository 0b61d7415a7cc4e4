//! Runs the arms of a paired experiment in turns.

use {
    super::{Arm, Experiment, run_round},
    crate::{
        results::{ArmResults, PairReport},
        sites::Site,
    },
    eyre::Result,
    harness::Cluster,
    load::LoadPlan,
};

/// Parameters of a paired experiment.
#[derive(Debug, Clone)]
pub struct PairPlan {
    /// Reference system.
    pub site: Site,
    /// Traffic pattern and faults.
    pub experiment: Experiment,
    /// Variants to compare.
    pub arms: Vec<Arm>,
    /// Rounds per arm.
    pub rounds: u64,
    /// Length of a round's load, in seconds.
    pub seconds: f64,
    /// Multiplier of the normal traffic.
    pub level: f64,
    /// Seed of the first round's load. Each round has a seed of its own, shared by all arms.
    pub seed: u64,
}

/// Runs all rounds of all arms, each on a fresh cluster. The order of the arms rotates with every
/// round, so that changes in the machine's background load affect all arms alike.
pub fn run_pair(plan: &PairPlan) -> Result<PairReport> {
    let mut results: Vec<ArmResults> = plan.arms.iter().map(|a| ArmResults::new(&a.name)).collect();
    for round in 0..plan.rounds {
        for position in 0..plan.arms.len() {
            let index = (position + round as usize) % plan.arms.len();
            let arm = &plan.arms[index];
            eprintln!(
                "{} {}: round {} of {}, {}",
                plan.site.name,
                plan.experiment,
                round + 1,
                plan.rounds,
                arm.name
            );
            run_arm(plan, arm, round, &mut results[index])?;
        }
    }
    for arm in &mut results {
        arm.finish();
    }
    Ok(PairReport {
        site: plan.site.name.into(),
        experiment: plan.experiment.name().into(),
        seed: plan.seed,
        rounds: plan.rounds,
        seconds: plan.seconds,
        arms: results,
    })
}

fn run_arm(plan: &PairPlan, arm: &Arm, round: u64, results: &mut ArmResults) -> Result<()> {
    let mut cluster = Cluster::start(plan.site.cluster_spec(arm.settings.clone())?)?;
    let load = LoadPlan {
        entries: plan.site.balancer_order(&cluster.caller_addrs()),
        seconds: plan.seconds,
        seed: plan.seed.wrapping_add(round),
        flows: plan
            .experiment
            .flows(&plan.site, plan.level, plan.seconds)?,
    };
    let faults = plan.experiment.faults(plan.seconds);
    let observations = run_round(&mut cluster, &load, &faults)?;
    cluster.stop()?;
    results.add_round(&load, &observations);
    Ok(())
}
