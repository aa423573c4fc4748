//! The word by which an entry lets a guard start a call.

use futures_util::future::BoxFuture;

/// Asks the entry, once a slot is free, whether the call is to start.
///
/// An entry that sent a call which must not run twice has said nothing yet by
/// sending it: it can give the call up and try it elsewhere until it answers
/// this question. So a connection that is lost or silent before then leaves
/// the call provably not run.
pub struct StartConfirmation(Box<dyn FnOnce() -> BoxFuture<'static, bool> + Send>);

impl StartConfirmation {
    /// Makes the question of what asks it.
    pub fn new(ask: impl FnOnce() -> BoxFuture<'static, bool> + Send + 'static) -> Self {
        Self(Box::new(ask))
    }

    /// Asks; resolves to whether the call is to start.
    pub async fn request(self) -> bool {
        (self.0)().await
    }
}

impl std::fmt::Debug for StartConfirmation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StartConfirmation")
    }
}
