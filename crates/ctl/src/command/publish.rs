//! `celeryctl publish`.

use {
    super::{ExitReason, cli::expect_no_more_args, session::Session},
    conf::{Item, ItemKey},
    eyre::{Result, WrapErr, bail},
    pico_args::Arguments,
    std::{fs, path::PathBuf},
};

pub(super) async fn run(session: &Session, mut args: Arguments) -> Result<ExitReason> {
    let remove: Vec<ItemKey> = args.values_from_str("--remove")?;
    let file: Option<PathBuf> = args.opt_free_from_str()?;
    expect_no_more_args(args)?;
    let items = match file {
        Some(path) => read_items(&path)?,
        None if remove.is_empty() => bail!("a file or --remove KEY is needed; see --help"),
        None => Vec::new(),
    };
    let config = session.config().await?;
    session.publish(config, items, remove).await
}

fn read_items(path: &PathBuf) -> Result<Vec<Item>> {
    let name = path.display();
    let text = fs::read_to_string(path).wrap_err_with(|| format!("cannot read {name}"))?;
    let items: Vec<Item> = serde_saphyr::from_str(&text).map_err(|e| eyre::eyre!("{name}: {e}"))?;
    for item in &items {
        item.validate()
            .map_err(|reason| eyre::eyre!("{name}: {}: {reason}", item.key()))?;
    }
    Ok(items)
}
