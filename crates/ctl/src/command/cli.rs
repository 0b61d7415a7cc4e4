//! Command line, help text and exit codes.

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
  show [KIND]      print the current configuration, or the items of one kind (class, org, key, ...)
  show leases      print the holder and age of each lease, and orders without a result
  key give         create a key: --org ORG --class CLASS; prints it once, only its digest is kept
  key withdraw     withdraw a key: --key KEY or --digest DIGEST; while the
                   log is unreachable: --entry ADDR (its mesh address) --secret-file FILE

  burn             print burn rates of error budgets, endpoint costs and usage report delivery

Options of burn:
  --entry ADDR     admin address of an entry; once for each entry
  --steward ADDR   admin address of a steward, for usage reports; once for each
  --cheap-price N  price of a cheap endpoint as a share of a steady one's; default: 0.35
  --svg FILE       also write the report as a chart

Options of all other commands:
  --platform ADDR  address of the platform's service, as IP:PORT
  --by NAME        operator's name; default: operator
  --json           print JSON instead of tables

Exit codes: 0 done, 1 failed, 2 bad command line or file, 3 refused: another operator published
first or the change is not valid, 4 unknown outcome: the platform may have taken the change, 5 an
error budget burns so fast that an alert is raised.
";

/// How a command ended; each reason has its own exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// Succeeded.
    Done,
    /// Failed without an effect.
    Failed,
    /// Invalid command line or file.
    BadUsage,
    /// The change was refused when the configuration was folded.
    Refused,
    /// The change may have taken effect.
    UnknownOutcome,
    /// An error budget burns fast enough to raise an alert.
    BudgetAlert,
}

impl From<ExitReason> for ExitCode {
    fn from(reason: ExitReason) -> Self {
        match reason {
            ExitReason::Done => Self::SUCCESS,
            ExitReason::Failed => Self::from(1),
            ExitReason::BadUsage => Self::from(2),
            ExitReason::Refused => Self::from(3),
            ExitReason::UnknownOutcome => Self::from(4),
            ExitReason::BudgetAlert => Self::from(5),
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
            ExitReason::BadUsage
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
    let session = Session::from_args(&mut args)?;
    match command.as_str() {
        "publish" => publish::run(&session, args).await,
        "show" => show::run(&session, args).await,
        "key" => key::run(&session, args).await,
        other => bail!("unknown command {other}; see --help"),
    }
}

/// Fails if there are arguments left.
pub(super) fn expect_no_more_args(args: Arguments) -> Result<()> {
    match args.finish().first() {
        Some(extra) => bail!("unknown argument {extra:?}; see --help"),
        None => Ok(()),
    }
}
