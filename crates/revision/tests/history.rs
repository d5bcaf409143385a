//! Going back.

mod common;

use common::{any_document, large};
use merlinfold_revision::bounds::{MAX_HISTORY_BYTES, MAX_HISTORY_DELTAS};
use merlinfold_revision::{History, HistoryError, Revision};
use proptest::collection::vec;
use proptest::prelude::*;

proptest! {
    /// Guards going back: every earlier document that is held comes back as it was, with its digest.
    #[test]
    fn every_revision_that_is_held_can_be_gone_back_to(documents in vec(any_document(), 2..8)) {
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
fn a_revision_that_is_not_held_is_refused_by_its_number() {
    let history = History::default();
    let fault = history.document(7, &Revision::default()).unwrap_err();
    assert_eq!(fault, HistoryError::Unknown { revision: 7, earliest: None });
    assert!(fault.to_string().contains("none is the earliest"), "{fault}");
}

/// Guards memory: a node that is told of every tenant again and again.
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
    let held = history.revisions().count();
    assert!((2..12).contains(&held), "{held} of {MAX_HISTORY_BYTES} bytes");
}

/// Guards memory: a node that runs for years.
#[test]
fn the_history_is_bounded_in_number() {
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
