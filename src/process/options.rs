//! The command line that all long-running programs share.

use std::path::PathBuf;

use super::{Error, Result};

/// The options of a long-running program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The settings file.
    pub settings: PathBuf,
    /// Only check the settings.
    pub check: bool,
    /// Log more.
    pub verbose: bool,
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// Print a text and end.
    Print(String),
    /// Run with these options.
    Run(Options),
}

/// Parses the command line of a long-running program.
///
/// # Errors
///
/// [`Error::Usage`] for an unknown option, a missing settings file or a free argument.
pub fn parse<A>(program: &str, arguments: A) -> Result<Parsed>
where
    A: IntoIterator<Item = String>,
{
    let mut options = getopts::Options::new();
    options.optopt("s", "settings", "JSON settings file", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("v", "verbose", "log more");
    options.optflag("h", "help", "print this help");
    options.optflag("", "version", "print the version");
    let usage = |error: getopts::Fail| Error::Usage { reason: format!("{error}; try --help") };
    let matches = options.parse(arguments).map_err(usage)?;
    if matches.opt_present("help") {
        return Ok(Parsed::Print(
            options.usage(&format!("Usage: {program} --settings FILE [options]")),
        ));
    }
    if matches.opt_present("version") {
        return Ok(Parsed::Print(format!("{program} {}", env!("CARGO_PKG_VERSION"))));
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
    Ok(Parsed::Run(Options {
        settings: settings.into(),
        check,
        verbose: matches.opt_present("verbose"),
    }))
}
