//! Tests the fits, their forecasts, and the models behind the documented capacity figures.

use std::process::Command;

use merlinfold_lab::capacity::connections::{simulate, Parameters};
use merlinfold_lab::capacity::fit::{Check, Fit, Form, Sample};
use merlinfold_lab::capacity::fleet::{shares, Size};
use merlinfold_lab::capacity::model::Node;
use merlinfold_lab::capacity::point::Point;

const SIZES: [f64; 6] = [200.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0];

fn samples(of: impl Fn(f64) -> f64) -> Vec<Sample> {
    SIZES.iter().map(|&size| Sample { size, value: of(size) }).collect()
}

#[test]
fn best_fit_recovers_the_curve_of_exact_samples() {
    for form in Form::GROWING {
        let on = samples(|size| 3.0 + 0.5 * form.term(size));
        let fit = Fit::best(&on).unwrap();
        assert_eq!(fit.form, form);
        assert!((fit.intercept - 3.0).abs() < 1e-6 && (fit.slope - 0.5).abs() < 1e-9, "{fit:?}");
        assert!(fit.residual < 1e-6, "{fit:?}");
        let check = Check::of(&on).unwrap();
        assert!(check.holds() && check.error.abs() < 1e-9, "{check:?}");
    }
}

#[test]
fn residual_is_the_root_mean_square_distance_from_the_curve() {
    let off = [(1.0, 0.0), (2.0, 3.0), (3.0, 0.0), (4.0, 3.0)].map(|(size, value)| Sample { size, value });
    let fit = Fit::of(Form::Linear, &off).unwrap();
    assert!((fit.slope - 0.6).abs() < 1e-9 && fit.intercept.abs() < 1e-9, "{fit:?}");
    assert!((fit.residual - 1.8f64.sqrt()).abs() < 1e-9, "{fit:?}");
}

/// Growth that the smaller sizes do not show must not be accepted as a slope.
#[test]
fn forecast_does_not_hold_if_growth_exceeds_every_form() {
    let check = Check::of(&samples(|size| size * size)).unwrap();
    assert!(!check.holds() && check.error < -0.15, "{check:?}");
    let step = Check::of(&samples(|size| if size > 4_000.0 { 20.0 } else { 10.0 })).unwrap();
    assert!(!step.holds(), "{step:?}");
}

#[test]
fn too_few_samples_give_no_fit() {
    let alone = [Sample { size: 200.0, value: 1.0 }];
    assert_eq!(Fit::best(&alone), None);
    assert_eq!(Check::of(&alone), None);
    assert_eq!(Check::of(&[]), None);
    assert_eq!(Fit::of(Form::Linear, &[alone[0], alone[0]]), None);
}

#[test]
fn cost_that_does_not_grow_is_fitted_as_constant() {
    let falls = [(1.0, 4.0), (2.0, 3.0), (3.0, 2.0)].map(|(size, value)| Sample { size, value });
    let fit = Fit::best(&falls).unwrap();
    assert_eq!((fit.form, fit.intercept, fit.slope), (Form::Constant, 3.0, 0.0));
    assert_eq!(fit.at(8_000.0), 3.0);
}

fn small() -> Size {
    Size { nodes: 10, servers: 60, services: 6, tenants: 5, rate: 200.0 }
}

/// The measured requests must be served, each by a server of its own service; all module figures depend on that.
#[test]
fn the_model_serves_every_request_at_the_servers_of_its_service() {
    let size = small();
    let mut node = Node::new(size, &shares(size.services, false), size.entries());
    node.serve(200);
    let sent = node.serve(2_000);
    assert!((1_990..=2_010).contains(&sent.len()), "{}", sent.len());
    let settings = size.settings();
    let mut used = vec![0; size.services as usize];
    for attempt in &sent {
        let entry = size.entry(attempt.server.0);
        let allowed = settings.classes.iter().position(|class| class.placement.allows(&entry));
        used[allowed.unwrap()] += 1;
    }
    assert!(used.iter().all(|&count| count > 200), "{used:?}");
    assert!(node.decisions.take() > 0.0 && node.others.take() > 0.0);
}

/// No connection is opened while all stay open, every attempt opens one if idle connections close at once, and most do
/// with a single slot.
#[test]
fn connections_are_opened_according_to_idle_limit_and_slots() {
    let size = Size { servers: 6, ..small() };
    let question = Parameters { size, requests: 2_000, idle_s: 30.0, slots: 100, skewed: false };
    let kept = simulate(question);
    assert_eq!((kept.opened, kept.opened_without_limit), (0.0, 0.0), "{kept:?}");
    assert_eq!((kept.servers_used, kept.held_without_limit), (6, 6.0), "{kept:?}");
    let short = simulate(Parameters { idle_s: 1e-6, ..question });
    assert_eq!((short.opened, short.opened_without_limit), (1.0, 1.0), "{short:?}");
    let tight = simulate(Parameters { slots: 1, ..question });
    assert!(tight.opened > 0.7 && tight.opened_without_limit == 0.0, "{tight:?}");
}

#[test]
fn point_command_prints_all_figures() {
    let output = Command::new(env!("CARGO_BIN_EXE_merlinfold-lab"))
        .args(["capacity", "point"])
        .args(Size { servers: 300, ..small() }.arguments())
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let point: Point = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(point.size.servers, 300);
    let times = [point.decision_us, point.tick_us, point.first_list_ms, point.whole_list_ms, point.change_us];
    let texts = [point.parse_ms, point.names_ms, point.settings_ms];
    assert!(times.iter().chain(&texts).all(|&time| time > 0.0), "{point:?}");
    assert!(point.list_bytes > 300.0 * 100.0 && point.settings_bytes > 100.0, "{point:?}");
}
