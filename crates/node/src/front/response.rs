//! Answers as they go out to clients.

use super::*;

/// An answer's body, while which its request is under way.
pub(super) struct TrackedBody {
    pub(super) body: ClientBody,
    pub(super) _active_request: ActiveRequest,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.body {
            ClientBody::Buffered { body, .. } => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            ClientBody::Streamed(relay) => Pin::new(relay).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            ClientBody::Buffered { body, .. } => body.is_end_stream(),
            ClientBody::Streamed(relay) => relay.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ClientBody::Buffered { body, .. } => body.size_hint(),
            ClientBody::Streamed(relay) => relay.size_hint(),
        }
    }
}

/// What is in it.
pub(super) enum ClientBody {
    Buffered { body: Full<Bytes>, _buffer: BufferedBody },
    Streamed(Box<Relay>),
}

impl ClientBody {
    pub(super) fn empty() -> Self {
        ClientBody::from(BufferedBody::small(Bytes::new()))
    }
}

impl From<BufferedBody> for ClientBody {
    fn from(held: BufferedBody) -> Self {
        ClientBody::Buffered { body: Full::new(held.bytes.clone()), _buffer: held }
    }
}

pub(super) fn build_response(reply: Reply, asks_head: bool) -> Response<ClientBody> {
    let mut response = Response::new(ClientBody::empty());
    match reply {
        Reply::Served(answer) => {
            *response.body_mut() = match answer.body {
                ServerResponseBody::Buffered(held) => held.into(),
                ServerResponseBody::Streamed(relay) => ClientBody::Streamed(relay),
            };
            if let Some(length) = answer.length.filter(|_| asks_head) {
                response.headers_mut().insert(CONTENT_LENGTH, length);
            }
            answer.content_type.map(|kind| response.headers_mut().insert(CONTENT_TYPE, kind));
        }
        Reply::Refused { retry_after } => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            if retry_after > 0 {
                let seconds = format!("{:.3}", retry_after as f64 / 1e9);
                let seconds = HeaderValue::try_from(seconds).expect("a number is plain");
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
        }
        Reply::Failed => *response.status_mut() = StatusCode::BAD_GATEWAY,
        Reply::Stalled => *response.status_mut() = StatusCode::REQUEST_TIMEOUT,
    }
    response
}
