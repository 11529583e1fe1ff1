//! Log output: one line of key=value pairs per event.

use crate::settings::LogSettings;
use log::kv::{Error, Key, Value, VisitSource};
use std::fmt::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

struct Pairs(String);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let plain = !text.is_empty() && !text.contains([' ', '"', '=', '\n']);
        let written = match plain {
            true => write!(self.0, " {key}={text}"),
            false => write!(self.0, " {key}={text:?}"),
        };
        written.map_err(Error::from)
    }
}

fn lines(level: log::LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new()
        .level(level)
        .level_for("actix_http", log::LevelFilter::Warn)
        .level_for("actix_server", log::LevelFilter::Warn)
        .format(|out, message, record| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let mut pairs = Pairs(String::new());
            let _ = record.key_values().visit(&mut pairs);
            let level = record.level().as_str().to_ascii_lowercase();
            let event = message.to_string().replace(' ', "-");
            let millis = now.as_millis();
            out.finish(format_args!("time_ms={millis} level={level} event={event}{}", pairs.0));
        })
}

/// Sends log lines to the configured target. Call once per process.
pub fn init(settings: &LogSettings) -> Result<(), String> {
    let dispatch = lines(settings.level);
    let dispatch = match settings.target.as_str() {
        "stderr" => dispatch.chain(std::io::stderr()),
        "stdout" => dispatch.chain(std::io::stdout()),
        file => dispatch.chain(fern::log_file(file).map_err(|e| format!("{file}: {e}"))?),
    };
    dispatch.apply().map_err(|e| e.to_string())
}

/// Sends log lines to the given writer. Call once per process.
pub fn init_to(out: Box<dyn std::io::Write + Send>) -> Result<(), String> {
    lines(log::LevelFilter::Info).chain(out).apply().map_err(|e| e.to_string())
}
