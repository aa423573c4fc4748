//! Rows in the format of the platform's store.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::store::{Condition, Revision, Row, RowChange};

/// Separates table and key in the product's row names.
const SEPARATOR: char = '/';

/// The name of a row in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RowName {
    #[serde(rename = "tableName")]
    pub(super) table: Box<str>,
    /// The shard of the table; the product uses a single one.
    #[serde(default)]
    pub(super) part: Box<str>,
    pub(super) key: Box<str>,
}

impl RowName {
    /// Parses a row name of the product, `TABLE/KEY`.
    pub(super) fn parse(name: &str) -> Self {
        let (table, key) = name.split_once(SEPARATOR).unwrap_or((name, ""));
        Self {
            table: table.into(),
            part: Box::default(),
            key: key.into(),
        }
    }

    fn to_text(&self) -> Box<str> {
        format!("{}{SEPARATOR}{}", self.table, self.key).into()
    }
}

/// A row in an answer of the store, possibly deleted.
#[derive(Debug, Deserialize)]
pub(super) struct FoundRow {
    #[serde(flatten)]
    name: RowName,
    /// The content in base64; other writers than this product may store any
    /// JSON value.
    #[serde(default)]
    value: Option<Value>,
    /// The version of the row, from a counter that all rows share.
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    deleted: bool,
}

impl FoundRow {
    /// Parses a row; one without a valid name or version is logged and skipped, so
    /// that it does not hide the others.
    fn read(found: &Value) -> Option<Self> {
        let read = Self::deserialize(found);
        if let Err(e) = &read {
            spdlog::warn!("invalid row", kv: { cause = e.to_string().as_str() });
        }
        read.ok()
    }

    /// Returns the row, unless it is deleted. Content that cannot be decoded counts
    /// as empty, so that the row can be overwritten.
    pub(super) fn row(&self) -> Option<Row> {
        if self.deleted {
            return None;
        }
        let value = self.value.as_ref()?;
        let content = value.as_str().and_then(|text| STANDARD.decode(text).ok());
        let key = self.name.to_text();
        if content.is_none() {
            spdlog::warn!("invalid content of a row", kv: { key = &*key });
        }
        Some(Row {
            key,
            revision: Revision(self.ver),
            content: Bytes::from(content.unwrap_or_default()),
        })
    }

    /// Returns the change of the row.
    pub(super) fn change(&self) -> RowChange {
        RowChange {
            key: self.name.to_text(),
            row: self.row(),
        }
    }
}

/// A page of rows in an answer of the store.
#[derive(Debug, Deserialize)]
pub(super) struct RowPage {
    #[serde(default)]
    rows: Vec<Value>,
    #[serde(rename = "morePages", default)]
    pub(super) more: bool,
    /// The latest version in the store.
    #[serde(default)]
    pub(super) ver: u64,
}

impl RowPage {
    /// Returns the rows that can be parsed.
    pub(super) fn found(&self) -> impl Iterator<Item = FoundRow> {
        self.rows.iter().filter_map(FoundRow::read)
    }

    /// Returns the greatest key that can be parsed.
    pub(super) fn last_key(&self) -> Option<&str> {
        let mut keys = self.rows.iter().rev().map(|row| row.get("key"));
        keys.find_map(|key| key?.as_str())
    }

    /// Returns the rows that are not deleted.
    pub(super) fn rows(&self) -> Vec<Row> {
        self.found().filter_map(|found| found.row()).collect()
    }
}

/// A row and its expected version; 0 if it must not exist.
#[derive(Debug, Serialize)]
struct ExpectedVersion {
    #[serde(flatten)]
    name: RowName,
    ver: u64,
}

#[derive(Debug, Serialize)]
struct PutRow {
    #[serde(flatten)]
    name: RowName,
    value: String,
}

/// A transaction on one row.
#[derive(Debug, Serialize)]
pub(super) struct Transaction {
    #[serde(rename = "expectRev")]
    expected: Vec<ExpectedVersion>,
    puts: Vec<PutRow>,
    remove: Vec<RowName>,
}

impl Transaction {
    /// Makes a conditional write of a row.
    pub(super) fn write(name: RowName, condition: Condition, content: &[u8]) -> Self {
        let ver = match condition {
            Condition::Absent => 0,
            Condition::Revision(revision) => revision.0,
        };
        Self {
            expected: vec![ExpectedVersion {
                name: name.clone(),
                ver,
            }],
            puts: vec![PutRow {
                name,
                value: STANDARD.encode(content),
            }],
            remove: Vec::new(),
        }
    }

    /// Makes a removal of a row if it has this revision.
    pub(super) fn remove(name: RowName, revision: Revision) -> Self {
        Self {
            expected: vec![ExpectedVersion {
                name: name.clone(),
                ver: revision.0,
            }],
            puts: Vec::new(),
            remove: vec![name],
        }
    }
}
