//! Entry point of the gateway daemon (`portrackd --gateway`).

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

/// How long the log writer may take to write the final lines before the process exits.
const FINAL_FLUSH_TIME: Duration = Duration::from_millis(20);

/// Reads the settings and runs the gateway until a termination signal arrives.
pub fn main(settings: Option<PathBuf>, check: bool) -> ExitCode {
    let from_environment = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(file) = settings.or(from_environment) else {
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
        eprintln!("portrackd: cannot initialise logging: {error}");
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
        eprintln!("portrackd: cannot install signal handlers");
        return ExitCode::from(FAILED);
    };
    let writer = LogSink::start_writer(std::io::stdout());
    actix_rt::spawn(sink.clone().hand_over_periodically(writer.clone()));
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
    let unfinished = running.stop().await;
    sink.hand_over(&writer);
    actix_rt::time::sleep(FINAL_FLUSH_TIME).await;
    match unfinished {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(FAILED),
    }
}

/// Validates the settings file after SIGHUP and logs whether it differs from the running settings.
/// Addresses and names take effect at the next start.
fn reload(file: &Path, running: &GatewaySettings) {
    let result: Result<GatewaySettings, SettingsError> = GatewaySettings::read(file);
    match result {
        Ok(settings) => {
            log::info!(changed = settings != *running; "reload");
        }
        Err(error) => log::error!(error:% = error; "reload_refused"),
    }
}
