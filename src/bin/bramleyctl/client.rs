//! Client of a daemon's operators' interface.

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::error::Error;
use bramleymount::web::{Client, ClientError};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of one request, including requests of the daemon to its platform.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Sends requests to one daemon.
pub(crate) struct DaemonClient {
    client: Client,
    address: SocketAddr,
}

impl DaemonClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(REQUEST_TIMEOUT, MAX_ANSWER_BYTES),
            address,
        }
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let body = self.send(Method::GET, path, Bytes::new()).await;
        self.decode(&body.map_err(|e| self.connection_error(&e))?)
    }

    /// Sends a change. The outer error means that the change may have arrived.
    pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Result<T, Error>, ClientError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        match self.send(Method::POST, path, body.into()).await {
            Ok(answer) => Ok(self.decode(&answer)),
            Err(ClientError::Connect(cause)) => {
                Ok(Err(self.connection_error(&ClientError::Connect(cause))))
            }
            Err(error) => Err(error),
        }
    }

    /// Sends a request without a body and returns the answer's text.
    pub(crate) async fn post_empty(&self, path: &str) -> Result<String, Error> {
        let body = self.send(Method::POST, path, Bytes::new()).await;
        let body = body.map_err(|e| self.connection_error(&e))?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    fn connection_error(&self, e: &ClientError) -> Error {
        Error::remote(format!(
            "daemon {} does not answer ({e}); check the address and whether it runs",
            self.address
        ))
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, ClientError> {
        let uri = format!("http://{}/v1/{path}", self.address);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri
            .parse()
            .map_err(|_| ClientError::Connect("invalid address".into()))?;
        let answer = self.client.send(request).await?;
        if !answer.status.is_success() {
            let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
            return Err(ClientError::Connect(
                format!("status {}: {text}", answer.status).into(),
            ));
        }
        Ok(answer.body)
    }

    fn decode<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, Error> {
        serde_json::from_slice(body)
            .map_err(|e| Error::remote(format!("the answer of {} is invalid: {e}", self.address)))
    }
}
