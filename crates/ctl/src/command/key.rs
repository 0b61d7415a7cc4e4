//! `celeryctl key`.

use {
    super::{ExitReason, cli::expect_no_more_args, session::Session},
    conf::{ApiKey, Item},
    eyre::{Result, bail, eyre},
    pico_args::Arguments,
    std::{fs::File, io::Read, net::SocketAddr, path::PathBuf},
    types::{ClassId, KeyDigest, OrgId},
};

/// Random bytes in a key.
const KEY_BYTES: usize = 24;

pub(super) async fn run(session: &Session, mut args: Arguments) -> Result<ExitReason> {
    match args.subcommand()?.as_deref() {
        Some("give") => give(session, args).await,
        Some("withdraw") => withdraw(session, args).await,
        _ => bail!("key takes give or withdraw; see --help"),
    }
}

async fn give(session: &Session, mut args: Arguments) -> Result<ExitReason> {
    let org: OrgId = args.value_from_str("--org")?;
    let class: ClassId = args.value_from_str("--class")?;
    expect_no_more_args(args)?;
    let text = new_key()?;
    let digest = KeyDigest::of_key(text.as_bytes());
    let key = ApiKey {
        digest,
        org,
        class,
        classes: Vec::new(),
        withdrawn: false,
    };
    let config = session.config().await?;
    let reason = session
        .publish(config, vec![Item::Key(key)], Vec::new())
        .await?;
    if reason == ExitReason::Done {
        println!("{text}");
    }
    Ok(reason)
}

async fn withdraw(session: &Session, mut args: Arguments) -> Result<ExitReason> {
    let key: Option<String> = args.opt_value_from_str("--key")?;
    let digest: Option<KeyDigest> = args.opt_value_from_str("--digest")?;
    let entry: Option<SocketAddr> = args.opt_value_from_str("--entry")?;
    let secret: Option<PathBuf> = args.opt_value_from_str("--secret-file")?;
    expect_no_more_args(args)?;
    let digest = key
        .map(|k| KeyDigest::of_key(k.as_bytes()))
        .or(digest)
        .ok_or_else(|| eyre!("--key KEY or --digest DIGEST is missing"))?;
    if let Some(entry) = entry {
        let file = secret.ok_or_else(|| eyre!("--entry needs --secret-file FILE"))?;
        return session.revoke(entry, &file, digest).await;
    }
    let config = session.config().await?;
    let known = config.key(&digest).cloned();
    let known = known.ok_or_else(|| eyre!("no such key: {digest}"))?;
    let item = Item::Key(ApiKey {
        withdrawn: true,
        ..known
    });
    session.publish(config, vec![item], Vec::new()).await
}

/// Creates a random key.
fn new_key() -> Result<String> {
    let mut bytes = [0; KEY_BYTES];
    File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    Ok(format!("ck-{hex}"))
}
