//! Program that runs one or more stand-in engines, each on a port of its own.

use {
    daemon::{ProgramInfo, run_process},
    eyre::Result,
    pico_args::Arguments,
    standin::{
        CommonOptions,
        engine::{Engine, EngineSettings},
    },
    std::{process::ExitCode, sync::Arc},
    wire::ServerLimits,
};

const PROGRAM: ProgramInfo = ProgramInfo {
    name: "standin-engine",
    about: "stand-in of model engines",
};

struct EngineOptions {
    common: CommonOptions,
    profile: EngineSettings,
    count: usize,
}

fn options() -> Result<EngineOptions> {
    let mut args = Arguments::from_env();
    let common = CommonOptions::parse(&mut args)?;
    let mut profile = EngineSettings::default();
    if let Some(slots) = args.opt_value_from_str("--slots")? {
        profile.slots = slots;
    }
    if let Some(step) = args.opt_value_from_str("--step-us")? {
        profile.step_us = step;
    }
    if let Some(added) = args.opt_value_from_str("--crowd-us")? {
        profile.added_us = added;
    }
    if let Some(prefill) = args.opt_value_from_str("--prefill-us")? {
        profile.prefill_us = prefill;
    }
    let count = args.opt_value_from_str("--count")?.unwrap_or(1);
    CommonOptions::reject_unknown(args)?;
    Ok(EngineOptions {
        common,
        profile,
        count,
    })
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("{}: {e:#}", PROGRAM.name);
            return ExitCode::from(2);
        }
    };
    run_process(PROGRAM, &options.common.process, move |p| async move {
        let mut tasks = Vec::new();
        for _ in 0..options.count {
            let engine = Engine::new(p.clock.clone(), p.ex.clone(), options.profile);
            let listen = options.common.listen;
            let limits = ServerLimits::default();
            let server = p.bind("engine", listen, Arc::new(engine), limits, p.stop.clone())?;
            tasks.push(p.spawn_server(server));
        }
        p.ready.set(true);
        for task in tasks {
            task.await;
        }
        Ok(())
    })
}
