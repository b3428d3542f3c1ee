//! Options that all commands share.

use getopts::{Matches, Options};
use serde::{Deserialize, Serialize};

use super::{Client, Entries, Error, Output, Result};

/// Environment variable with the comma-separated base URLs of the entries.
const ENTRIES_VARIABLE: &str = "TEASELHALL_ENTRIES";

/// Content of the settings file of the command line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CommandSettings {
    /// Base URLs of the entries.
    entries: Vec<String>,
}

/// Parsed options of one command.
pub struct Context {
    /// Options and free arguments of the command.
    pub matches: Matches,
    /// Whether the output is JSON.
    pub json: bool,
}

impl Context {
    /// Parses the options of a command, or returns its help text.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] for unknown options or a wrong number of free arguments.
    pub fn parse(
        usage: &str,
        arguments: &[&str],
        mut options: Options,
        free: std::ops::RangeInclusive<usize>,
    ) -> Result<std::result::Result<Self, Output>> {
        options.optopt("", "entries", "entries to try in turn", "URL,URL");
        options.optopt("", "settings", "JSON settings file", "FILE");
        options.optflag("", "json", "print JSON");
        options.optflag("v", "verbose", "log calls to standard error");
        options.optflag("h", "help", "print this help");
        let failed = |error: getopts::Fail| Error::Usage { reason: format!("{error}; try --help") };
        let matches = options.parse(arguments).map_err(failed)?;
        if matches.opt_present("help") {
            return Ok(Err(Output::done(
                options.usage(&format!("Usage: teaselhall {usage}")).trim_end(),
            )));
        }
        if !free.contains(&matches.free.len()) {
            return Err(Error::Usage { reason: format!("usage: teaselhall {usage}") });
        }
        if matches.opt_present("verbose") {
            // The command also runs if the logger cannot be started, for instance because one is already active.
            let _ = crate::process::start_logger(true).map(std::mem::forget);
        }
        let json = matches.opt_present("json");
        Ok(Ok(Self { matches, json }))
    }

    /// Returns a client of the entries that the options, the settings file or the environment name.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if no entry is given or the settings file is invalid.
    pub fn client(&self) -> Result<Client> {
        Ok(Client::new(self.entries()?))
    }

    fn entries(&self) -> Result<Entries> {
        if let Some(list) = self.matches.opt_str("entries") {
            return Entries::parse(list.split(','));
        }
        if let Some(path) = self.matches.opt_str("settings") {
            let failed =
                |error: &dyn std::fmt::Display| Error::Usage { reason: format!("{path}: {error}") };
            let text = std::fs::read_to_string(&path).map_err(|error| failed(&error))?;
            let settings: CommandSettings =
                serde_json::from_str(&text).map_err(|error| failed(&error))?;
            return Entries::parse(settings.entries.iter().map(String::as_str));
        }
        match std::env::var(ENTRIES_VARIABLE) {
            Ok(list) => Entries::parse(list.split(',')),
            Err(_) => {
                let reason =
                    format!("no entries: give --entries or --settings, or set {ENTRIES_VARIABLE}");
                Err(Error::Usage { reason })
            }
        }
    }

    /// Returns the value of a required option.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] with the name of the option if it is missing.
    pub fn required(&self, name: &str) -> Result<String> {
        let missing = || Error::Usage { reason: format!("option --{name} is missing; try --help") };
        self.matches.opt_str(name).ok_or_else(missing)
    }

    /// Returns a free argument by its index. [`Context::parse`] has checked that it is present.
    pub fn argument(&self, index: usize) -> &str {
        self.matches.free.get(index).map_or("", String::as_str)
    }
}

/// Parses the value of an option as a 64-bit whole number.
///
/// # Errors
///
/// [`Error::Usage`] with the name of the option and its value.
pub fn parse_u64(name: &str, text: &str) -> Result<u64> {
    text.parse().map_err(|_| Error::Usage {
        reason: format!("option --{name} must be a whole number, not {text:?}"),
    })
}

/// Parses the value of an option as a 32-bit whole number.
///
/// # Errors
///
/// [`Error::Usage`] with the name of the option and its value.
pub fn parse_u32(name: &str, text: &str) -> Result<u32> {
    let too_large = |_| Error::Usage { reason: format!("option --{name} is too large: {text}") };
    parse_u64(name, text)?.try_into().map_err(too_large)
}
