//! Settings that may change while a node runs.

use crate::interface::{Class, Nanos, Settings, Tenant};

/// The settings that may change while a node runs. Classes and tenants keep their indices; tenants may be
/// appended.
#[derive(Clone, Debug, PartialEq)]
pub struct DynamicSettings {
    /// Properties of the classes, by index.
    pub classes: Vec<DynamicClassSettings>,
    /// Tenants, by index.
    pub tenants: Vec<Tenant>,
    /// See [`Settings::over_quota_value_share`].
    pub over_quota_value_share: f64,
    /// See [`Settings::max_attempts`]. Requests that have already arrived keep the old value.
    pub max_attempts: u32,
}

/// The properties of a [`Class`] that may change while a node runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DynamicClassSettings {
    /// See [`Class::target_latency`].
    pub target_latency: Nanos,
    /// See [`Class::value`].
    pub value: f64,
    /// See [`Class::late_value_share`].
    pub late_value_share: f64,
}

impl Settings {
    /// Returns the part of the settings that may change while a node runs.
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

    /// Replaces the dynamic part of the settings.
    pub fn apply(&mut self, dynamic: DynamicSettings) {
        let DynamicSettings { classes, tenants, over_quota_value_share, max_attempts } = dynamic;
        for (class, dynamic) in self.classes.iter_mut().zip(classes) {
            class.target_latency = dynamic.target_latency;
            class.value = dynamic.value;
            class.late_value_share = dynamic.late_value_share;
        }
        self.tenants = tenants;
        self.over_quota_value_share = over_quota_value_share;
        self.max_attempts = max_attempts;
    }
}
