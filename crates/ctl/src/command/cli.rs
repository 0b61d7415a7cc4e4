//! Command line and exit codes.

use {
    super::{burn, key, publish, session::Session, show},
    eyre::{Result, bail, eyre},
    pico_args::Arguments,
    std::process::ExitCode,
};

const HELP: &str = "\
celeryctl: operates celerystage

Usage: celeryctl COMMAND [OPTIONS]

  publish FILE     publish the items of a YAML file as one change; --remove KEY removes items
  show [KIND]      print the folded configuration, or the items of one kind (class, org, key, ...)
  show leases      print who holds which lease since when, and orders without a result
  key give         make a key: --org ORG --class CLASS; prints it once, only its digest is kept
  key withdraw     withdraw a key: --key KEY or --digest DIGEST; while the
                   log is away: --entry ADDR (its mesh address) --secret-file FILE

  burn             print how fast error budgets are used up, what endpoints cost, how usage reports go

Options of burn:
  --entry ADDR     admin address of an entry; once for each entry
  --steward ADDR   admin address of a steward, for usage reports; once for each
  --cheap-price N  price of a cheap endpoint as a share of a steady one's; default: 0.35
  --svg FILE       write a picture too

Options of all other commands:
  --platform ADDR  address of the platform's service, as IP:PORT
  --by NAME        operator's name; default: operator
  --json           print JSON in place of tables

Exit codes: 0 done, 1 failed, 2 bad command line or file, 3 refused: another operator came first or
the change is not valid, 4 unknown outcome: the platform may have taken the change, 5 an error budget
burns so fast that an alert is raised.
";

/// Why a command ended; each has its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// Done.
    Done,
    /// Failed without effect.
    Failed,
    /// Bad command line or file.
    BadUse,
    /// The change was refused by the fold.
    Refused,
    /// The change may have been taken.
    Unknown,
    /// An error budget burns.
    Burning,
}

impl From<ExitReason> for ExitCode {
    fn from(reason: ExitReason) -> Self {
        match reason {
            ExitReason::Done => Self::SUCCESS,
            ExitReason::Failed => Self::from(1),
            ExitReason::BadUse => Self::from(2),
            ExitReason::Refused => Self::from(3),
            ExitReason::Unknown => Self::from(4),
            ExitReason::Burning => Self::from(5),
        }
    }
}

/// Runs the command that the arguments name.
pub async fn run_command(mut args: Arguments) -> ExitReason {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitReason::Done;
    }
    match dispatch(args).await {
        Ok(reason) => reason,
        Err(e) => {
            eprintln!("celeryctl: {e:#}");
            ExitReason::BadUse
        }
    }
}

async fn dispatch(mut args: Arguments) -> Result<ExitReason> {
    let command = args
        .subcommand()?
        .ok_or_else(|| eyre!("a command is missing; see --help"))?;
    if command == "burn" {
        return burn::run(args).await;
    }
    let session = Session::take(&mut args)?;
    match command.as_str() {
        "publish" => publish::run(&session, args).await,
        "show" => show::run(&session, args).await,
        "key" => key::run(&session, args).await,
        other => bail!("unknown command {other}; see --help"),
    }
}

/// Refuses what is left on the command line.
pub(super) fn finish(args: Arguments) -> Result<()> {
    match args.finish().first() {
        Some(extra) => bail!("unknown argument {extra:?}; see --help"),
        None => Ok(()),
    }
}
