//! Log output.

use std::io::stderr;

use merlinfold_config::{Format, Log};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// Starts to log to standard error. Errors of writing are ignored: a closed log pipe must not end the node.
pub fn start(log: &Log) {
    let layer = tracing_subscriber::fmt::layer().with_writer(stderr).log_internal_errors(false);
    let layer = match log.format {
        Format::Text => layer.with_ansi(false).with_target(false).boxed(),
        Format::Json => layer.json().flatten_event(true).boxed(),
    };
    tracing_subscriber::registry().with(layer).with(log.targets()).init();
}
