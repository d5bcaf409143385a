//! Plays a trial on processes of the program.

use std::path::Path;

use merlinfold_trial::report::Report;
use merlinfold_trial::Trial;

use crate::process::NodeCommand;

/// Plays it.
pub async fn play(
    _name: &str, _trial: &Trial, _nodes: &NodeCommand, _logs: Option<&Path>,
) -> Result<Report, String> {
    Err("only --virtual so far".to_owned())
}
