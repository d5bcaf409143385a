//! `merlinfold check`.

use std::path::{Path, PathBuf};

use merlinfold_config::Config;

/// Says of each file whether it is valid. The error counts those that are not.
pub fn files(files: &[PathBuf]) -> Result<(), String> {
    let mut invalid = 0;
    for path in files {
        match file(path) {
            Ok(()) => println!("{}: valid", path.display()),
            Err(fault) => {
                invalid += 1;
                eprintln!("{}:{fault}", path.display());
            }
        }
    }
    if invalid > 0 {
        return Err(format!("{invalid} of {} files invalid", files.len()));
    }
    Ok(())
}

fn file(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!(" cannot read: {error}"))?;
    if path.extension().is_some_and(|ending| ending == "json") {
        merlinfold_node::Config::validate(&text)
    } else {
        merlinfold_config::parse::<Config>(&text).map(drop).map_err(|fault| fault.to_string())
    }
}

/// The product's configuration in this file; the error names file, line and field.
pub fn product(path: &Path) -> Result<Config, String> {
    let read = std::fs::read_to_string(path);
    let text = read.map_err(|error| format!("{}: cannot read: {error}", path.display()))?;
    merlinfold_config::parse(&text).map_err(|fault| format!("{}:{fault}", path.display()))
}
