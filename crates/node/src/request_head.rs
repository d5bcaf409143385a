//! Reads the protocol headers and the URI of a client request. A value that cannot be read counts as absent.

use std::hash::Hasher;

use hyper::header::HeaderMap;
use hyper::Uri;
use merlinfold_decide::interface::Nanos;

/// The values of a request head that the node uses. Values that cannot be read count as absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHead<'a> {
    /// Name of the request class: from the `x-lane` header, else the first segment of the path.
    pub class: Option<&'a str>,
    /// Whether the request has an `x-txn` id of 16 lower-case hexadecimal digits.
    pub has_id: bool,
    /// Time for which the client waits, from `x-remaining-ms`.
    pub remaining: Option<Nanos>,
    /// Name of the tenant, from `x-org`.
    pub tenant: Option<&'a str>,
    /// Hash of the `sid` query parameter.
    pub key: Option<u64>,
    /// Expected work as time on a standard core, from `x-estimate`.
    pub cost_hint: Option<Nanos>,
    /// Whether the client marked the request as a repeat, by `x-resent: 1`.
    pub repeat: bool,
}

impl<'a> RequestHead<'a> {
    /// Reads the values from a URI and headers.
    pub fn read(uri: &'a Uri, headers: &'a HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| text(name).and_then(|value| value.parse::<u64>().ok());
        RequestHead {
            class: text("x-lane").or_else(|| uri.path().split('/').nth(1)),
            has_id: text("x-txn").is_some_and(is_transaction_id),
            remaining: number("x-remaining-ms").map(|ms| ms.saturating_mul(1_000_000)),
            tenant: text("x-org"),
            key: uri.query().and_then(session_key),
            cost_hint: number("x-estimate").map(|us| us.saturating_mul(1_000)),
            repeat: text("x-resent") == Some("1"),
        }
    }
}

fn is_transaction_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

/// Returns the hash of the `sid` parameter of a query string.
fn session_key(query: &str) -> Option<u64> {
    let text = query.split('&').find_map(|pair| pair.strip_prefix("sid="))?;
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(text.as_bytes());
    Some(hasher.finish())
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::{HeaderName, HeaderValue};
    use proptest::prelude::*;

    proptest! {
        /// Any valid header values are read without a panic, and a number is read only from plain digits.
        #[test]
        fn any_head_is_read_without_a_panic(
            path in "/[ -~&&[^#?{}<>\"` ^|\\\\]]{0,30}",
            fields in prop::collection::vec((0usize..7, prop::collection::vec(any::<u8>(), 0..24)), 0..8),
        ) {
            let names = ["x-lane", "x-txn", "x-remaining-ms", "x-org", "x-estimate", "x-resent", "x-labels"];
            let mut headers = HeaderMap::new();
            for (name, value) in fields {
                if let Ok(value) = HeaderValue::from_bytes(&value) {
                    headers.insert(HeaderName::from_static(names[name]), value);
                }
            }
            let Ok(uri) = path.parse::<Uri>() else { return Ok(()) };
            let head = RequestHead::read(&uri, &headers);
            if head.remaining.is_some() {
                let text = headers["x-remaining-ms"].to_str().unwrap();
                prop_assert!(text.trim_start_matches('+').bytes().all(|b| b.is_ascii_digit()), "{text}");
            }
        }
    }
}
