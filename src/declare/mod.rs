//! Declarations kept in version control: inventory and rules.

mod check;
mod diff;
mod document;
mod estate;
mod inventory;
mod load;
mod manifest;
mod route;
mod rules;
mod source;

pub use diff::{DocumentChange, diff};
pub use document::{Document, DocumentName, Hash, join, split};
pub use estate::{Caller, Centre, Class, Estate, Once, Placement, Service, Work};
pub use load::load;
pub use manifest::Manifest;
pub use route::{Route, Share};
pub use source::{Errors, parse, read};
