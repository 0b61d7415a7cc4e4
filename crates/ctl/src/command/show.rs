//! `celeryctl show`.

use {
    super::{ExitReason, cli::expect_no_more_args, leases, session::Session},
    conf::{Config, Item},
    eyre::Result,
    pico_args::Arguments,
};

/// Kind that shows leases and orders instead of configuration items.
const LEASES: &str = "leases";

pub(super) async fn run(session: &Session, mut args: Arguments) -> Result<ExitReason> {
    let kind: Option<String> = args.opt_free_from_str()?;
    expect_no_more_args(args)?;
    if kind.as_deref() == Some(LEASES) {
        return leases::run(session).await;
    }
    let config = session.config().await?;
    let prefix = kind.unwrap_or_default();
    if session.json {
        println!("{}", serde_json::to_string_pretty(&config)?);
    } else {
        print_table(&config, &prefix)?;
    }
    Ok(ExitReason::Done)
}

fn print_table(config: &Config, prefix: &str) -> Result<()> {
    println!("version {}", config.version());
    for (key, entry) in config.items() {
        let key = key.to_string();
        if !key.starts_with(prefix) {
            continue;
        }
        println!(
            "{:<40} {:>8}  {}",
            key,
            entry.version,
            describe(&entry.item)?
        );
    }
    Ok(())
}

/// Text for an item: its JSON, or for an exception its limits and reason.
fn describe(item: &Item) -> Result<String> {
    if let Item::Exception(e) = item {
        return Ok(format!(
            "{}: {}",
            serde_json::to_string(&e.limits)?,
            e.reason
        ));
    }
    Ok(serde_json::to_string(item)?)
}
