//! Reading of YAML files with the location of each error.

use std::fmt;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_saphyr::{Location, Spanned};

use crate::error::Error;

/// Maximum size of a file.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// The errors found in one pass over the files.
#[derive(Debug, Default)]
pub struct Errors(Vec<Error>);

impl Errors {
    /// Adds an error in `file` at the location of `value`.
    pub fn push_at<T>(&mut self, file: &Path, value: &Spanned<T>, message: impl Into<Box<str>>) {
        let line = line_of(Some(value.referenced));
        self.0.push(Error::input(file, line, message));
    }

    /// Adds an error.
    pub fn push(&mut self, error: Error) {
        self.0.push(error);
    }

    /// Returns the errors.
    pub fn iter(&self) -> impl Iterator<Item = &Error> {
        self.0.iter()
    }

    /// Returns `value` if no error was added.
    ///
    /// # Errors
    ///
    /// Returns the errors otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl From<Error> for Errors {
    fn from(error: Error) -> Self {
        Self(vec![error])
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}

/// Reads a YAML file.
///
/// # Errors
///
/// Fails if the file cannot be read, is not UTF-8 or is not a valid `T`.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let action = || format!("read {}", path.display());
    let meta = std::fs::metadata(path).map_err(|e| Error::io(action(), e))?;
    if meta.len() > MAX_FILE_BYTES {
        return Err(Error::input(path, 0, "the file is larger than 16 MiB"));
    }
    let bytes = std::fs::read(path).map_err(|e| Error::io(action(), e))?;
    parse(path, &bytes)
}

/// Parses the content of a YAML file; errors name `path`.
///
/// # Errors
///
/// Fails if the content is not UTF-8 or not a valid `T`.
pub fn parse<T: DeserializeOwned>(path: &Path, bytes: &[u8]) -> Result<T, Error> {
    let text = std::str::from_utf8(bytes).map_err(|e| {
        let before = &bytes[..e.valid_up_to()];
        let line = 1 + before.iter().filter(|b| **b == b'\n').count() as u64;
        Error::input(path, line, "the file must be UTF-8; save it as UTF-8")
    })?;
    serde_saphyr::from_str(text).map_err(|e| {
        let line = line_of(e.location());
        let message = e.without_snippet().to_string();
        Error::input(path, line, message)
    })
}

fn line_of(location: Option<Location>) -> u64 {
    location.map_or(0, |location| location.line())
}
