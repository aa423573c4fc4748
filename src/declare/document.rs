//! The estate cut into documents, so that one change moves one of them.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{Caller, Centre, Class, Estate, OnceSettings, Service, Workspace, Workspaces};
use crate::error::Error;
use crate::model::ServiceName;

/// The SHA-256 of a content, in hex.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Hash(Box<str>);

impl Hash {
    /// Computes the hash of a content.
    pub fn of(content: &[u8]) -> Self {
        let digest = Sha256::digest(content);
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(hex.into())
    }

    /// Takes a hash as it stands in a message.
    pub fn from_text(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the hash in hex.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// The name of a document: `centres`, `classes`, `routes`, `workspaces` or
/// `service/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DocumentName(Box<str>);

impl DocumentName {
    const CENTRES: &'static str = "centres";
    const CLASSES: &'static str = "classes";
    const ROUTES: &'static str = "routes";
    const WORKSPACES: &'static str = "workspaces";
    const SERVICE: &'static str = "service/";

    /// Takes a name as it stands in a message.
    pub fn from_text(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    fn of_service(name: &ServiceName) -> Self {
        Self(format!("{}{name}", Self::SERVICE).into())
    }
}

impl fmt::Display for DocumentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// One part of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its name.
    pub name: DocumentName,
    /// Its content in JSON.
    pub content: Box<str>,
}

impl Document {
    /// Returns the hash of the content.
    pub fn hash(&self) -> Hash {
        Hash::of(self.content.as_bytes())
    }

    fn encode<T: Serialize>(name: DocumentName, value: &T) -> Self {
        let content = serde_json::to_string(value).unwrap_or_default().into();
        Self { name, content }
    }

    fn decode<'a, T: Deserialize<'a>>(&'a self) -> Result<T, Error> {
        serde_json::from_str(&self.content)
            .map_err(|e| Error::value("configuration document", format!("{}: {e}", self.name)))
    }
}

#[derive(Serialize, Deserialize)]
struct Classes {
    classes: Vec<Class>,
    callers: Vec<Caller>,
    once: OnceSettings,
}

/// Cuts an estate into documents.
pub fn split(estate: &Estate) -> Vec<Document> {
    let centres = DocumentName::from_text(DocumentName::CENTRES);
    let classes = DocumentName::from_text(DocumentName::CLASSES);
    let rules = Classes {
        classes: estate.classes.clone(),
        callers: estate.callers.clone(),
        once: estate.once,
    };
    let mut documents = vec![
        Document::encode(centres, &estate.centres),
        Document::encode(classes, &rules),
    ];
    if !estate.routes.is_empty() {
        let name = DocumentName::from_text(DocumentName::ROUTES);
        documents.push(Document::encode(name, &estate.routes));
    }
    if let Some(workspaces) = &estate.workspaces {
        let name = DocumentName::from_text(DocumentName::WORKSPACES);
        documents.push(Document::encode(name, &workspaces.all()));
    }
    for service in estate.services.values() {
        let name = DocumentName::of_service(&service.name);
        documents.push(Document::encode(name, service));
    }
    documents
}

/// Makes an estate of its documents.
///
/// # Errors
///
/// Fails if a document is missing, unknown or unreadable.
pub fn join<'a>(documents: impl IntoIterator<Item = &'a Document>) -> Result<Estate, Error> {
    let mut centres: Option<Vec<Centre>> = None;
    let mut rules: Option<Classes> = None;
    let mut routes = Vec::new();
    let mut workspaces: Option<Vec<Workspace>> = None;
    let mut services = BTreeMap::new();
    for document in documents {
        match document.name.as_str() {
            DocumentName::CENTRES => centres = Some(document.decode()?),
            DocumentName::CLASSES => rules = Some(document.decode()?),
            DocumentName::ROUTES => routes = document.decode()?,
            DocumentName::WORKSPACES => workspaces = Some(document.decode()?),
            name if name.starts_with(DocumentName::SERVICE) => {
                let service: Service = document.decode()?;
                services.insert(service.name.clone(), service);
            }
            name => {
                let message = format!("\"{name}\" is not known");
                return Err(Error::value("configuration document", message));
            }
        }
    }
    let missing =
        |name: &str| Error::value("configuration", format!("document \"{name}\" is missing"));
    let centres = centres.ok_or_else(|| missing(DocumentName::CENTRES))?;
    let rules = rules.ok_or_else(|| missing(DocumentName::CLASSES))?;
    if rules.classes.is_empty() {
        return Err(Error::value("configuration", "it has no class"));
    }
    Ok(Estate {
        centres,
        services,
        classes: rules.classes,
        routes,
        callers: rules.callers,
        workspaces: workspaces.map(Workspaces::new),
        once: rules.once,
    })
}
