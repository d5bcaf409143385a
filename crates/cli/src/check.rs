//! `merlinfold check`, and reading of `merlinfold.toml`.

use std::path::{Path, PathBuf};

use merlinfold_config::Config;

/// Prints for each file whether it is valid. Fails with the number of invalid files, if any.
pub fn files(files: &[PathBuf]) -> Result<(), String> {
    let mut invalid = 0;
    for path in files {
        match validate_file(path) {
            Ok(()) => println!("{}: valid", path.display()),
            Err(error) => {
                invalid += 1;
                eprintln!("{}:{error}", path.display());
            }
        }
    }
    if invalid > 0 {
        return Err(format!("{invalid} of {} files are invalid", files.len()));
    }
    Ok(())
}

fn validate_file(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!(" cannot read: {error}"))?;
    if path.extension().is_some_and(|extension| extension == "json") {
        merlinfold_node::Config::validate(&text)
    } else {
        merlinfold_config::parse::<Config>(&text).map(drop).map_err(|error| error.to_string())
    }
}

/// Reads `merlinfold.toml` from this path. Errors name the file, the line and the field.
pub fn read_config(path: &Path) -> Result<Config, String> {
    let read = std::fs::read_to_string(path);
    let text = read.map_err(|error| format!("{}: cannot read: {error}", path.display()))?;
    merlinfold_config::parse(&text).map_err(|error| format!("{}:{error}", path.display()))
}
