//! Tests of the history of revisions.

mod common;

use common::{any_document, large};
use merlinfold_revision::bounds::{MAX_HISTORY_BYTES, MAX_HISTORY_DELTAS};
use merlinfold_revision::{History, HistoryError, Revision};
use proptest::collection::vec;
use proptest::prelude::*;

proptest! {
    /// Every stored revision can be restored with its content and digest.
    #[test]
    fn every_stored_revision_can_be_restored(documents in vec(any_document(), 2..8)) {
        let mut documents = documents;
        documents.dedup();
        let revisions: Vec<Revision> =
            documents.into_iter().zip(1..).map(|(document, number)| Revision::new(number, document)).collect();
        let mut history = History::default();
        revisions.windows(2).for_each(|pair| history.record(&pair[0], &pair[1]));
        let (in_force, earlier) = revisions.split_last().unwrap();
        for revision in earlier {
            let document = history.document(revision.number, in_force).unwrap();
            prop_assert_eq!(document.digest(), revision.digest);
        }
    }
}

#[test]
fn restoring_a_revision_that_is_not_stored_returns_its_number() {
    let history = History::default();
    let error = history.document(7, &Revision::default()).unwrap_err();
    assert_eq!(error, HistoryError::Unknown { revision: 7, earliest: None });
    assert!(error.to_string().contains("the earliest is none"), "{error}");
}

/// The history of a node that receives changes of all tenants again and again must not exhaust its memory.
#[test]
fn the_history_is_bounded_in_bytes() {
    let mut history = History::default();
    let mut documents = [large(), large()];
    documents[1].tenants.values_mut().for_each(|tenant| tenant.requests_per_1000_s = None);
    let mut before = Revision::new(0, documents[0].clone());
    for number in 1..=12u64 {
        let after = Revision::new(number, documents[number as usize % 2].clone());
        history.record(&before, &after);
        before = after;
    }
    let stored = history.revisions().count();
    assert!((2..12).contains(&stored), "{stored} deltas within {MAX_HISTORY_BYTES} bytes");
}

/// The history of a node that runs for years must not exhaust its memory.
#[test]
fn the_history_is_bounded_in_number_of_deltas() {
    let mut history = History::default();
    let mut before = Revision::default();
    for number in 1..=MAX_HISTORY_DELTAS as u64 + 5 {
        let mut document = before.document.as_ref().clone();
        document.limits.insert("l".to_owned(), common::limit(1 + number % 2));
        let after = Revision::new(number, document);
        history.record(&before, &after);
        before = after;
    }
    assert_eq!(history.revisions().count(), MAX_HISTORY_DELTAS);
}
