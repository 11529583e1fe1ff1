//! Runs a gateway daemon on the users' machines.

use super::{BAD_SETTINGS, FAILED};
use actix_rt::signal::unix::{SignalKind, signal};
use portrack::gateway::{GatewaySettings, LogSink, start_gateway};
use portrack::settings::SettingsError;
use portrack::types::BootClock;
use portrack_platform::{PlatformDialect, PlatformStore, SETTINGS_VARIABLE};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Given to the last log lines before the process ends.
const LAST_LINES: Duration = Duration::from_millis(20);

/// Reads the settings and runs until told to stop.
pub fn main(settings: Option<PathBuf>, check: bool) -> ExitCode {
    let named = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(file) = settings.or(named) else {
        eprintln!("portrackd: --settings is missing and {SETTINGS_VARIABLE} is not set");
        return ExitCode::from(BAD_SETTINGS);
    };
    let settings = match GatewaySettings::read(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("portrackd: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if check {
        println!("{}: ok", file.display());
        return ExitCode::SUCCESS;
    }
    let sink = LogSink::default();
    if let Err(error) = portrack::daemon::init_logging_to(Box::new(sink.clone())) {
        eprintln!("portrackd: log: {error}");
        return ExitCode::from(FAILED);
    }
    actix_rt::System::new().block_on(run(file, settings, sink))
}

async fn run(file: PathBuf, settings: GatewaySettings, sink: LogSink) -> ExitCode {
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        eprintln!("portrackd: signals cannot be waited for");
        return ExitCode::from(FAILED);
    };
    let inlet = LogSink::start_writer(std::io::stdout());
    actix_rt::spawn(sink.clone().hand_over_periodically(inlet.clone()));
    let store = Rc::new(PlatformStore::new(&settings.store));
    let clock = Rc::new(BootClock);
    let started = start_gateway(settings.clone(), clock, Rc::new(PlatformDialect), store).await;
    let running = match started {
        Ok(running) => running,
        Err(error) => {
            eprintln!("portrackd: {error}");
            return ExitCode::from(FAILED);
        }
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&file, &settings),
        }
    }
    let left = running.stop().await;
    sink.hand_over(&inlet);
    actix_rt::time::sleep(LAST_LINES).await;
    match left {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(FAILED),
    }
}

/// Checks the changed file. Addresses and names take effect with the next start.
fn reload(file: &Path, running: &GatewaySettings) {
    let read: Result<GatewaySettings, SettingsError> = GatewaySettings::read(file);
    match read {
        Ok(settings) => {
            log::info!(changed = settings != *running; "reload");
        }
        Err(error) => log::error!(error:% = error; "reload_refused"),
    }
}
