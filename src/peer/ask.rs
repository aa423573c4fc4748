//! One question to a neighbour, and its answer.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::generated as wire;
use super::pool::Pool;

/// How long a neighbour may take to answer.
pub(super) const TIMEOUT: Duration = Duration::from_secs(2);

/// Why an exchange gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeError(pub Box<str>);

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Asks the daemon at `address` over the standing connection.
pub(super) async fn ask(
    pool: &Pool,
    address: SocketAddr,
    request: wire::ExchangeRequest,
) -> Result<wire::ExchangeReply, ExchangeError> {
    let mut client = pool
        .get(address)
        .ok_or_else(|| ExchangeError("no valid address".into()))?;
    match tokio::time::timeout(TIMEOUT, client.exchange(request)).await {
        Ok(Ok(answer)) => Ok(answer.into_inner()),
        Ok(Err(status)) => {
            pool.replace(address);
            Err(ExchangeError(status.message().into()))
        }
        Err(_) => {
            pool.replace(address);
            Err(ExchangeError("no answer in time".into()))
        }
    }
}
