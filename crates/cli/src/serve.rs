//! `merlinfold node`.

use std::alloc::System;
use std::path::Path;

use cap::Cap;

use crate::{check, log};

/// Counts what the process allocates, without a limit of its own.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Runs a node until SIGTERM, configured by the `merlinfold.toml` at this path, or by the defaults.
pub fn node(path: Option<&Path>) -> Result<(), String> {
    let config = path.map(check::read_config).transpose()?.unwrap_or_default();
    log::start(&config.log);
    merlinfold_node::process::run(config.fleet, merlinfold_fleet::Disks::default(), || ALLOCATOR.allocated())
}
