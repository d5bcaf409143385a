//! The versioned configuration on its way to the module.

use super::*;

impl Driver {
    /// Takes over a whole revision. Inputs are taken one at a time, so every request is decided on with all of the
    /// revision before or all of this one.
    pub(super) fn apply_revision(&mut self, change: ConfigurationChange) {
        let ConfigurationChange { figures, open_requests, in_force } = change;
        self.limits.max_open_requests = open_requests;
        self.in_force = in_force;
        self.handle_event(Event::Reconfigured(figures));
    }
}
