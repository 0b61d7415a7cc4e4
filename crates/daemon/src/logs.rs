//! Logs as JSON lines on standard output.

use {
    clock::SharedClock,
    eyre::Result,
    fern::Dispatch,
    log::{
        LevelFilter,
        kv::{Key, Value, VisitSource},
    },
    serde_json::{Map, Value as Json},
};

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Starts logging; each line is one JSON object with `ts`, `level`, `process`, `msg` and the record's
/// own fields.
pub fn init_logs(process: &'static str, level: LevelFilter, clock: SharedClock) -> Result<()> {
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("polling", LevelFilter::Off)
        .level_for("async_io", LevelFilter::Off)
        .filter(move |meta| meta.level() <= level)
        .level(level)
        .format(move |out, message, record| {
            let mut line = Map::new();
            let ts = clock.unix().as_secs_f64();
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
        .chain(std::io::stdout())
        .apply()?;
    Ok(())
}
