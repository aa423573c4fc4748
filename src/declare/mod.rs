//! Declarations kept in version control: inventory and rules.

mod check;
mod check_inventory;
mod check_rules;
mod check_workspaces;
mod diff;
mod document;
mod estate;
mod inventory;
mod load;
mod manifest;
mod route;
mod rules;
mod source;
mod workspace;

pub use diff::{DocumentChange, diff};
pub use document::{Document, DocumentName, Hash, join, split};
pub use estate::{Caller, Centre, Class, Estate, OnceSettings, Placement, Service, WorkRule};
pub use load::load;
pub use manifest::Manifest;
pub use route::{Route, Share};
pub use source::{Errors, parse, read};
pub use workspace::{RateLimit, Workspace, Workspaces};
