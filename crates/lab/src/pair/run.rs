//! Runs the arms of an experiment in turns.

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

/// A paired experiment.
#[derive(Debug, Clone)]
pub struct PairPlan {
    /// Which of the two systems.
    pub site: Site,
    /// Traffic and faults.
    pub experiment: Experiment,
    /// The arms.
    pub arms: Vec<Arm>,
    /// Rounds of each arm.
    pub rounds: u64,
    /// Length of a round's load.
    pub seconds: f64,
    /// Multiplies the usual traffic.
    pub level: f64,
    /// Seed of the load; each round has its own, the same for all arms.
    pub seed: u64,
}

/// Runs all rounds. Each round of each arm has a fresh system; the order of the arms turns with every
/// round, so that a change of the machine's own load falls on all arms alike.
pub fn run_pair(plan: &PairPlan) -> Result<PairReport> {
    let mut figures: Vec<ArmResults> = plan.arms.iter().map(|a| ArmResults::new(&a.name)).collect();
    for round in 0..plan.rounds {
        for turn in 0..plan.arms.len() {
            let index = (turn + round as usize) % plan.arms.len();
            let arm = &plan.arms[index];
            eprintln!(
                "{} {}: round {} of {}, {}",
                plan.site.name,
                plan.experiment,
                round + 1,
                plan.rounds,
                arm.name
            );
            one_round(plan, arm, round, &mut figures[index])?;
        }
    }
    for arm in &mut figures {
        arm.finish();
    }
    Ok(PairReport {
        site: plan.site.name.into(),
        experiment: plan.experiment.name().into(),
        seed: plan.seed,
        rounds: plan.rounds,
        seconds: plan.seconds,
        arms: figures,
    })
}

fn one_round(plan: &PairPlan, arm: &Arm, round: u64, figures: &mut ArmResults) -> Result<()> {
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
    let observed = run_round(&mut cluster, &load, &faults)?;
    cluster.stop()?;
    figures.add(&load, &observed);
    Ok(())
}
