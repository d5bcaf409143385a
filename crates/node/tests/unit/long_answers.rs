use super::*;

fn resource(long_answers: &LongAnswers, uri: &str) -> Resource {
    long_answers.resource(&Method::GET, &uri.parse().unwrap())
}

#[test]
fn a_resource_is_expected_to_answer_as_it_did_last_and_an_unknown_one_as_its_path_did() {
    let mut long_answers = LongAnswers::default();
    let [list, file, other] =
        ["/get?list", "/get?file", "/get?other"].map(|uri| resource(&long_answers, uri));
    assert!(!long_answers.expects(file), "nothing is known yet");
    long_answers.record(list, false);
    long_answers.record(file, true);
    assert!(long_answers.expects(file) && !long_answers.expects(list));
    assert!(long_answers.expects(other), "as the last answer of its path");
    long_answers.record(file, false);
    assert!(!long_answers.expects(file) && !long_answers.expects(other));
}

/// Guards memory against clients that ask for ever new resources.
#[test]
fn only_so_many_resources_are_remembered() {
    let mut long_answers = LongAnswers::default();
    let first = resource(&long_answers, "/first");
    long_answers.record(first, true);
    for number in 0..2 * MAX_REMEMBERED {
        let resource = resource(&long_answers, &format!("/{number}?{number}"));
        long_answers.record(resource, true);
    }
    assert!(!long_answers.expects(first));
    assert_eq!(long_answers.by_path.is_long.len(), MAX_REMEMBERED);
    assert_eq!(long_answers.by_path.by_age.len(), MAX_REMEMBERED);
}
