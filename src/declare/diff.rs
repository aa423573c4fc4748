//! Differences between two configurations.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;

use super::{Document, DocumentName};

/// One difference, by document and field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentChange {
    /// The document.
    pub document: DocumentName,
    /// The dotted path of the field; empty for the whole document.
    pub field: Box<str>,
    /// The old value in JSON.
    pub before: Option<Box<str>>,
    /// The new value in JSON.
    pub after: Option<Box<str>>,
}

impl fmt::Display for DocumentChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let dot = if self.field.is_empty() { "" } else { "." };
        let path = format!("{}{dot}{}", self.document, self.field);
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {path}: {after}"),
            (Some(before), None) => write!(f, "- {path}: {before}"),
            (before, after) => write!(
                f,
                "~ {path}: {} -> {}",
                before.as_deref().unwrap_or("nothing"),
                after.as_deref().unwrap_or("nothing")
            ),
        }
    }
}

/// Returns the differences between two sets of documents.
pub fn diff(before: &[Document], after: &[Document]) -> Vec<DocumentChange> {
    let old = index_by_name(before);
    let new = index_by_name(after);
    let mut changes = Vec::new();
    for (name, document) in &old {
        let old_value = value(document);
        let new_value = new.get(name).map(|d| value(d));
        compare(name, "", Some(&old_value), new_value.as_ref(), &mut changes);
    }
    for (name, document) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        compare(name, "", None, Some(&value(document)), &mut changes);
    }
    changes
}

fn index_by_name(documents: &[Document]) -> BTreeMap<&DocumentName, &Document> {
    documents.iter().map(|d| (&d.name, d)).collect()
}

fn value(document: &Document) -> Value {
    serde_json::from_str(&document.content).unwrap_or(Value::Null)
}

fn compare(
    document: &DocumentName,
    field: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<DocumentChange>,
) {
    if before == after {
        return;
    }
    match (before, after) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
            keys.sort();
            keys.dedup();
            for key in keys {
                compare(
                    document,
                    &join_path(field, key),
                    old.get(key),
                    new.get(key),
                    changes,
                );
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) => {
            for index in 0..old.len().max(new.len()) {
                let key = index.to_string();
                compare(
                    document,
                    &join_path(field, &key),
                    old.get(index),
                    new.get(index),
                    changes,
                );
            }
        }
        _ => changes.push(DocumentChange {
            document: document.clone(),
            field: field.into(),
            before: before.map(|v| v.to_string().into()),
            after: after.map(|v| v.to_string().into()),
        }),
    }
}

fn join_path(field: &str, key: &str) -> String {
    if field.is_empty() {
        key.to_owned()
    } else {
        format!("{field}.{key}")
    }
}
