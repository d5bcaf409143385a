//! Responses to clients.

use super::*;

/// The body of a response; its request counts as in progress until the body is dropped.
pub(super) struct TrackedBody {
    pub(super) body: ClientBody,
    pub(super) active_request: ActiveRequest,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let TrackedBody { body, active_request } = &mut *self;
        match body {
            ClientBody::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            // What the client does not accept yet waits at the server.
            ClientBody::Streamed(relay) => {
                ready!(active_request.timeouts.poll_writable(cx));
                Pin::new(relay).poll_frame(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            ClientBody::Buffered(body) => body.is_end_stream(),
            ClientBody::Streamed(relay) => relay.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ClientBody::Buffered(body) => body.size_hint(),
            ClientBody::Streamed(relay) => relay.size_hint(),
        }
    }
}

/// The content of a response body.
pub(super) enum ClientBody {
    /// In memory.
    Buffered(Full<Bytes>),
    /// Streamed from a server.
    Streamed(Box<Relay>),
}

impl ClientBody {
    /// Returns an empty body.
    pub(super) fn empty() -> Self {
        ClientBody::from(BufferedBody::small(Bytes::new()))
    }
}

impl From<BufferedBody> for ClientBody {
    fn from(buffered: BufferedBody) -> Self {
        ClientBody::Buffered(Full::new(buffered.bytes))
    }
}

/// Converts the driver's reply to an HTTP response. `is_head` is whether the request method is HEAD.
pub(super) fn build_response(reply: Reply, is_head: bool) -> Response<ClientBody> {
    let mut response = Response::new(ClientBody::empty());
    match reply {
        Reply::Served(server_response) => {
            *response.body_mut() = match server_response.body {
                ServerResponseBody::Buffered(buffered) => buffered.into(),
                ServerResponseBody::Streamed(relay) => ClientBody::Streamed(relay),
            };
            if let Some(length) = server_response.length.filter(|_| is_head) {
                response.headers_mut().insert(CONTENT_LENGTH, length);
            }
            server_response.content_type.map(|kind| response.headers_mut().insert(CONTENT_TYPE, kind));
        }
        Reply::Refused { retry_after } => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            if retry_after > 0 {
                let seconds = format!("{:.3}", retry_after as f64 / 1e9);
                let seconds =
                    HeaderValue::try_from(seconds).expect("a decimal number is a valid header value");
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
        }
        Reply::Failed => *response.status_mut() = StatusCode::BAD_GATEWAY,
        Reply::Stalled => *response.status_mut() = StatusCode::REQUEST_TIMEOUT,
    }
    response
}
