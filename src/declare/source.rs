//! Reading of YAML files with the place of each mistake.

use std::fmt;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_saphyr::{Location, Spanned};

use crate::error::Error;

/// Largest file that is read, in bytes.
const MAX_FILE: u64 = 16 * 1024 * 1024;

/// All mistakes found in one go.
#[derive(Debug, Default)]
pub struct Errors(Vec<Error>);

impl Errors {
    /// Adds a mistake in `file` at the place of `value`.
    pub fn push_at<T>(&mut self, file: &Path, value: &Spanned<T>, message: impl Into<Box<str>>) {
        let line = line_of(Some(value.referenced));
        self.0.push(Error::input(file, line, message));
    }

    /// Adds a mistake.
    pub fn push(&mut self, error: Error) {
        self.0.push(error);
    }

    /// Returns the mistakes.
    pub fn iter(&self) -> impl Iterator<Item = &Error> {
        self.0.iter()
    }

    /// Returns `value` if there are no mistakes.
    ///
    /// # Errors
    ///
    /// Returns the mistakes, if there are any.
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
        for (place, error) in self.0.iter().enumerate() {
            if place > 0 {
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
/// Fails if the file cannot be read, is no UTF-8 or is no valid `T`.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let action = || format!("read {}", path.display());
    let meta = std::fs::metadata(path).map_err(|e| Error::io(action(), e))?;
    if meta.len() > MAX_FILE {
        return Err(Error::input(path, 0, "the file is larger than 16 MiB"));
    }
    let bytes = std::fs::read(path).map_err(|e| Error::io(action(), e))?;
    parse(path, &bytes)
}

/// Parses the content of a YAML file; `path` is named in mistakes.
///
/// # Errors
///
/// Fails if the content is no UTF-8 or is no valid `T`.
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
