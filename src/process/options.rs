//! Command line of the long-running programs.

use std::path::PathBuf;

use super::{Error, Result};

/// Options of a long-running program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to check the settings and exit.
    pub check: bool,
    /// Whether to log at debug level.
    pub verbose: bool,
}

/// Action requested by the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandLineAction {
    /// Print a text and exit.
    Print(String),
    /// Run the program with these options.
    Run(Options),
}

/// Parses the command line of a long-running program.
///
/// # Errors
///
/// [`Error::Usage`] for an unknown option, a missing `--settings` option or a positional argument.
pub fn parse_command_line<A>(program: &str, arguments: A) -> Result<CommandLineAction>
where
    A: IntoIterator<Item = String>,
{
    let mut options = getopts::Options::new();
    options.optopt("s", "settings", "JSON settings file", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("v", "verbose", "log at debug level");
    options.optflag("h", "help", "print this help");
    options.optflag("", "version", "print the version");
    let usage = |error: getopts::Fail| Error::Usage { reason: format!("{error}; try --help") };
    let matches = options.parse(arguments).map_err(usage)?;
    if matches.opt_present("help") {
        return Ok(CommandLineAction::Print(
            options.usage(&format!("Usage: {program} --settings FILE [options]")),
        ));
    }
    if matches.opt_present("version") {
        return Ok(CommandLineAction::Print(format!("{program} {}", env!("CARGO_PKG_VERSION"))));
    }
    if let Some(argument) = matches.free.first() {
        return Err(Error::Usage {
            reason: format!("unexpected argument {argument:?}; try --help"),
        });
    }
    let Some(settings) = matches.opt_str("settings") else {
        return Err(Error::Usage {
            reason: "option --settings FILE is missing; try --help".to_owned(),
        });
    };
    let check = matches.opt_present("check");
    Ok(CommandLineAction::Run(Options {
        settings: settings.into(),
        check,
        verbose: matches.opt_present("verbose"),
    }))
}
