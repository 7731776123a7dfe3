//! An HTTP client for the callers' and the operators' interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be made.
    #[error("can't connect to {0}: {1}")]
    Connect(SocketAddr, std::io::Error),
    /// The request was invalid, the connection failed, or the answer could not be parsed.
    #[error("the HTTP exchange failed: {0}")]
    Exchange(String),
    /// The answer's head did not arrive in time.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

/// A call to an HTTP server.
#[derive(Clone, Debug)]
pub struct HttpCall {
    address: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    timeout: Duration,
}

/// An answer whose body may still be arriving.
pub struct HttpAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    body: Incoming,
    connection_task: JoinHandle<()>,
}

impl HttpCall {
    /// Creates a GET call with a timeout of 60 s.
    pub fn get(address: SocketAddr, path: impl Into<String>) -> HttpCall {
        HttpCall {
            address,
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(60),
        }
    }

    /// Creates a POST call with a timeout of 60 s.
    pub fn post(address: SocketAddr, path: impl Into<String>, body: impl Into<Bytes>) -> HttpCall {
        HttpCall { method: Method::POST, body: body.into(), ..HttpCall::get(address, path) }
    }

    /// Sets the method.
    pub fn method(mut self, method: Method) -> HttpCall {
        self.method = method;
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> HttpCall {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Adds a key or credential as a bearer token.
    pub fn bearer(self, key: &str) -> HttpCall {
        self.header("authorization", format!("Bearer {key}"))
    }

    /// Sets how long to wait for the answer's head, including the time to connect.
    pub fn timeout(mut self, timeout: Duration) -> HttpCall {
        self.timeout = timeout;
        self
    }

    /// Sends the call and returns once the answer's head has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the request is invalid, the connection fails or the head doesn't arrive in time.
    pub async fn send(self) -> Result<HttpAnswer, CallError> {
        let timeout = self.timeout;
        let exchange = self.exchange();
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::Timeout(timeout)))
    }

    async fn exchange(self) -> Result<HttpAnswer, CallError> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| CallError::Connect(self.address, error))?;
        let _ = stream.set_nodelay(true);
        let exchange_error = |error: hyper::Error| CallError::Exchange(error.to_string());
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(exchange_error)?;
        let connection_task = tokio::spawn(async move {
            let _ = connection.await;
        });
        let mut request = Request::builder().method(self.method).uri(self.path);
        if !self.headers.iter().any(|(name, _)| name == "host") {
            request = request.header("host", self.address.to_string());
        }
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(self.body))
            .map_err(|error| CallError::Exchange(error.to_string()))?;
        let response = sender.send_request(request).await.map_err(exchange_error)?;
        let (head, body) = response.into_parts();
        Ok(HttpAnswer { status: head.status, headers: head.headers, body, connection_task })
    }
}

impl HttpAnswer {
    /// Returns a header as text, or `None` if it is missing or is not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the numbered result code of the answer, or `None` if it has none.
    pub fn code(&self) -> Option<u16> {
        self.header("x-mangodeal-code")?.parse().ok()
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails before the body's end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, CallError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(CallError::Exchange(error.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Returns the whole body.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails before the body's end.
    pub async fn bytes(mut self) -> Result<Bytes, CallError> {
        let mut body = Vec::new();
        while let Some(chunk) = self.next().await? {
            body.extend_from_slice(&chunk);
        }
        Ok(body.into())
    }

    /// Returns the whole body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails before the body's end or the body isn't valid JSON.
    pub async fn json(self) -> Result<serde_json::Value, CallError> {
        let body = self.bytes().await?;
        serde_json::from_slice(&body).map_err(|error| CallError::Exchange(error.to_string()))
    }
}

impl Drop for HttpAnswer {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

/// Returns the body of a change that writes `objects`, as operators send it.
///
/// # Example
///
/// ```
/// use serde_json::json;
/// let model = json!({"kind": "model", "name": "lace", "memory": 60});
/// let draft = mangodeal::client::change_draft("change-1", &[model]);
/// assert_eq!(draft["items"][0]["key"], json!({"kind": "model", "name": "lace"}));
/// ```
pub fn change_draft(id: &str, objects: &[Value]) -> Value {
    let item = |object: &Value| {
        let key = json!({"kind": object["kind"], "name": object["name"]});
        json!({"key": key, "object": object})
    };
    let items: Vec<Value> = objects.iter().map(item).collect();
    json!({"id": id, "actor": "", "wall_ms": 0, "items": items})
}
