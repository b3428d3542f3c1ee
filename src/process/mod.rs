//! What all programs share: options, logs, clock, shutdown signals, and the routes that show what a process does.

mod boottime_clock;
mod clock;
mod inbox;
mod log_output;
mod observe;
mod options;
#[cfg(test)]
mod tests;

pub use boottime_clock::BoottimeClock;
pub use clock::{MonotonicClock, new_incarnation};
pub use inbox::{InboxActor, run_with_inbox, send_at_intervals};
pub use log_output::{LineBudget, LogOutput, log_lines_left_out};
pub use observe::{Metrics, Readiness, observe_routes, serve};
pub use options::{Options, Parsed, parse};

use snafu::{ResultExt, Snafu};

use crate::settings;

/// Why a process ended with an error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{reason}"))]
    Usage {
        /// What is wrong.
        reason: String,
    },
    /// The settings are wrong.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The cause.
        source: settings::Error,
    },
    /// The partners in the settings are wrong.
    #[snafu(display("settings field \"partners\": {source}"))]
    Partners {
        /// The cause.
        source: crate::bundle::Error,
    },
    /// The logger could not be started.
    #[snafu(display("the logger could not be started: {source}"))]
    Logger {
        /// The cause.
        source: flexi_logger::FlexiLoggerError,
    },
    /// An address could not be bound.
    #[snafu(display("address {address} could not be bound: {source}"))]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The operating system refused something that the process needs.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was refused.
        what: &'static str,
        /// The cause.
        source: std::io::Error,
    },
}

/// The result of running a process.
pub type Result<T> = std::result::Result<T, Error>;

/// Starts logging to standard output, one JSON object a line. Lines are left out rather than waited for.
///
/// # Errors
///
/// [`Error::Logger`] if another logger is active or the level in `RUST_LOG` is malformed.
pub fn start_logger(verbose: bool) -> Result<flexi_logger::LoggerHandle> {
    let level = if verbose { "debug, hyper=info, reqwest=info" } else { "info" };
    let logger = flexi_logger::Logger::try_with_env_or_str(level).context(LoggerSnafu)?;
    logger.log_to_writer(Box::<LogOutput>::default()).start().context(LoggerSnafu)
}

/// Waits until the process is asked to end.
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

/// Waits until the sender says that the process is ending, or is gone.
pub async fn wait_for_shutdown(mut stopped: tokio::sync::watch::Receiver<bool>) {
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

/// The exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// The number of threads of a program. Two are enough for the share of a core that control may use.
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
            EXIT_USAGE.into()
        }
        Err(error) => {
            eprintln!("{program}: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}

/// Runs a program whose settings file is known already, on a single thread.
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
    let options = match parse(program, std::env::args().skip(1))? {
        Parsed::Print(text) => {
            println!("{text}");
            return Ok(());
        }
        Parsed::Run(options) => options,
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
