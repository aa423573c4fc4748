//! A single exchange request to a neighbour and its reply.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::generated as wire;
use super::plain_client::QueryError;
use super::pool::Pool;

/// The path of exchange requests.
pub(super) const EXCHANGE_PATH: &str = "/exchange";
/// Timeout of a request whose reply contains documents.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a request without documents. A neighbour is marked silent after
/// three failures in four seconds.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeError(pub Box<str>);

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Sends a request to the daemon at `address`, as a plain request because a
/// stream costs twice as much, or over a stream if its version does not support
/// plain requests.
pub(super) async fn query(
    pool: &Pool,
    address: SocketAddr,
    request: wire::ExchangeRequest,
) -> Result<wire::ExchangeReply, ExchangeError> {
    let timeout = if request.want.is_empty() {
        SHORT_TIMEOUT
    } else {
        EXCHANGE_TIMEOUT
    };
    match tokio::time::timeout(timeout, query_either(pool, address, request)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(cause)) => {
            pool.replace(address);
            Err(ExchangeError(cause))
        }
        Err(_) => {
            pool.replace(address);
            Err(ExchangeError("no answer in time".into()))
        }
    }
}

async fn query_either(
    pool: &Pool,
    address: SocketAddr,
    request: wire::ExchangeRequest,
) -> Result<wire::ExchangeReply, Box<str>> {
    match pool.plain(address).query(EXCHANGE_PATH, &request).await {
        Ok(reply) => return Ok(reply),
        Err(QueryError::Unknown) => {}
        Err(QueryError::Failed(cause)) => return Err(cause),
    }
    let mut client = pool.client(address).ok_or("the address is invalid")?;
    match client.exchange(request).await {
        Ok(answer) => Ok(answer.into_inner()),
        Err(status) => Err(status.message().into()),
    }
}
