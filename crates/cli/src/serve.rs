//! `merlinfold node`.

use std::path::Path;

use crate::{check, log};

/// Serves until SIGTERM, with the product's configuration in `product` or else its defaults.
pub fn node(product: Option<&Path>) -> Result<(), String> {
    let config = product.map(check::product).transpose()?.unwrap_or_default();
    log::start(&config.log);
    merlinfold_node::process::run(config.fleet, merlinfold_fleet::Disks::default())
}
