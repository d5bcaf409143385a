//! The subset of HTTP/1.1 (RFC 9112) that the lab's clients and servers use: messages with a Content-Length on
//! persistent connections. An HTTP library would hide what the lab has to observe: when the last byte was
//! written, which bytes follow a response, and where a connection breaks.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Limits in bytes and in headers; a peer that exceeds them gets an error.
const MAX_HEAD: usize = 16 << 10;
const MAX_BODY: usize = 8 << 20;
const MAX_HEADERS: usize = 64;

/// A parsed request or response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Method and path of a request; empty for a response.
    pub target: (String, String),
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Headers in order; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// Bytes of the body; empty without a Content-Length.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the first header with this name, which must be given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Value of a query parameter of the request's path.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.1.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// Buffer of bytes that were read from a connection and not parsed yet.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

/// The reading side of a connection, which decides the kind of message that is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Reads requests.
    Server,
    /// Reads responses.
    Client,
}

fn invalid(what: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

impl Reader {
    /// Whether the buffer has bytes that belong to no message returned so far.
    pub fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads once into the buffer and returns the number of bytes, 0 at the end of the stream. Cancel safe: bytes
    /// that were read stay in the buffer.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        from.read_buf(&mut self.buffer).await
    }

    /// Reads the next message; returns `None` if the connection ended before its first byte. Cancel safe.
    pub async fn next(
        &mut self, from: &mut (impl AsyncRead + Unpin), side: Side,
    ) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = parse(&self.buffer, side)? {
                self.buffer.drain(..length);
                return Ok(Some(message));
            }
            if self.fill(from).await? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Parses the message at the start of `bytes` and returns it with its length, or `None` while it is incomplete.
/// Fails on invalid syntax and on a head or body over the limits.
pub fn parse(bytes: &[u8], side: Side) -> io::Result<Option<(Message, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut message = Message::default();
    let (status, parsed) = match side {
        Side::Server => {
            let mut request = httparse::Request::new(&mut headers);
            let status = request.parse(bytes).map_err(invalid)?;
            if let (Some(method), Some(path)) = (request.method, request.path) {
                message.target = (method.to_owned(), path.to_owned());
            }
            (status, request.headers)
        }
        Side::Client => {
            let mut response = httparse::Response::new(&mut headers);
            let status = response.parse(bytes).map_err(invalid)?;
            message.status = response.code.unwrap_or(0);
            (status, response.headers)
        }
    };
    let httparse::Status::Complete(head) = status else {
        return if bytes.len() > MAX_HEAD {
            Err(invalid(format!("message head exceeds {MAX_HEAD} bytes")))
        } else {
            Ok(None)
        };
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
    message.headers = parsed.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    let length = match message.header("content-length") {
        Some(length) => length.parse::<usize>().map_err(invalid)?,
        None => 0,
    };
    if length > MAX_BODY {
        return Err(invalid(format!("message body exceeds {MAX_BODY} bytes")));
    }
    let Some(end) = head.checked_add(length).filter(|&end| end <= bytes.len()) else { return Ok(None) };
    message.body = bytes[head..end].to_vec();
    Ok(Some((message, end)))
}

/// Formats a response with a Content-Length; each line of `headers` ends in CRLF.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()).into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Parsing arbitrary bytes must not panic, and the length of a message must not exceed the input.
        #[test]
        fn parsing_arbitrary_bytes_does_not_panic_or_overrun(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            for side in [Side::Server, Side::Client] {
                if let Ok(Some((_, length))) = parse(&bytes, side) {
                    prop_assert!(length <= bytes.len());
                }
            }
        }

        /// A response parses to the values it was formatted from, independent of the bytes that follow, and does not
        /// parse before its last byte is there.
        #[test]
        fn formatted_response_parses_to_the_same_values(status in 200u16..600, body in "[ -~]{0,60}", rest in "[a-z]{0,9}") {
            let whole = answer(status, "X-A: b\r\n", &body);
            let bytes = [&whole[..], rest.as_bytes()].concat();
            let (message, length) = parse(&bytes, Side::Client).unwrap().unwrap();
            prop_assert_eq!((message.status, &message.body[..]), (status, body.as_bytes()));
            prop_assert_eq!(length, whole.len());
            prop_assert_eq!(parse(&whole[..whole.len() - 1], Side::Client).unwrap(), None);
        }
    }
}
