//! Restrictions on running a suspected request.

use std::time::Duration;

/// How backend servers may run a request, by the crashes that its fingerprint is
/// suspected of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRestriction {
    /// It is not suspected.
    Unrestricted,
    /// It was in flight at one crash: a server runs few such requests at a time,
    /// so that the next crash leaves few suspects.
    FewAtOnce,
    /// It was in flight at several crashes: a server runs one such request at a
    /// time, so that the next crash shows whether it is the cause.
    OneAtOnce,
    /// No server runs it until this time has passed.
    Quarantined(Duration),
}
