//! The operators' interface, and announcements of the own backend server.

mod apply;
mod message;
mod page;
mod server;

pub use apply::apply;
pub use message::{
    Announce, ApplyRequest, ApplyResult, ConfigAnswer, HistoryEntry, MemberLine, StatusAnswer,
    TicketAnswer, TopAnswer,
};
pub use server::{Operator, serve_operators};
