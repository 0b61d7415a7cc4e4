//! Command line and start-up of the stand-ins.

use {
    daemon::{LogLevel, Process, ProcessSettings, ProgramInfo, run_process},
    eyre::{Result, bail},
    pico_args::Arguments,
    std::{net::SocketAddr, process::ExitCode, sync::Arc},
    wire::{Handler, ServerLimits},
};

const EXIT_BAD_COMMAND_LINE: u8 = 2;

const ANY_LOOPBACK_PORT: &str = "127.0.0.1:0";

/// Options that every stand-in has.
#[derive(Debug, Clone)]
pub struct CommonOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Settings of the process.
    pub process: ProcessSettings,
}

impl CommonOptions {
    /// Parses the common options. The caller parses its own before or after that, and then calls
    /// [`CommonOptions::reject_unknown`].
    pub fn parse(args: &mut Arguments) -> Result<Self> {
        let any: SocketAddr = ANY_LOOPBACK_PORT.parse()?;
        let listen = args.opt_value_from_str("--listen")?.unwrap_or(any);
        let admin = args.opt_value_from_str("--admin")?.unwrap_or(any);
        let threads = args.opt_value_from_str("--threads")?.unwrap_or(1);
        Ok(Self {
            listen,
            process: ProcessSettings::new(admin, threads, LogLevel::Info),
        })
    }

    /// Fails if there are arguments that no option has consumed.
    pub fn reject_unknown(args: Arguments) -> Result<()> {
        match args.finish().first() {
            Some(extra) => bail!("unknown argument {extra:?}"),
            None => Ok(()),
        }
    }
}

/// Runs a stand-in that has only the common options and listens on one address. `role` names the
/// address in the log.
pub fn run_standin<H: Handler>(
    program: ProgramInfo,
    role: &'static str,
    new_handler: impl FnOnce(&Process) -> H,
) -> ExitCode {
    let options = match parse_only_common() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("{}: {e:#}", program.name);
            return ExitCode::from(EXIT_BAD_COMMAND_LINE);
        }
    };
    run_process(program, &options.process, move |p| async move {
        let handler = Arc::new(new_handler(&p));
        let limits = ServerLimits::default();
        let server = p.bind(role, options.listen, handler, limits, p.stop.clone())?;
        p.ready.set(true);
        server.run(&p.ex).await;
        Ok(())
    })
}

fn parse_only_common() -> Result<CommonOptions> {
    let mut args = Arguments::from_env();
    let options = CommonOptions::parse(&mut args)?;
    CommonOptions::reject_unknown(args)?;
    Ok(options)
}
