//! The operators' interface, and announcements of the own backend server.

mod apply;
mod message;
mod page;
mod server;

pub use apply::apply;
pub use message::{
    AnnounceRequest, ApplyRequest, ApplyResult, ConfigAnswer, HistoryEntry, MemberStatus,
    StatusAnswer, TicketAnswer, TopAnswer,
};
pub use server::{OperatorService, serve_operators};
