//! One real node: reads its configuration, serves, reads it again on SIGHUP, and ends on SIGTERM when
//! all is answered.

use std::path::Path;

use merlinfold_node::{Config, Node, Reloader};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tracing::warn;

use crate::{check, log};

/// Serves until SIGTERM, with the product's configuration in `product` or else its defaults.
pub fn node(product: Option<&Path>) -> Result<(), String> {
    log::start(&product.map(check::product).transpose()?.unwrap_or_default().log);
    let path = std::env::var("BALANCER_CONFIG").map_err(|error| format!("BALANCER_CONFIG: {error}"))?;
    let text = read(&path)?;
    let config = Config::parse(&text).map_err(|fault| format!("configuration: {fault}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| format!("runtime: {error}"))?.block_on(async {
        let mut terminated = signal(SignalKind::terminate()).map_err(|error| format!("SIGTERM: {error}"))?;
        let hangup = signal(SignalKind::hangup()).map_err(|error| format!("SIGHUP: {error}"))?;
        let node = Node::bind(config).await.map_err(|fault| format!("configuration: {fault}"))?;
        let stop = async move {
            terminated.recv().await;
        };
        let reloads = reload(hangup, &path, node.reloader());
        tokio::select! {
            () = node.run(stop) => {}
            () = reloads => {}
        }
        Ok(())
    })
}

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("BALANCER_CONFIG: {path}: {error}"))
}

/// Reads the configuration again at each signal; the node goes on with what it has if that fails.
async fn reload(mut hangup: Signal, path: &str, reloader: Reloader) {
    while hangup.recv().await.is_some() {
        if let Err(fault) = read(path).and_then(|text| reloader.reload(&text)) {
            warn!(fault, "configuration not read again: the one before stays");
        }
    }
    std::future::pending().await // no further signal can come, which is no reason to end
}
