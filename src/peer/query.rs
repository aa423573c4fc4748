//! One question to a neighbour, and its answer.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::generated as wire;
use super::plain_client::QueryError;
use super::pool::Pool;

/// The path of questions for news.
pub(super) const EXCHANGE_PATH: &str = "/exchange";
/// How long a neighbour may take to answer, and to send documents.
pub(super) const TIMEOUT: Duration = Duration::from_secs(2);
/// How long it may take to answer where it has nothing large to send. One that
/// is called silent has failed three times in four seconds.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an exchange gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeError(pub Box<str>);

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Asks the daemon at `address`: plainly, since a stream costs twice as much,
/// or by a stream if it runs a version that knows no plain questions.
pub(super) async fn query(
    pool: &Pool,
    address: SocketAddr,
    request: wire::ExchangeRequest,
) -> Result<wire::ExchangeReply, ExchangeError> {
    let timeout = if request.want.is_empty() {
        SHORT_TIMEOUT
    } else {
        TIMEOUT
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
    let mut client = pool.client(address).ok_or("no valid address")?;
    match client.exchange(request).await {
        Ok(answer) => Ok(answer.into_inner()),
        Err(status) => Err(status.message().into()),
    }
}
