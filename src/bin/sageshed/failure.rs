//! How a command ends other than well, and what is printed.

use std::{
    io::{self, Write},
    process,
};

use derive_more::Display;
use sageshed_operators::client;

/// Why a command did not do what was asked.
#[derive(Debug, Display)]
pub(crate) enum Failure {
    /// Refused, for this reason.
    #[display("error: {_0}")]
    Refused(String),
    /// The command line is wrong.
    #[display("error: {_0}")]
    Usage(String),
    /// No control process can be reached, or the outcome is not known.
    #[display("error: {_0}")]
    Unknown(String),
    /// The problems of files, one on a line, each with its place.
    #[display("{_0}")]
    Problems(String),
    /// Whoever reads standard output has gone; there is nobody to tell.
    #[display("error: standard output is closed")]
    Closed,
}

impl Failure {
    /// The status for the shell.
    pub fn exit_code(&self) -> process::ExitCode {
        process::ExitCode::from(match self {
            Self::Refused(_) | Self::Problems(_) | Self::Closed => 1,
            Self::Usage(_) => 2,
            Self::Unknown(_) => 3,
        })
    }
}

impl From<client::Error> for Failure {
    fn from(error: client::Error) -> Self {
        match error {
            client::Error::Refused(_) => Self::Refused(error.to_string()),
            client::Error::Unreachable { .. } => Self::Unknown(format!(
                "{error}\ncheck the addresses in --control and that the control processes run"
            )),
            client::Error::Unknown { .. } | client::Error::Garbled { .. } => {
                Self::Unknown(error.to_string())
            }
        }
    }
}

/// Prints to standard output. A reader that has gone, as with `sageshed status | head`, ends the
/// command without a panic.
pub(crate) fn print(text: &str) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match written {
        Ok(()) => Ok(()),
        Err(_closed) => Err(Failure::Closed),
    }
}

/// Prints a value as JSON on one line.
pub(crate) fn print_json<T: serde::Serialize>(value: &T) -> Result<(), Failure> {
    let text = serde_json::to_string(value)
        .map_err(|e| Failure::Refused(format!("the answer can't be shown as JSON: {e}")))?;
    print(&format!("{text}\n"))
}
