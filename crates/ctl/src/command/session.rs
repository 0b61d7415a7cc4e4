//! Access to the platform: reads the configuration and publishes changes.

use {
    super::ExitReason,
    clock::{SharedClock, SystemClock},
    conf::{Change, ChangeOutcome, Config, Item, ItemKey, Op},
    eyre::{Result, WrapErr, bail, eyre},
    http_types::Method,
    mesh::{Authenticator, REVOKE_PATH, RevokeRequest},
    pico_args::Arguments,
    ports::{HttpPlatform, Log, Record, Stream},
    std::{fs, net::SocketAddr, path::Path, time::Duration},
    types::{KeyDigest, OperatorId, RequestId, Verdict},
    wire::{Call, Client, to_msgpack},
};

/// Most attempts to append a change, when responses are lost.
const MAX_APPENDS: u32 = 3;
/// Most reads of the log while waiting for the change to appear in it.
const MAX_READS: u32 = 10;
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// Connection and options of one run of the command.
pub(super) struct Session {
    platform: HttpPlatform,
    client: Client,
    clock: SharedClock,
    by: OperatorId,
    pub(super) json: bool,
}

impl Session {
    pub(super) fn from_args(args: &mut Arguments) -> Result<Self> {
        let addr: SocketAddr = args
            .opt_value_from_str("--platform")?
            .ok_or_else(|| eyre!("--platform ADDR is missing; see --help"))?;
        let by: Option<OperatorId> = args.opt_value_from_str("--by")?;
        let by = by.map_or_else(|| "operator".parse(), Ok)?;
        let json = args.contains("--json");
        let clock = SystemClock::shared();
        let client = Client::new(clock.clone());
        let platform = HttpPlatform::new(client.clone(), addr);
        Ok(Self {
            platform,
            client,
            clock,
            by,
            json,
        })
    }

    /// Reads the log and folds it into the current configuration.
    pub(super) async fn config(&self) -> Result<Config> {
        let mut config = Config::default();
        self.catch_up(&mut config).await?;
        Ok(config)
    }

    /// Folds the records that `config` does not contain yet.
    async fn catch_up(&self, config: &mut Config) -> Result<()> {
        loop {
            let from = config.version().0;
            let page = self
                .platform
                .read(Stream::Config, from, Duration::ZERO)
                .await
                .wrap_err("cannot read the configuration stream")?;
            for record in &page.records {
                config.fold(record.offset, &record.data);
            }
            if config.version().0 >= page.next {
                return Ok(());
            }
        }
    }

    /// Reads all kept records of a stream; returns the offset of the first one and the records.
    pub(super) async fn records(&self, stream: Stream) -> Result<(u64, Vec<Record>)> {
        let mut records: Vec<Record> = Vec::new();
        let mut from = 0;
        loop {
            let page = self.platform.read(stream, from, Duration::ZERO).await;
            let page = page.wrap_err_with(|| format!("cannot read the {stream} stream"))?;
            let Some(last) = page.records.last() else {
                return Ok((page.first, records));
            };
            from = last.offset + 1;
            records.extend(page.records);
            if from >= page.next {
                return Ok((page.first, records));
            }
        }
    }

    /// Current time in milliseconds since the Unix epoch.
    pub(super) fn unix_ms(&self) -> u64 {
        u64::try_from(self.clock.unix_time().as_millis()).unwrap_or(u64::MAX)
    }

    /// Publishes items and removals as one change based on `config`, and waits for its outcome.
    pub(super) async fn publish(
        &self,
        mut config: Config,
        items: Vec<Item>,
        remove: Vec<ItemKey>,
    ) -> Result<ExitReason> {
        let base = |key: &ItemKey| config.get(key).map(|e| e.version).unwrap_or_default();
        let puts = items.into_iter().map(|item| Op::Put {
            base: base(&item.key()),
            item,
        });
        let removes = remove.into_iter().map(|key| Op::Remove {
            base: base(&key),
            key,
        });
        let ops = puts.chain(removes).collect();
        let change = Change {
            id: RequestId::from_bits(fastrand::u128(..)),
            by: self.by.clone(),
            ops,
        };
        let record = serde_json::to_string(&change)?;
        let appended = self.append(&record).await;
        for _ in 0..MAX_READS {
            if self.catch_up(&mut config).await.is_err() {
                self.clock.sleep(READ_INTERVAL).await;
                continue;
            }
            match config.outcome(change.id) {
                Some(ChangeOutcome::Accepted(version)) => {
                    println!("accepted: in force from version {version}");
                    return Ok(ExitReason::Done);
                }
                Some(ChangeOutcome::Refused(refused)) => {
                    eprintln!("refused: {refused}");
                    return Ok(ExitReason::Refused);
                }
                None => self.clock.sleep(READ_INTERVAL).await,
            }
        }
        if appended {
            eprintln!("the platform may have taken the change; check with: celeryctl show");
            return Ok(ExitReason::UnknownOutcome);
        }
        eprintln!("the platform did not take the change");
        Ok(ExitReason::Failed)
    }

    /// Withdraws a key directly at one entry, without the log.
    pub(super) async fn revoke(
        &self,
        entry: SocketAddr,
        secret: &Path,
        key: KeyDigest,
    ) -> Result<ExitReason> {
        let text = fs::read_to_string(secret).wrap_err("cannot read the secret")?;
        let auth = Authenticator::new(vec![text.trim().into()]);
        let body = to_msgpack(&RevokeRequest { key })?;
        let mut call = Call::new(entry, Method::Post, REVOKE_PATH).body(body);
        auth.sign(&mut call.request);
        match self.client.send(call).await {
            Ok(reply) if reply.status() == 200 => {
                println!("withdrawn at {entry}, which replicates it to the other entries");
                Ok(ExitReason::Done)
            }
            Ok(reply) => bail!("{entry} answered with status {}", reply.status()),
            Err(e) if e.verdict == Verdict::NotRun => bail!("{entry}: {e}"),
            Err(e) => {
                eprintln!("{entry}: {e}");
                Ok(ExitReason::UnknownOutcome)
            }
        }
    }

    /// Appends a record; returns `true` if it may be in the log. Retries are safe, since folding
    /// ignores a change that is repeated.
    async fn append(&self, record: &str) -> bool {
        let mut maybe_appended = false;
        for _ in 0..MAX_APPENDS {
            match self.platform.append(Stream::Config, record).await {
                Ok(_) => return true,
                Err(e) => maybe_appended |= e.verdict() != Verdict::NotRun,
            }
        }
        maybe_appended
    }
}
