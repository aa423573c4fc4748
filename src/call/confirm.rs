//! Confirmation by the entry that a guard may start a call.

use futures_util::future::BoxFuture;

/// Asks the entry, once a slot is free, whether to start the call.
///
/// Until the entry confirms a call that must not run twice, it can give up on it
/// and try elsewhere. So if the connection is lost or silent before then, the
/// call has provably not run.
pub struct StartConfirmation(Box<dyn FnOnce() -> BoxFuture<'static, bool> + Send>);

impl StartConfirmation {
    /// Creates a confirmation from the function that asks the entry.
    pub fn new(ask: impl FnOnce() -> BoxFuture<'static, bool> + Send + 'static) -> Self {
        Self(Box::new(ask))
    }

    /// Asks the entry and returns whether to start the call.
    pub async fn request(self) -> bool {
        (self.0)().await
    }
}

impl std::fmt::Debug for StartConfirmation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StartConfirmation")
    }
}
