//! Command line of the stand-ins.

use {
    daemon::{LogLevel, ProcessSettings},
    eyre::{Result, bail},
    pico_args::Arguments,
    std::net::SocketAddr,
};

const ANY_PORT: &str = "127.0.0.1:0";

/// Options that every stand-in has.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to serve on.
    pub listen: SocketAddr,
    /// The process's settings.
    pub process: ProcessSettings,
}

impl Options {
    /// Takes the common options; the caller takes its own first or afterwards, then calls
    /// [`Options::finish`].
    pub fn take(args: &mut Arguments) -> Result<Self> {
        let any: SocketAddr = ANY_PORT.parse()?;
        let listen = args.opt_value_from_str("--listen")?.unwrap_or(any);
        let admin = args.opt_value_from_str("--admin")?.unwrap_or(any);
        let threads = args.opt_value_from_str("--threads")?.unwrap_or(1);
        Ok(Self {
            listen,
            process: ProcessSettings::plain(admin, threads, LogLevel::Info),
        })
    }

    /// Refuses what is left on the command line.
    pub fn finish(args: Arguments) -> Result<()> {
        match args.finish().first() {
            Some(extra) => bail!("unknown argument {extra:?}"),
            None => Ok(()),
        }
    }
}
