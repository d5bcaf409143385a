//! Console calls about the replicated log: its status, and proposals of values.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use merlinfold_fleet::{LogHandle, SetError};
use serde::Deserialize;
use tracing::info;

use super::{read_json, text, ErrorResponse};

const PATH: &str = "/fleet/log";

/// A proposal to set the value of a key.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SetRequest {
    /// 32 hex digits, chosen by the caller. The same id takes effect once, so a call without an answer can be repeated.
    id: String,
    key: String,
    value: String,
    /// Sets the value only if the key is at this revision, or for 0 only if the key has no value.
    expect: Option<u64>,
}

/// Answers a call about the replicated log.
pub(super) async fn answer(
    method: Method, body: Incoming, log: Option<LogHandle>,
) -> Result<Response<Full<Bytes>>, ErrorResponse> {
    let no_log =
        || ErrorResponse::new(StatusCode::NOT_FOUND, "no replicated log: merlinfold.toml has no [fleet.log]");
    let log = log.ok_or_else(no_log)?;
    if method != Method::POST {
        let view = serde_json::to_string_pretty(&log.view());
        let view =
            view.map_err(|error| ErrorResponse::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))?;
        return Ok(text(StatusCode::OK, view + "\n"));
    }
    let SetRequest { id, key, value, expect } = read_json(PATH, body).await?;
    let number = u128::from_str_radix(&id, 16).ok().filter(|number| *number != 0);
    let number = number.ok_or_else(|| {
        let message = format!("{PATH}: id {id:.40}: expected 1 to 32 hex digits, not all 0");
        ErrorResponse::new(StatusCode::BAD_REQUEST, message)
    })?;
    info!(id, key, ?expect, "console: proposing a value for the replicated log");
    match log.set(number, key, value.into_bytes(), expect).await {
        Ok(revision) => Ok(text(StatusCode::OK, format!("{revision}\n"))),
        Err(error) => {
            let status = match error {
                SetError::SetAside(_) => StatusCode::CONFLICT,
                SetError::Invalid(_) => StatusCode::BAD_REQUEST,
                SetError::Unconfirmed | SetError::Busy | SetError::Stopped => StatusCode::SERVICE_UNAVAILABLE,
            };
            Err(ErrorResponse::new(status, error.to_string()))
        }
    }
}
