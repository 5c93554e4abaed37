//! Tests of the journal on the sender's own thread.

use super::*;
use heronroute_journal::Limits;
use heronroute_journal::entry::{Accepted, Answer, Taken, What};

const LIMITS: Limits = Limits { segment: 1 << 20, growth: 4, least: 1 << 20, most: 50_000 };

fn accepted(id: u64, bytes: usize) -> Entry {
    What::Accepted(Accepted { id, body: vec![7; bytes], ..Accepted::default() }).into()
}

/// Guards against a refused message whose entry stays first in the queue, so that no call and no notice of any other message
/// leaves any more.
#[test]
fn an_acceptance_that_does_not_fit_holds_up_no_other_entry() {
    let folder = std::env::temp_dir().join(format!("heronroute-own-journal-{}", std::process::id()));
    _ = std::fs::remove_dir_all(&folder);
    let mut journal = Journal::open(Dir::open_unsynced(&folder).unwrap(), LIMITS).unwrap();
    journal.commit(&[accepted(1, 40_000)]).unwrap();
    let mut own = OwnJournal::new(journal);

    own.pending_entries.push(accepted(2, 20_000));
    assert!(matches!(own.commit(0), Commit::BeganToFail));
    // The node refuses the message to its client, and another one ends.
    own.pending_entries.push(What::Taken(Taken { id: 2 }).into());
    let answer = Answer { id: 1, word: "UNDELIV".into(), ..Answer::default() };
    own.pending_entries.push(What::Answer(answer).into());
    let Commit::Durable(count, _) = own.commit(RETRY_DELAY) else { panic!("nothing is written") };
    assert_eq!(count, 3, "each entry of the node counts, written or not");
    assert!(own.journal.state().open[&1].answer.is_some());
    assert!(!own.journal.state().open.contains_key(&2));

    own.pending_entries.push(accepted(3, 20_000));
    let Commit::Durable(count, _) = own.commit(2 * RETRY_DELAY) else { panic!("the next one fits") };
    assert_eq!(count, 4);
    drop(own);
    let journal = Journal::open(Dir::open_unsynced(&folder).unwrap(), LIMITS).unwrap();
    let open: Vec<u64> = journal.state().open.keys().copied().collect();
    assert_eq!(open, [1, 3]);
    _ = std::fs::remove_dir_all(&folder);
}
