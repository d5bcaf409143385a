//! Answers as they go out to clients.

use super::*;

/// An answer's body, while which its request is under way.
pub(super) struct Lasting {
    pub(super) body: Outgo,
    pub(super) _under_way: UnderWay,
}

impl Body for Lasting {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.body {
            Outgo::Held { body, .. } => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Outgo::Long(relay) => Pin::new(relay).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            Outgo::Held { body, .. } => body.is_end_stream(),
            Outgo::Long(relay) => relay.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Outgo::Held { body, .. } => body.size_hint(),
            Outgo::Long(relay) => relay.size_hint(),
        }
    }
}

/// What is in it.
pub(super) enum Outgo {
    Held { body: Full<Bytes>, _held: Held },
    Long(Box<Relay>),
}

impl Outgo {
    pub(super) fn nothing() -> Self {
        Outgo::from(Held::small(Bytes::new()))
    }
}

impl From<Held> for Outgo {
    fn from(held: Held) -> Self {
        Outgo::Held { body: Full::new(held.bytes.clone()), _held: held }
    }
}

pub(super) fn response(reply: Reply, asks_head: bool) -> Response<Outgo> {
    let mut response = Response::new(Outgo::nothing());
    match reply {
        Reply::Served(answer) => {
            *response.body_mut() = match answer.body {
                AnswerBody::Held(held) => held.into(),
                AnswerBody::Long(relay) => Outgo::Long(relay),
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
