//! A client's request as it goes on to servers.

use super::*;

/// A client's request as it goes on to servers.
pub struct UpstreamRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// Its client has left or has its answer: what is not yet written must not be. Set by whoever sees it first, so
    /// that no queue stands between a client that leaves and an attempt that is about to begin.
    pub cancellation: CancellationToken,
}

/// The body of a client's request.
pub enum RequestBody {
    /// All of it, for as many attempts as are made.
    Buffered(BufferedBody),
    /// It passes through.
    Streamed(Arc<Upload>),
}

pub(super) const REMAINING_MS: HeaderName = HeaderName::from_static("x-remaining-ms");

pub(super) const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH, // framing is stated anew
];

impl UpstreamRequest {
    pub fn new(method: Method, uri: Uri, mut headers: HeaderMap, body: RequestBody) -> Self {
        let listed: Vec<HeaderName> = headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|names| names.split(','))
            .filter_map(|name| name.trim().parse().ok())
            .collect();
        // What the protocol sends on is no hop's own, whatever a client lists.
        let kept = |name: &HeaderName| matches!(name.as_str(), "x-txn" | "idempotency-key" | "host");
        for name in HOP_BY_HOP.iter().chain(listed.iter().filter(|name| !kept(name))) {
            headers.remove(name);
        }
        UpstreamRequest { method, uri, headers, body, cancellation: CancellationToken::new() }
    }

    /// What its client calls it, for the log.
    pub fn txn(&self) -> &str {
        self.headers.get("x-txn").and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The long body, where it has one.
    pub fn upload(&self) -> Option<&Arc<Upload>> {
        match &self.body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => Some(upload),
        }
    }

    pub(super) fn build(&self, to: SocketAddr, wait: Duration) -> Request<AttemptBody> {
        let mut request = Request::new(match &self.body {
            RequestBody::Buffered(body) => {
                AttemptBody::Buffered(Some(body.bytes.clone()).filter(|body| !body.is_empty()))
            }
            RequestBody::Streamed(upload) => AttemptBody::streamed(upload.clone()),
        });
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if !headers.contains_key(header::HOST) {
            headers.insert(header::HOST, HeaderValue::try_from(to.to_string()).expect("an address is plain"));
        }
        headers.insert(REMAINING_MS, (wait.as_millis() as u64).into());
        request
    }
}
