//! The little of HTTP/1.1 (RFC 9112) that clients and servers of the lab speak: messages with a stated
//! length on kept connections. A library would hide what has to be seen here: when the last byte was
//! written, what comes after an answer, and where a connection breaks.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

const HEAD_MOST: usize = 16 << 10;
const BODY_MOST: usize = 8 << 20;
const HEADERS_MOST: usize = 64;

/// A message as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Method and path of a request; empty of an answer.
    pub target: (String, String),
    /// Status of an answer; 0 of a request.
    pub status: u16,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name, in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The sender closes the connection after it.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// A value of the query, by name.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.1.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// What has been read of a connection.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

/// Which kind of message is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests.
    Server,
    /// Answers.
    Client,
}

fn invalid(what: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

impl Reader {
    /// Whether anything is there that no message has taken.
    pub fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes in what has come. Cancel safe: what was read stays.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        from.read_buf(&mut self.buffer).await
    }

    /// The next message; none if the connection ended before its first byte. Cancel safe.
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

/// The message at the beginning and its length; none if it is not whole yet.
pub fn parse(bytes: &[u8], side: Side) -> io::Result<Option<(Message, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
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
        return if bytes.len() > HEAD_MOST { Err(invalid("too long a head")) } else { Ok(None) };
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
    message.headers = parsed.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    let length = match message.header("content-length") {
        Some(length) => length.parse::<usize>().map_err(invalid)?,
        None => 0,
    };
    if length > BODY_MOST {
        return Err(invalid("too long a body"));
    }
    let Some(end) = head.checked_add(length).filter(|&end| end <= bytes.len()) else { return Ok(None) };
    message.body = bytes[head..end].to_vec();
    Ok(Some((message, end)))
}

/// An answer's bytes.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()).into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever comes, parsing ends in a message, in waiting for more or in an error, and a message never
        /// takes more bytes than there are.
        #[test]
        fn any_bytes_end_in_a_message_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            for side in [Side::Server, Side::Client] {
                if let Ok(Some((_, length))) = parse(&bytes, side) {
                    prop_assert!(length <= bytes.len());
                }
            }
        }

        /// A message comes out as it went in, whatever follows it, and not before its last byte.
        #[test]
        fn an_answer_comes_out_as_it_went_in(status in 200u16..600, body in "[ -~]{0,60}", rest in "[a-z]{0,9}") {
            let whole = answer(status, "X-A: b\r\n", &body);
            let bytes = [&whole[..], rest.as_bytes()].concat();
            let (message, length) = parse(&bytes, Side::Client).unwrap().unwrap();
            prop_assert_eq!((message.status, &message.body[..]), (status, body.as_bytes()));
            prop_assert_eq!(length, whole.len());
            prop_assert_eq!(parse(&whole[..whole.len() - 1], Side::Client).unwrap(), None);
        }
    }
}
