//! Settings that may change while a node runs. A request that has come keeps those that held when it came.

use crate::interface::{Class, Nanos, Settings, Tenant};

/// Those settings that may change while the node runs. Classes and tenants keep their numbers; tenants may be added
/// behind those that there are.
#[derive(Clone, Debug, PartialEq)]
pub struct DynamicSettings {
    /// Of each class, by number.
    pub classes: Vec<DynamicClassSettings>,
    /// Tenants, by number.
    pub tenants: Vec<Tenant>,
    /// As in [`Settings::over_share_worth`].
    pub over_quota_value_share: f64,
    /// As in [`Settings::max_attempts`]; holds for requests that come from now on.
    pub max_attempts: u32,
}

/// Those properties of a [`Class`] that may change while the node runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DynamicClassSettings {
    /// As in [`Class::aim`].
    pub target_latency: Nanos,
    /// As in [`Class::worth`].
    pub value: f64,
    /// As in [`Class::late_worth`].
    pub late_value_share: f64,
}

impl Settings {
    /// Those of them that may change while the node runs.
    pub fn dynamic_settings(&self) -> DynamicSettings {
        let of_class = |class: &Class| DynamicClassSettings {
            target_latency: class.target_latency,
            value: class.value,
            late_value_share: class.late_value_share,
        };
        DynamicSettings {
            classes: self.classes.iter().map(of_class).collect(),
            tenants: self.tenants.clone(),
            over_quota_value_share: self.over_quota_value_share,
            max_attempts: self.max_attempts,
        }
    }

    /// Takes over these figures; all else stays as it is.
    pub fn apply(&mut self, figures: DynamicSettings) {
        let DynamicSettings { classes, tenants, over_quota_value_share: over_share_worth, max_attempts } =
            figures;
        for (class, figures) in self.classes.iter_mut().zip(classes) {
            let DynamicClassSettings { target_latency: aim, value: worth, late_value_share: late_worth } =
                figures;
            (class.target_latency, class.value, class.late_value_share) = (aim, worth, late_worth);
        }
        self.tenants = tenants;
        self.over_quota_value_share = over_share_worth;
        self.max_attempts = max_attempts;
    }
}
