//! Functions shared by all programs: options, logs, clocks, shutdown signals, and the routes for health and metrics.

mod boottime_clock;
mod clock;
mod inbox;
pub mod intake;
mod log_output;
mod observe;
mod options;
#[cfg(test)]
mod tests;

pub use boottime_clock::BoottimeClock;
pub use clock::{AwakeClock, MonotonicClock, new_incarnation};
pub use inbox::{InboxActor, InboxSender, Queued, inbox, run_with_inbox, send_at_intervals};
pub use log_output::{LineBudget, LogOutput, dropped_log_lines};
pub use observe::{Metrics, Readiness, observe_routes};
pub use options::{CommandLineAction, Options, parse_command_line};

use snafu::{ResultExt, Snafu};

use crate::settings;

/// Error that ends a process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is invalid.
    #[snafu(display("{reason}"))]
    Usage {
        /// Description of the error.
        reason: String,
    },
    /// The settings file is unreadable or invalid.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Cause of the failure.
        source: settings::Error,
    },
    /// The partners in the settings are invalid.
    #[snafu(display("settings field \"partners\": {source}"))]
    Partners {
        /// Cause of the failure.
        source: crate::bundle::Error,
    },
    /// The logger could not be started.
    #[snafu(display("the logger could not be started: {source}"))]
    Logger {
        /// Cause of the failure.
        source: flexi_logger::FlexiLoggerError,
    },
    /// An address could not be bound.
    #[snafu(display("address {address} could not be bound: {source}"))]
    Bind {
        /// Address to bind.
        address: std::net::SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The operating system refused a resource that the process needs.
    #[snafu(display("{what} could not be set up: {source}"))]
    System {
        /// Name of the resource.
        what: &'static str,
        /// Cause of the failure.
        source: std::io::Error,
    },
}

/// Result of running a process.
pub type Result<T> = std::result::Result<T, Error>;

/// Starts logging to standard output, one JSON object per line. Lines that would block are dropped.
///
/// # Errors
///
/// [`Error::Logger`] if another logger is active or the level in `RUST_LOG` is malformed.
pub fn start_logger(verbose: bool) -> Result<flexi_logger::LoggerHandle> {
    let level = if verbose { "debug, hyper=info, reqwest=info" } else { "info" };
    let logger = flexi_logger::Logger::try_with_env_or_str(level).context(LoggerSnafu)?;
    logger.log_to_writer(Box::<LogOutput>::default()).start().context(LoggerSnafu)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// [`Error::System`] if the signal handlers cannot be installed.
pub async fn shutdown_requested() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate =
        signal(SignalKind::terminate()).context(SystemSnafu { what: "SIGTERM handler" })?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context(SystemSnafu { what: "SIGINT handler" })?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits until the value becomes `true`, which announces the shutdown of the process, or the sender is dropped.
pub async fn wait_for_shutdown(mut shutdown: tokio::sync::watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|is_requested| *is_requested).await;
}

/// Exit code for an invalid command line or invalid settings.
const EXIT_CODE_USAGE: u8 = 2;

/// Number of worker threads of the runtime. Two suffice for the share of a core that control processes may use.
const WORKER_THREADS: usize = 2;

/// Runs a program: parses the options, reads the settings, starts the logger and the runtime, and runs `main`.
pub fn run<S, F, Fut>(program: &'static str, main: F) -> std::process::ExitCode
where
    S: serde::de::DeserializeOwned + settings::ValidateSettings,
    F: FnOnce(S) -> Fut,
    Fut: Future<Output = Result<()>>,
{
    match run_program(program, main) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error @ (Error::Usage { .. } | Error::Settings { .. } | Error::Partners { .. })) => {
            eprintln!("{program}: {error}");
            EXIT_CODE_USAGE.into()
        }
        Err(error) => {
            eprintln!("{program}: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}

/// Runs a program that reads its settings in `main`: starts the logger and a single-threaded runtime, and runs `main`.
pub fn run_single_threaded<F, Fut>(program: &'static str, main: F) -> std::process::ExitCode
where
    F: FnOnce() -> Fut,
    Fut: Future<Output = Result<()>>,
{
    let run = || {
        let _logger = start_logger(false)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.context(SystemSnafu { what: "async runtime" })?.block_on(main())
    };
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn run_program<S, F, Fut>(program: &'static str, main: F) -> Result<()>
where
    S: serde::de::DeserializeOwned + settings::ValidateSettings,
    F: FnOnce(S) -> Fut,
    Fut: Future<Output = Result<()>>,
{
    let options = match parse_command_line(program, std::env::args().skip(1))? {
        CommandLineAction::Print(text) => {
            println!("{text}");
            return Ok(());
        }
        CommandLineAction::Run(options) => options,
    };
    let settings: S = settings::read(&options.settings)?;
    if options.check {
        println!("settings file {} is valid", options.settings.display());
        return Ok(());
    }
    let _logger = start_logger(options.verbose)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    runtime.context(SystemSnafu { what: "async runtime" })?.block_on(main(settings))
}
