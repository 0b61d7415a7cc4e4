//! `celery-lab`: runs experiments from the command line.

use {
    eyre::{Result, bail},
    lab::{
        Arm, ControlPlan, CostPlan, Experiment, PairPlan, SiteKind, SoakPlan, measure_control,
        measure_cost, plot_attainment, run_pair, run_soak,
    },
    pico_args::Arguments,
    std::{path::PathBuf, process::ExitCode},
};

const HELP: &str = "\
celery-lab: runs experiments on whole clusters on loopback

Usage: celery-lab pair [--site malabar|grandformat] [--experiment NAME|all]... [--arm ARM]...
                       [--rounds N] [--seconds N] [--level X] [--seed N] [--json] [--plot FILE.svg]

       celery-lab cost [--rounds N] [--seconds N] [--rate N] [--seed N] [--json]
       celery-lab control [--nodes N,N,...] [--orgs N,N,...] [--keys N] [--seconds N] [--rate N] [--json]
       celery-lab soak [--site malabar|grandformat] [--seed N] [--seconds N] [--loads N]

  Each ARM is NAME=KEY:VALUE,... with settings of the entries; queue and picker go under policy.
  Default arms: fifo with round robin, fifo with least outstanding, and the default settings.
  Experiments: steady, burst, straggler, crash, hang, eviction, heavy.

Exit codes: 0 success; 1 an invariant was violated: a request that is not idempotent was executed
twice, a request refused as not_run was executed, or a check of the soak test failed; 2 invalid
command line or the experiment could not run.
";

const DEFAULT_ARMS: [&str; 3] = [
    "fifo-robin=queue:fifo,picker:round_robin",
    "fifo-least=queue:fifo,picker:least_outstanding",
    "defaults",
];
const DEFAULT_NODES: [usize; 5] = [4, 8, 16, 32, 64];
const DEFAULT_ORGS: [usize; 3] = [30, 330, 3_300];
const DEFAULT_ROUNDS: u64 = 2;
const DEFAULT_SECONDS: f64 = 20.0;
const DEFAULT_SEED: u64 = 1;

fn parse_values<T>(args: &mut Arguments, key: &'static str) -> Result<Vec<T>>
where
    T: std::str::FromStr<Err = eyre::Report>,
{
    let texts: Vec<String> = args.values_from_str(key)?;
    texts.iter().map(|t| t.parse()).collect()
}

fn pair(mut args: Arguments) -> Result<ExitCode> {
    let site: String = args
        .opt_value_from_str("--site")?
        .unwrap_or_else(|| "malabar".into());
    let names: Vec<String> = args.values_from_str("--experiment")?;
    let experiments = if names.is_empty() || names.iter().any(|n| n == "all") {
        Experiment::ALL.to_vec()
    } else {
        names.iter().map(|n| n.parse()).collect::<Result<_>>()?
    };
    let mut arms: Vec<Arm> = parse_values(&mut args, "--arm")?;
    if arms.is_empty() {
        arms = DEFAULT_ARMS
            .iter()
            .map(|a| a.parse())
            .collect::<Result<_>>()?;
    }
    let json = args.contains("--json");
    let plot_path: Option<PathBuf> = args.opt_value_from_str("--plot")?;
    let plan = PairPlan {
        site: site.parse::<SiteKind>()?.site(),
        experiment: Experiment::Steady,
        arms,
        rounds: args
            .opt_value_from_str("--rounds")?
            .unwrap_or(DEFAULT_ROUNDS),
        seconds: args
            .opt_value_from_str("--seconds")?
            .unwrap_or(DEFAULT_SECONDS),
        level: args.opt_value_from_str("--level")?.unwrap_or(1.0),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED),
    };
    reject_unknown(args)?;
    let mut reports = Vec::new();
    for experiment in experiments {
        let report = run_pair(&PairPlan {
            experiment,
            ..plan.clone()
        })?;
        if !json {
            println!("{report}");
        }
        reports.push(report);
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&reports)?);
    }
    if let Some(path) = plot_path {
        plot_attainment(&reports, &path)?;
    }
    let arms = reports.iter().flat_map(|r| &r.arms);
    let passed = arms.into_iter().all(|a| a.executions <= 1 && a.untrue == 0);
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

fn cost(mut args: Arguments) -> Result<ExitCode> {
    let json = args.contains("--json");
    let plan = CostPlan {
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(8.0),
        rounds: args.opt_value_from_str("--rounds")?.unwrap_or(2),
        rate: args.opt_value_from_str("--rate")?.unwrap_or(200.0),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED),
    };
    reject_unknown(args)?;
    print_report(&measure_cost(&plan)?, json)
}

fn parse_numbers(args: &mut Arguments, key: &'static str, default: &[usize]) -> Result<Vec<usize>> {
    let text: Option<String> = args.opt_value_from_str(key)?;
    let Some(text) = text else {
        return Ok(default.to_vec());
    };
    text.split(',').map(|n| Ok(n.parse()?)).collect()
}

fn control(mut args: Arguments) -> Result<ExitCode> {
    let json = args.contains("--json");
    let plan = ControlPlan {
        nodes: parse_numbers(&mut args, "--nodes", &DEFAULT_NODES)?,
        orgs: parse_numbers(&mut args, "--orgs", &DEFAULT_ORGS)?,
        keys: args.opt_value_from_str("--keys")?.unwrap_or(4),
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(15.0),
        rate: args.opt_value_from_str("--rate")?.unwrap_or(1.0),
    };
    reject_unknown(args)?;
    print_report(&measure_control(&plan)?, json)
}

fn soak(mut args: Arguments) -> Result<ExitCode> {
    let site: Option<String> = args.opt_value_from_str("--site")?;
    let plan = SoakPlan {
        site: site.as_deref().unwrap_or("malabar").parse()?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED),
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(60.0),
        loads: args.opt_value_from_str("--loads")?.unwrap_or(10),
    };
    reject_unknown(args)?;
    let report = run_soak(&plan)?;
    println!("{report}");
    let violations = report.violations();
    violations.iter().for_each(|v| println!("violated: {v}"));
    Ok(if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

fn reject_unknown(args: Arguments) -> Result<()> {
    match args.finish().first() {
        Some(extra) => bail!("unknown argument {extra:?}; see --help"),
        None => Ok(()),
    }
}

fn print_report(
    report: &(impl serde::Serialize + std::fmt::Display),
    json: bool,
) -> Result<ExitCode> {
    if json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        println!("{report}");
    }
    Ok(ExitCode::SUCCESS)
}

fn run() -> Result<ExitCode> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    match args.subcommand()?.as_deref() {
        Some("pair") => pair(args),
        Some("cost") => cost(args),
        Some("control") => control(args),
        Some("soak") => soak(args),
        _ => bail!("expected a subcommand: pair, cost, control or soak; see --help"),
    }
}

fn main() -> ExitCode {
    run().unwrap_or_else(|e| {
        eprintln!("celery-lab: {e:#}");
        ExitCode::from(2)
    })
}
