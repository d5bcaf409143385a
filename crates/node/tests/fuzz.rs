//! Validation of any platform configuration returns success or an error that names the invalid part.

use merlinfold_node::Config;
use proptest::prelude::*;
use serde_json::{json, Value};

/// Returns a valid platform configuration.
fn valid_configuration() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 41, "snapshot": true, "endpoints": [
            {"name": "s-5be2a07c", "address": "10.1.0.18:8081", "zone": "a", "type": "m2", "group": 3,
             "status": "in_service", "weight": 1.0, "since_ms": 0}]},
        "settings": {"Balancers": 1, "Me": 0, "Discovery": "push", "Locality": "a", "Zones": ["a"],
            "Categories": [{"Name": "read", "Aim": 4_000_000, "GiveUp": 5_000_000, "Semantics": "repeatable"}],
            "Limits": {"ConnIdle": 30_000_000, "ConnectTimeout": 1_000_000, "MaxAttempts": 1},
            "Obligations": {"StopSendingWithin": 500_000, "RampTime": 1, "TipAfter": 1}}})
}

/// Collects the JSON pointers of all values.
fn collect_pointers(value: &Value, at: String, pointers: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| collect_pointers(value, format!("{at}/{name}"), pointers));
        }
        Value::Array(values) => {
            values
                .iter()
                .enumerate()
                .for_each(|(n, value)| collect_pointers(value, format!("{at}/{n}"), pointers));
        }
        _ => {}
    }
    pointers.push(at);
}

/// Generates JSON values of unexpected types and ranges.
fn unexpected_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(json!([])),
        Just(json!({})),
        Just(json!(-1)),
        Just(json!(u64::MAX)),
        Just(json!(1e300)),
        Just(json!("")),
        Just(json!("\u{0}\u{e9}x")),
        any::<u64>().prop_map(|n| json!(n)),
        "[a-z0-9:.]{0,20}".prop_map(|text| json!(text)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 800, ..ProptestConfig::default() })]

    #[test]
    fn validation_of_arbitrary_values_returns_a_result(
        edits in prop::collection::vec((any::<usize>(), unexpected_value()), 0..4)
    ) {
        let mut config = valid_configuration();
        let is_unchanged = edits.is_empty();
        for (index, value) in edits {
            let mut pointers = Vec::new();
            collect_pointers(&config, String::new(), &mut pointers);
            if let Some(target) = config.pointer_mut(&pointers[index % pointers.len()]) {
                *target = value;
            }
        }
        match Config::validate(&config.to_string()) {
            Ok(()) => {}
            Err(error) => prop_assert!(!is_unchanged && error.len() > 3, "{}", error),
        }
    }

    #[test]
    fn validation_of_arbitrary_text_returns_a_result_with_a_valid_line(
        cut in any::<usize>(), byte in any::<u8>(), at in any::<usize>()
    ) {
        let mut text = serde_json::to_vec_pretty(&valid_configuration()).unwrap();
        let length = text.len();
        text[at % length] = byte;
        text.truncate(cut % (length + 1));
        let text = String::from_utf8_lossy(&text);
        if let Err(error) = Config::validate(&text) {
            let line = error.split(':').next().and_then(|line| line.trim().parse::<usize>().ok());
            prop_assert!(line.is_none_or(|line| line <= length));
        }
    }
}

/// Guards the start of a node: a limit may be written as an integer or with a decimal point.
#[test]
fn a_memory_limit_may_be_fractional_or_absent() {
    for memory in [json!(48), json!(48.0), json!(0.5), Value::Null] {
        let mut config = valid_configuration();
        config["limits"]["memory_mb"] = memory.clone();
        assert_eq!(Config::validate(&config.to_string()), Ok(()), "{memory}");
    }
}
