//! `merlinfold node`.

use std::path::Path;

use crate::{check, log};

/// Runs a node until SIGTERM, configured by the `merlinfold.toml` at this path, or by the defaults.
pub fn node(path: Option<&Path>) -> Result<(), String> {
    let config = path.map(check::read_config).transpose()?.unwrap_or_default();
    log::start(&config.log);
    merlinfold_node::process::run(config.fleet, merlinfold_fleet::Disks::default())
}
