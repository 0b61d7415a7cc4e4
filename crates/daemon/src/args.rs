//! Command line of a daemon.

use {
    eyre::{Result, bail, eyre},
    pico_args::Arguments,
    std::path::PathBuf,
};

/// Name and description of a program, for its help text.
#[derive(Debug, Clone, Copy)]
pub struct ProgramInfo {
    /// Program name.
    pub name: &'static str,
    /// What it does, in one line.
    pub about: &'static str,
}

/// What the command line asks a daemon to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Args {
    /// Run with this settings file.
    Run(PathBuf),
    /// Check this settings file and exit.
    Check(PathBuf),
    /// Print help and exit.
    Help,
    /// Print the version and exit.
    Version,
}

impl Args {
    /// Parses the command line.
    pub fn parse(mut args: Arguments) -> Result<Self> {
        if args.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        if args.contains(["-V", "--version"]) {
            return Ok(Self::Version);
        }
        let check = args.contains("--check");
        let settings: Option<PathBuf> = args.opt_value_from_str("--settings")?;
        let rest = args.finish();
        if let Some(extra) = rest.first() {
            bail!("unknown argument {extra:?}; see --help");
        }
        let path = settings.ok_or_else(|| eyre!("--settings FILE is missing; see --help"))?;
        Ok(if check {
            Self::Check(path)
        } else {
            Self::Run(path)
        })
    }
}

impl ProgramInfo {
    /// Help text.
    pub fn help(&self) -> String {
        format!(
            "{}: {}\n\n\
             Usage: {} --settings FILE [--check]\n\n\
             --settings FILE  YAML settings; docs/SETTINGS.md lists the keys\n\
             --check          check the settings and exit: 0 when valid, 2 when not\n\
             --version        print the version\n\
             --help           print this\n\n\
             Signals: TERM and INT stop gracefully. Exit codes: 0 stopped, 1 failed, 2 bad settings\n\
             or command line.\n",
            self.name, self.about, self.name
        )
    }
}
