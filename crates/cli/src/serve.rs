//! `merlinfold node`.

use std::path::Path;

use merlinfold_config::Fleet;
use merlinfold_node::FleetSettings;

use crate::{check, log};

/// Serves until SIGTERM, with the product's configuration in `product` or else its defaults.
pub fn node(product: Option<&Path>) -> Result<(), String> {
    let config = product.map(check::product).transpose()?.unwrap_or_default();
    log::start(&config.log);
    merlinfold_node::process::run(config.fleet.map(settings))
}

fn settings(fleet: Fleet) -> FleetSettings {
    let text = |word: merlinfold_config::Word| word.as_str().to_owned();
    FleetSettings {
        cluster: text(fleet.cluster),
        name: String::new(), // the platform's configuration has it
        listen: fleet.listen,
        advertise: fleet.advertise,
        zone: text(fleet.zone),
        machine: text(fleet.machine),
        seeds: fleet.seeds,
        folder: fleet.folder,
    }
}
