//! What is wrong with a settings file, so said that an operator can mend it.

use std::{fmt, path};

use derive_more::Error;

/// One thing wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: path::PathBuf,
    /// The line, from 1, or none if the problem is the file as a whole.
    pub line: Option<usize>,
    /// The key, with dots between tables, or empty if the problem is the file as a whole.
    pub key: String,
    /// What is wrong and what to do.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": `{}`", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// Everything wrong with the settings of one process, in the order of file and line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Problems {
    /// At least one.
    #[error(not(source))]
    pub list: Vec<Problem>,
}

impl Problems {
    /// `value` if there is no problem, else the problems in order.
    pub(super) fn or<T>(mut list: Vec<Problem>, value: T) -> Result<T, Self> {
        if list.is_empty() {
            return Ok(value);
        }
        list.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
        Err(Self { list })
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.list.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
