//! Rows as the platform's store writes them.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::store::{Condition, Revision, Row, RowChange};

/// Separates table and key in the product's names of rows.
const SEPARATOR: char = '/';

/// The name of a row in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Name {
    #[serde(rename = "tableName")]
    pub(super) table: Box<str>,
    /// The shard of the table; the product uses one only.
    #[serde(default)]
    pub(super) part: Box<str>,
    pub(super) key: Box<str>,
}

impl Name {
    /// Reads a name of the product, `TABLE/KEY`.
    pub(super) fn of(name: &str) -> Self {
        let (table, key) = name.split_once(SEPARATOR).unwrap_or((name, ""));
        Self {
            table: table.into(),
            part: Box::default(),
            key: key.into(),
        }
    }

    fn text(&self) -> Box<str> {
        format!("{}{SEPARATOR}{}", self.table, self.key).into()
    }
}

/// A row in an answer of the store.
#[derive(Debug, Deserialize)]
pub(super) struct Found {
    #[serde(flatten)]
    name: Name,
    /// The content in base64.
    #[serde(default)]
    value: Option<Box<str>>,
    /// The version of the row, from the store's single counter.
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    deleted: bool,
}

impl Found {
    /// Returns the row, unless it is gone.
    pub(super) fn row(&self) -> Result<Option<Row>, Box<str>> {
        let Some(value) = self.value.as_ref().filter(|_| !self.deleted) else {
            return Ok(None);
        };
        let content = STANDARD
            .decode(value.as_bytes())
            .map_err(|e| format!("content of {}: {e}", self.name.text()))?;
        Ok(Some(Row {
            key: self.name.text(),
            revision: Revision(self.ver),
            content: Bytes::from(content),
        }))
    }

    /// Returns what the row has become.
    pub(super) fn change(&self) -> Result<RowChange, Box<str>> {
        Ok(RowChange {
            key: self.name.text(),
            row: self.row()?,
        })
    }
}

/// An answer of the store with rows.
#[derive(Debug, Deserialize)]
pub(super) struct Page {
    #[serde(default)]
    pub(super) rows: Vec<Found>,
    #[serde(rename = "morePages", default)]
    pub(super) more: bool,
    /// The newest version of the store.
    #[serde(default)]
    pub(super) ver: u64,
}

/// A row and the version that it must have; 0 if it must not exist.
#[derive(Debug, Serialize)]
struct Expected {
    #[serde(flatten)]
    name: Name,
    ver: u64,
}

#[derive(Debug, Serialize)]
struct Written {
    #[serde(flatten)]
    name: Name,
    value: String,
}

/// A transaction on one row.
#[derive(Debug, Serialize)]
pub(super) struct Transaction {
    #[serde(rename = "expectRev")]
    expected: Vec<Expected>,
    puts: Vec<Written>,
    remove: Vec<Name>,
}

impl Transaction {
    /// Writes a row under a condition.
    pub(super) fn write(name: Name, condition: Condition, content: &[u8]) -> Self {
        let ver = match condition {
            Condition::Absent => 0,
            Condition::Revision(revision) => revision.0,
        };
        Self {
            expected: vec![Expected {
                name: name.clone(),
                ver,
            }],
            puts: vec![Written {
                name,
                value: STANDARD.encode(content),
            }],
            remove: Vec::new(),
        }
    }

    /// Removes a row that has this revision.
    pub(super) fn remove(name: Name, revision: Revision) -> Self {
        Self {
            expected: vec![Expected {
                name: name.clone(),
                ver: revision.0,
            }],
            puts: Vec::new(),
            remove: vec![name],
        }
    }
}
