//! Logging as JSON lines on standard output. A separate thread writes them, so that a stalled
//! reader does not block the process.

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

/// Most lines queued for standard output; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// Most lines per second, which bounds the cost of logging when many requests fail.
const MAX_LINES_PER_SECOND: u32 = 1_000;
/// Time that a process waits at exit for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Copies the fields of a log record into a JSON object.
struct FieldVisitor<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Message to the writer thread.
enum WriterMsg {
    Line(String),
    /// Confirmed once all lines queued before it are written.
    Flush(SyncSender<()>),
}

/// Limits the number of lines in each second.
#[derive(Debug, Default)]
struct RateLimiter {
    window_start: Instant,
    accepted: u32,
    dropped: u64,
}

impl RateLimiter {
    /// Accepts a line and returns how many were dropped before it; `None` if this line is dropped.
    fn accept(&mut self, now: Instant) -> Option<u64> {
        if now.since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.accepted = 0;
        }
        if self.accepted >= MAX_LINES_PER_SECOND {
            self.dropped += 1;
            return None;
        }
        self.accepted += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Waits for queued lines to be written when it is dropped.
pub struct LogGuard(SyncSender<WriterMsg>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        let (done, written) = sync_channel(1);
        if self.0.try_send(WriterMsg::Flush(done)).is_ok() {
            // A stalled reader must not delay the exit of the process.
            written.recv_timeout(FLUSH_TIMEOUT).unwrap_or_default();
        }
    }
}

/// Starts logging. Each line is a JSON object with `ts`, `level`, `process`, `msg` and the fields
/// of the record.
pub fn init_logs(
    process: &'static str,
    level: LevelFilter,
    clock: SharedClock,
) -> Result<LogGuard> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    thread::spawn(move || write_lines(&receiver));
    let guard = LogGuard(sender.clone());
    let limiter = Arc::new(Mutex::new(RateLimiter::default()));
    let limiter_clock = clock.clone();
    let output = Output::call(move |record| {
        let Some(dropped) = limiter.lock().accept(limiter_clock.now()) else {
            metrics::counter!("celerystage_log_lines_dropped_total").increment(1);
            return;
        };
        let mut text = record.args().to_string();
        if dropped > 0 {
            text = format!(
                "{{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":{dropped}}}\n{text}"
            );
        }
        if sender.try_send(WriterMsg::Line(text)).is_err() {
            metrics::counter!("celerystage_log_lines_dropped_total").increment(1);
            limiter.lock().dropped += 1 + dropped;
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
            let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
            out.finish(format_args!("{}", Json::Object(line)));
        })
        .chain(output)
        .apply()?;
    Ok(guard)
}

fn write_lines(messages: &Receiver<WriterMsg>) {
    let mut out = io::stdout();
    while let Ok(first) = messages.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        for message in std::iter::once(first).chain(messages.try_iter()) {
            match message {
                WriterMsg::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                WriterMsg::Flush(done) => flushes.push(done),
            }
        }
        if out
            .write_all(text.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            // Standard output is closed.
            return;
        }
        for done in flushes {
            // The receiver is gone if the process has stopped waiting.
            done.try_send(()).unwrap_or_default();
        }
    }
}
