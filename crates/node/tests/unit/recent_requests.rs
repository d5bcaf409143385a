use super::*;

#[test]
fn a_request_is_known_until_it_is_removed_or_old_and_their_number_is_bounded() {
    let mut recent = RecentRequests::default();
    assert!(recent.insert(1, 0) && recent.insert(2, 1));
    assert!(!recent.insert(1, RETENTION - 1));
    recent.remove(1);
    assert!(recent.insert(1, RETENTION - 1), "it never ran");
    assert!(!recent.insert(1, RETENTION + 1), "the entry of its first arrival is not that of its second");
    assert!(recent.insert(2, RETENTION + 1));
    for id in 0..2 * MAX_REQUESTS as u64 {
        recent.insert(100 + id, RETENTION + 2);
        assert!(recent.by_age.len() <= MAX_REQUESTS && recent.arrivals.len() <= MAX_REQUESTS);
    }
}

/// Guards an id that may have run against requests that are refused at full speed: they pushed it out.
#[test]
fn refused_requests_do_not_push_out_one_that_may_have_run() {
    let mut recent = RecentRequests::default();
    recent.insert(1, 0);
    for id in 2..2 * MAX_REQUESTS as u64 {
        assert!(recent.insert(id, 1));
        recent.remove(id);
    }
    assert!(!recent.insert(1, 2));
}
