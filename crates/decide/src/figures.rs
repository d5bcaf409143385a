//! Settings that may change while a node runs. A request that has come keeps those that held when it came.

use crate::interface::{Class, Nanos, Settings, Tenant};

/// Those settings that may change while the node runs. Classes and tenants keep their numbers; tenants may be added
/// behind those that there are.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// Of each class, by number.
    pub classes: Vec<ClassFigures>,
    /// Tenants, by number.
    pub tenants: Vec<Tenant>,
    /// As in [`Settings::over_share_worth`].
    pub over_share_worth: f64,
    /// As in [`Settings::max_attempts`]; holds for requests that come from now on.
    pub max_attempts: u32,
}

/// Those properties of a [`Class`] that may change while the node runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassFigures {
    /// As in [`Class::aim`].
    pub aim: Nanos,
    /// As in [`Class::worth`].
    pub worth: f64,
    /// As in [`Class::late_worth`].
    pub late_worth: f64,
}

impl Settings {
    /// Those of them that may change while the node runs.
    pub fn figures(&self) -> Figures {
        let of_class =
            |class: &Class| ClassFigures { aim: class.aim, worth: class.worth, late_worth: class.late_worth };
        Figures {
            classes: self.classes.iter().map(of_class).collect(),
            tenants: self.tenants.clone(),
            over_share_worth: self.over_share_worth,
            max_attempts: self.max_attempts,
        }
    }

    /// Takes over these figures; all else stays as it is.
    pub fn adopt(&mut self, figures: Figures) {
        let Figures { classes, tenants, over_share_worth, max_attempts } = figures;
        for (class, figures) in self.classes.iter_mut().zip(classes) {
            let ClassFigures { aim, worth, late_worth } = figures;
            (class.aim, class.worth, class.late_worth) = (aim, worth, late_worth);
        }
        self.tenants = tenants;
        self.over_share_worth = over_share_worth;
        self.max_attempts = max_attempts;
    }
}
