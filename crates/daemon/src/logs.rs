//! Logs as JSON lines on standard output, written by a thread of their own so that a reader that stalls
//! holds nothing up.

use {
    clock::{Instant, SharedClock},
    eyre::Result,
    fern::{Dispatch, Output},
    log::{
        LevelFilter,
        kv::{Key, Value, VisitSource},
    },
    parking_lot::Mutex,
    serde_json::{Map, Value as Json},
    std::{
        io::{self, Write},
        sync::{
            Arc,
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::Duration,
    },
};

/// Lines that wait for standard output at most; further ones are dropped and counted.
const WAITING: usize = 4_096;
/// Lines a second at most: keeps the cost of logs bounded when requests fail in masses.
const EACH_SECOND: u32 = 1_000;
/// Time that the end of a process waits for its last lines.
const LAST_LINES: Duration = Duration::from_millis(300);

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

enum Line {
    Text(String),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Counts the lines of each second.
#[derive(Debug, Default)]
struct Gate {
    second: Instant,
    passed: u32,
    dropped: u64,
}

impl Gate {
    /// Whether a line passes; with the lines dropped before it.
    fn pass(&mut self, now: Instant) -> Option<u64> {
        if now.since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.passed = 0;
        }
        if self.passed >= EACH_SECOND {
            self.dropped += 1;
            return None;
        }
        self.passed += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Writes the last lines when it is dropped.
pub struct LogGuard(SyncSender<Line>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        let (done, written) = sync_channel(1);
        if self.0.try_send(Line::Flush(done)).is_ok() {
            // A stalled reader must not hold up the end of the process.
            written.recv_timeout(LAST_LINES).unwrap_or_default();
        }
    }
}

/// Starts logging; each line is one JSON object with `ts`, `level`, `process`, `msg` and the record's
/// own fields.
pub fn init_logs(
    process: &'static str,
    level: LevelFilter,
    clock: SharedClock,
) -> Result<LogGuard> {
    let (sender, receiver) = sync_channel(WAITING);
    thread::spawn(move || write_lines(&receiver));
    let guard = LogGuard(sender.clone());
    let gate = Arc::new(Mutex::new(Gate::default()));
    let stamps = clock.clone();
    let output = Output::call(move |record| {
        let Some(dropped) = gate.lock().pass(stamps.now()) else {
            metrics::counter!("celerystage_log_lines_dropped_total").increment(1);
            return;
        };
        let mut text = record.args().to_string();
        if dropped > 0 {
            text = format!(
                "{{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":{dropped}}}\n{text}"
            );
        }
        if sender.try_send(Line::Text(text)).is_err() {
            metrics::counter!("celerystage_log_lines_dropped_total").increment(1);
            gate.lock().dropped += 1 + dropped;
        }
    });
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("polling", LevelFilter::Off)
        .level_for("async_io", LevelFilter::Off)
        .filter(move |meta| meta.level() <= level)
        .level(level)
        .format(move |out, message, record| {
            let mut line = Map::new();
            let ts = clock.unix_time().as_secs_f64();
            line.insert("ts".into(), ((ts * 1000.0).round() / 1000.0).into());
            line.insert(
                "level".into(),
                record.level().as_str().to_lowercase().into(),
            );
            line.insert("process".into(), process.into());
            line.insert("msg".into(), message.to_string().into());
            let _ = record.key_values().visit(&mut Fields(&mut line));
            out.finish(format_args!("{}", Json::Object(line)));
        })
        .chain(output)
        .apply()?;
    Ok(guard)
}

fn write_lines(lines: &Receiver<Line>) {
    let mut out = io::stdout();
    while let Ok(first) = lines.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        for line in std::iter::once(first).chain(lines.try_iter()) {
            match line {
                Line::Text(more) => {
                    text.push_str(&more);
                    text.push('\n');
                }
                Line::Flush(done) => flushes.push(done),
            }
        }
        if out
            .write_all(text.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            // Nobody reads the logs any more.
            return;
        }
        for done in flushes {
            // The process may have stopped waiting.
            done.try_send(()).unwrap_or_default();
        }
    }
}
