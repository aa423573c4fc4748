//! Rows as the platform's store writes them.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

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
    /// The content in base64; a writer other than this product may put
    /// anything here.
    #[serde(default)]
    value: Option<Value>,
    /// The version of the row, from the store's single counter.
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    deleted: bool,
}

impl Found {
    /// Reads a row; one that has no name or version is logged and passed over,
    /// so that it does not hide the others.
    fn read(found: &Value) -> Option<Self> {
        let read = Self::deserialize(found);
        if let Err(e) = &read {
            spdlog::warn!("row not understood", kv: { cause = e.to_string().as_str() });
        }
        read.ok()
    }

    /// Returns the row, unless it is gone. A content that cannot be read is
    /// taken as empty: it says nothing, and can be written over.
    pub(super) fn row(&self) -> Option<Row> {
        if self.deleted {
            return None;
        }
        let value = self.value.as_ref()?;
        let content = value.as_str().and_then(|text| STANDARD.decode(text).ok());
        let key = self.name.text();
        if content.is_none() {
            spdlog::warn!("content of a row not understood", kv: { key = &*key });
        }
        Some(Row {
            key,
            revision: Revision(self.ver),
            content: Bytes::from(content.unwrap_or_default()),
        })
    }

    /// Returns what the row has become.
    pub(super) fn change(&self) -> RowChange {
        RowChange {
            key: self.name.text(),
            row: self.row(),
        }
    }
}

/// An answer of the store with rows.
#[derive(Debug, Deserialize)]
pub(super) struct Page {
    #[serde(default)]
    rows: Vec<Value>,
    #[serde(rename = "morePages", default)]
    pub(super) more: bool,
    /// The newest version of the store.
    #[serde(default)]
    pub(super) ver: u64,
}

impl Page {
    /// Returns the rows that can be read.
    pub(super) fn found(&self) -> impl Iterator<Item = Found> {
        self.rows.iter().filter_map(Found::read)
    }

    /// Returns the greatest key that can be read.
    pub(super) fn last_key(&self) -> Option<&str> {
        let mut keys = self.rows.iter().rev().map(|row| row.get("key"));
        keys.find_map(|key| key?.as_str())
    }

    /// Returns the rows that are there.
    pub(super) fn rows(&self) -> Vec<Row> {
        self.found().filter_map(|found| found.row()).collect()
    }
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
