//! The agreed log for operators: how it stands, and values to be agreed.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use merlinfold_fleet::{LogHandle, NotAgreed};
use serde::Deserialize;
use tracing::info;

use super::{read_json, text, ErrorResponse};

const PATH: &str = "/fleet/log";

/// A value to be agreed.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Set {
    /// 32 hex digits, drawn by the caller: the same id takes effect once, so a call without an answer can be repeated.
    id: String,
    key: String,
    value: String,
    /// Only where it stands at this revision; 0: only where there is none.
    expect: Option<u64>,
}

pub(super) async fn answer(
    method: Method, body: Incoming, log: Option<LogHandle>,
) -> Result<Response<Full<Bytes>>, ErrorResponse> {
    let none =
        || ErrorResponse::new(StatusCode::NOT_FOUND, "no agreed log: merlinfold.toml has no [fleet.log]");
    let log = log.ok_or_else(none)?;
    if method != Method::POST {
        let shown = serde_json::to_string_pretty(&log.view());
        let shown = shown
            .map_err(|error| ErrorResponse::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))?;
        return Ok(text(StatusCode::OK, shown + "\n"));
    }
    let Set { id, key, value, expect } = read_json(PATH, body).await?;
    let number = u128::from_str_radix(&id, 16).ok().filter(|number| *number != 0);
    let number = number.ok_or_else(|| {
        ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            format!("{PATH}: id {id:.40}: 1 to 32 hex digits, not all 0"),
        )
    })?;
    info!(id, key, ?expect, "console: to be agreed");
    match log.set(number, key, value.into_bytes(), expect).await {
        Ok(revision) => Ok(text(StatusCode::OK, format!("{revision}\n"))),
        Err(why) => {
            let status = match why {
                NotAgreed::SetAside(_) => StatusCode::CONFLICT,
                NotAgreed::Unsent(_) => StatusCode::BAD_REQUEST,
                NotAgreed::Unconfirmed | NotAgreed::Busy | NotAgreed::Ended => {
                    StatusCode::SERVICE_UNAVAILABLE
                }
            };
            Err(ErrorResponse::new(status, why.to_string()))
        }
    }
}
