use super::*;

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, ..Entry::default() }
}

#[test]
fn conflicting_tail_is_replaced_and_compacted_entries_are_dropped() {
    let mut log = RaftLog::bootstrap(&[1, 2, 3], Vec::new());
    log.append(&[entry(2, 1), entry(3, 1), entry(4, 1)]);
    log.append(&[entry(3, 2)]);
    assert_eq!(log.last_index().unwrap(), 3);
    assert_eq!(log.term(3).unwrap(), 2);
    assert_eq!(log.term(1).unwrap(), 1);
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = 2;
    snapshot.mut_metadata().term = 1;
    log.compact(snapshot);
    assert_eq!(log.first_index().unwrap(), 3);
    assert_eq!(log.term(2).unwrap(), 1);
    assert!(log.term(1).is_err());
    assert!(log.entries(2, 4, None, GetEntriesContext::empty(false)).is_err());
    assert_eq!(log.entries(3, 4, None, GetEntriesContext::empty(false)).unwrap().len(), 1);
}
