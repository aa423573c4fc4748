//! The error type of settings, declarations and operators' commands.

use std::fmt;
use std::path::Path;

/// An error whose message tells the user what to do.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// An input file is invalid at a known line.
    Input {
        /// The file that was read.
        file: Box<str>,
        /// The line, counted from 1; 0 for the whole file.
        line: u64,
        /// The error and its correction.
        message: Box<str>,
    },
    /// A text is not a valid value of its kind.
    Value {
        /// The kind of value that was expected.
        kind: &'static str,
        /// The error and its correction.
        message: Box<str>,
    },
    /// A file or socket could not be used.
    Io {
        /// The action that failed.
        action: Box<str>,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A remote system refused a request or could not be reached.
    Remote(Box<str>),
}

impl Error {
    /// Creates an error in `file` at `line`.
    pub fn input(file: &Path, line: u64, message: impl Into<Box<str>>) -> Self {
        Self::Input {
            file: file.display().to_string().into(),
            line,
            message: message.into(),
        }
    }

    /// Creates an error for a text that is not a valid `kind`.
    pub fn value(kind: &'static str, message: impl Into<Box<str>>) -> Self {
        Self::Value {
            kind,
            message: message.into(),
        }
    }

    /// Creates an error for an `action` that the operating system failed.
    pub fn io(action: impl Into<Box<str>>, source: std::io::Error) -> Self {
        Self::Io {
            action: action.into(),
            source,
        }
    }

    /// Creates an error for a refusal or failure of a remote system.
    pub fn remote(message: impl Into<Box<str>>) -> Self {
        Self::Remote(message.into())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Input {
                file,
                line: 0,
                message,
            } => write!(f, "{file}: {message}"),
            Self::Input {
                file,
                line,
                message,
            } => write!(f, "{file}:{line}: {message}"),
            Self::Value { kind, message } => write!(f, "not a valid {kind}: {message}"),
            Self::Io { action, source } => write!(f, "cannot {action}: {source}"),
            Self::Remote(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}

/// A result with the package's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
