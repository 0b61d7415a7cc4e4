//! Command line of the stand-ins.

use {
    daemon::{LogLevel, Process, ProcessSettings, ProgramInfo, run_process},
    eyre::{Result, bail},
    pico_args::Arguments,
    std::{net::SocketAddr, process::ExitCode, sync::Arc},
    wire::{Handler, ServerLimits},
};

const EXIT_BAD_USE: u8 = 2;

const ANY_PORT: &str = "127.0.0.1:0";

/// CommonOptions that every stand-in has.
#[derive(Debug, Clone)]
pub struct CommonOptions {
    /// Address to serve on.
    pub listen: SocketAddr,
    /// The process's settings.
    pub process: ProcessSettings,
}

impl CommonOptions {
    /// Takes the common options; the caller takes its own first or afterwards, then calls
    /// [`CommonOptions::reject_unknown`].
    pub fn parse(args: &mut Arguments) -> Result<Self> {
        let any: SocketAddr = ANY_PORT.parse()?;
        let listen = args.opt_value_from_str("--listen")?.unwrap_or(any);
        let admin = args.opt_value_from_str("--admin")?.unwrap_or(any);
        let threads = args.opt_value_from_str("--threads")?.unwrap_or(1);
        Ok(Self {
            listen,
            process: ProcessSettings::new(admin, threads, LogLevel::Info),
        })
    }

    /// Refuses what is left on the command line.
    pub fn reject_unknown(args: Arguments) -> Result<()> {
        match args.finish().first() {
            Some(extra) => bail!("unknown argument {extra:?}"),
            None => Ok(()),
        }
    }
}

/// Runs a stand-in that serves on one address in `role`, with the common options.
pub fn run_standin<H: Handler>(
    usage: ProgramInfo,
    role: &'static str,
    make: impl FnOnce(&Process) -> H,
) -> ExitCode {
    let options = match only_common() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("{}: {e:#}", usage.name);
            return ExitCode::from(EXIT_BAD_USE);
        }
    };
    run_process(usage, &options.process, move |p| async move {
        let handler = Arc::new(make(&p));
        let limits = ServerLimits::default();
        let server = p.bind(role, options.listen, handler, limits, p.stop.clone())?;
        p.ready.set(true);
        server.run(&p.ex).await;
        Ok(())
    })
}

fn only_common() -> Result<CommonOptions> {
    let mut args = Arguments::from_env();
    let options = CommonOptions::parse(&mut args)?;
    CommonOptions::reject_unknown(args)?;
    Ok(options)
}
