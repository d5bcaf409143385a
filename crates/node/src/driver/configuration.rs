//! Applies revisions of the versioned configuration.

use super::*;

impl Driver {
    /// Applies a whole revision. Inputs are handled one at a time, so the decision on each request uses either all of
    /// the previous revision or all of this one.
    pub(super) fn apply_revision(&mut self, change: ConfigurationChange) {
        let ConfigurationChange { figures, open_requests, in_force } = change;
        self.limits.max_open_requests = open_requests;
        self.in_force = in_force;
        self.handle_event(Event::Reconfigured(figures));
    }
}
