//! A client's request as it is sent to servers.

use super::*;

/// A client's request as it is sent to servers.
pub struct UpstreamRequest {
    transaction_id: String,
    head: Mutex<RequestHead>,
    pub body: RequestBody,
    /// Cancelled when the client has left or has its response: attempts not yet written must not be sent. Whoever
    /// notices first cancels it, so that no queue delays the effect on an attempt that is about to begin.
    pub cancellation: CancellationToken,
    /// The socket of the client, on which a disconnect shows; `None` if it has none. Its connection owns it, and frees
    /// its slot when it ends.
    client_socket: Option<Weak<TcpStream>>,
}

/// The head of a request. Its values keep the buffer into which the client's connection read it.
#[derive(Default)]
struct RequestHead {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

/// The body of a client request.
pub enum RequestBody {
    /// In memory, for any number of attempts; empty once the request is answered.
    Buffered(Mutex<BufferedBody>),
    /// Streamed from the client, for one attempt.
    Streamed(Arc<Upload>),
}

impl From<BufferedBody> for RequestBody {
    fn from(body: BufferedBody) -> Self {
        RequestBody::Buffered(Mutex::new(body))
    }
}

/// Header with the time that the sender waits for a response, in milliseconds.
pub(super) const REMAINING_MS: HeaderName = HeaderName::from_static("x-remaining-ms");

/// Headers that are not forwarded.
pub(super) const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH, // the node sets the framing of the forwarded request
];

/// Locks a part of a request, which is replaced as a whole and so stays valid after a panic.
fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}

impl UpstreamRequest {
    /// Creates the request to forward; removes the hop-by-hop headers.
    pub fn new(method: Method, uri: Uri, mut headers: HeaderMap, body: RequestBody) -> Self {
        let connection_options: Vec<HeaderName> = headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|names| names.split(','))
            .filter_map(|name| name.trim().parse().ok())
            .collect();
        // The protocol requires these headers to be forwarded, even if the client lists them in `Connection`.
        let must_be_forwarded =
            |name: &HeaderName| matches!(name.as_str(), "x-txn" | "idempotency-key" | "host");
        for name in HOP_BY_HOP.iter().chain(connection_options.iter().filter(|name| !must_be_forwarded(name)))
        {
            headers.remove(name);
        }
        let transaction_id = headers.get("x-txn").and_then(|value| value.to_str().ok()).unwrap_or_default();
        UpstreamRequest {
            transaction_id: transaction_id.to_owned(),
            head: Mutex::new(RequestHead { method, uri, headers }),
            body,
            cancellation: CancellationToken::new(),
            client_socket: None,
        }
    }

    /// Sets the socket on which the request came.
    pub fn with_client(self, client_socket: Option<&Arc<TcpStream>>) -> Self {
        UpstreamRequest { client_socket: client_socket.map(Arc::downgrade), ..self }
    }

    /// Cancels the request if its client has disconnected, as of the last events of the runtime.
    pub(super) async fn cancel_if_client_left(&self) {
        let Some(client_socket) = &self.client_socket else { return };
        yield_now().await; // the runtime polls for events before this task goes on
        let has_left = match client_socket.upgrade() {
            Some(client_socket) => has_disconnected(&client_socket).await,
            None => true,
        };
        if has_left {
            self.cancellation.cancel();
        }
    }

    /// Returns the transaction id that the client gave, for the log.
    pub fn transaction_id(&self) -> &str {
        &self.transaction_id
    }

    /// Applies a function to the method and the URI; both are empty once the request is released.
    pub fn with_target<T>(&self, apply: impl FnOnce(&Method, &Uri) -> T) -> T {
        let head = lock(&self.head);
        apply(&head.method, &head.uri)
    }

    /// Frees the head and the body. The request is answered, and no further attempt begins.
    pub fn release(&self) {
        *lock(&self.head) = RequestHead::default();
        if let RequestBody::Buffered(body) = &self.body {
            *lock(body) = BufferedBody::small(Bytes::new());
        }
    }

    /// Gives a streamed request up unless a server may have run it. Returns whether none has and none can any more.
    pub fn abandon_upload(&self) -> bool {
        let is_abandoned = self.upload().is_some_and(|upload| upload.abandon());
        if is_abandoned {
            self.cancellation.cancel();
        }
        is_abandoned
    }

    /// Returns the streamed body, if the request has one.
    pub fn upload(&self) -> Option<&Arc<Upload>> {
        match &self.body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => Some(upload),
        }
    }

    /// Builds the request for one attempt; `timeout` is sent as the remaining time. A streamed body increments
    /// `sent_attempts` with its last byte.
    pub(super) fn build(
        &self, address: SocketAddr, timeout: Duration, sent_attempts: &AttemptCounter,
    ) -> Request<AttemptBody> {
        let mut request = Request::new(match &self.body {
            RequestBody::Buffered(body) => {
                AttemptBody::Buffered(Some(lock(body).bytes.clone()).filter(|body| !body.is_empty()))
            }
            RequestBody::Streamed(upload) => AttemptBody::streamed(upload.clone(), sent_attempts.clone()),
        });
        {
            let head = lock(&self.head);
            *request.method_mut() = head.method.clone();
            *request.uri_mut() = head.uri.clone();
            *request.headers_mut() = head.headers.clone();
        }
        let headers = request.headers_mut();
        if !headers.contains_key(header::HOST) {
            headers.insert(
                header::HOST,
                HeaderValue::try_from(address.to_string()).expect("a socket address is a valid header value"),
            );
        }
        if self.upload().is_some_and(|upload| upload.length().is_none()) {
            // Without it hyper sends a GET request of unknown length as if it had no body, and never polls the body.
            headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        headers.insert(REMAINING_MS, (timeout.as_millis() as u64).into());
        request
    }
}
