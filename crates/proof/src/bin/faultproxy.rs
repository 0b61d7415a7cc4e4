//! The fault proxy as a process.

use {
    daemon::{Usage, run_with},
    eyre::Result,
    pico_args::Arguments,
    proof::FaultProxy,
    standin::Options,
    std::{process::ExitCode, sync::Arc},
    wire::ServerLimits,
};

const USAGE: Usage = Usage {
    name: "faultproxy",
    about: "TCP proxy that injects faults",
};

fn options() -> Result<Options> {
    let mut args = Arguments::from_env();
    let options = Options::take(&mut args)?;
    Options::finish(args)?;
    Ok(options)
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("{}: {e:#}", USAGE.name);
            return ExitCode::from(2);
        }
    };
    run_with(USAGE, &options.process, move |p| async move {
        let handler = Arc::new(FaultProxy::new(p.clock.clone(), p.ex.clone()));
        let limits = ServerLimits::default();
        let server = p.bind("control", options.listen, handler, limits, p.stop.clone())?;
        p.ready.set(true);
        server.run(&p.ex).await;
        Ok(())
    })
}
