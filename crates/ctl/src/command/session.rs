//! Connection to the platform, the folded configuration, and publishing.

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

/// Appends of one change at most, when answers are lost.
const MAX_APPENDS: u32 = 3;
/// Reads at most until the change is seen in the log.
const MAX_READS: u32 = 10;
const READ_WAIT: Duration = Duration::from_millis(200);

/// One run of the command.
pub(super) struct Session {
    platform: HttpPlatform,
    client: Client,
    clock: SharedClock,
    by: OperatorId,
    pub(super) json: bool,
}

impl Session {
    pub(super) fn take(args: &mut Arguments) -> Result<Self> {
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

    /// Folds the configuration from the log.
    pub(super) async fn config(&self) -> Result<Config> {
        let mut config = Config::default();
        self.catch_up(&mut config).await?;
        Ok(config)
    }

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

    /// Reads all kept records of a stream; the first kept offset comes with them.
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

    /// Milliseconds since the Unix epoch.
    pub(super) fn unix_ms(&self) -> u64 {
        u64::try_from(self.clock.unix_time().as_millis()).unwrap_or(u64::MAX)
    }

    /// Publishes items and removals as one change based on `config`.
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
                self.clock.sleep(READ_WAIT).await;
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
                None => self.clock.sleep(READ_WAIT).await,
            }
        }
        if appended {
            eprintln!("the change may have been taken; look with: celeryctl show");
            return Ok(ExitReason::Unknown);
        }
        eprintln!("the platform did not take the change");
        Ok(ExitReason::Failed)
    }

    /// Withdraws a key through one entry, without the log.
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
                println!("withdrawn at {entry}; it spreads from there");
                Ok(ExitReason::Done)
            }
            Ok(reply) => bail!("{entry} answered with status {}", reply.status()),
            Err(e) if e.verdict == Verdict::NotRun => bail!("{entry}: {e}"),
            Err(e) => {
                eprintln!("{entry}: {e}");
                Ok(ExitReason::Unknown)
            }
        }
    }

    /// Appends a record; `true` when it may be in the log. The fold drops repeats of a change.
    async fn append(&self, record: &str) -> bool {
        let mut taken = false;
        for _ in 0..MAX_APPENDS {
            match self.platform.append(Stream::Config, record).await {
                Ok(_) => return true,
                Err(e) => taken |= e.verdict() != Verdict::NotRun,
            }
        }
        taken
    }
}
