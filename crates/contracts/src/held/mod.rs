//! Messages that ended undelivered, kept for their owners, and the trails of all others; beside a plain map.

mod model;
mod wrong;

pub use wrong::{Fault, Wrong};

use crate::ensure;
use crate::random::SeededRandom;
use crate::suite::Clause;
use heronroute_held::{
    Decision, Dropped, KnownOutcome, MessageRecord, Micros, Page, Query, Refusal, Room, Store, Trail, What,
};
use model::Model;

/// A store of trails and held messages.
pub trait Held {
    /// Files a message; gives held ones that were dropped for it.
    fn file(&mut self, now: Micros, id: u64, filed: MessageRecord) -> Vec<u64>;
    /// Takes one out.
    fn take(&mut self, id: u64) -> Option<MessageRecord>;
    /// One message.
    fn get(&self, id: u64) -> Option<&MessageRecord>;
    /// Held messages and octets of a client, and what was dropped of its.
    fn of(&self, client: u32) -> (usize, u64, Dropped);
    /// A page of at most so many identities.
    fn list(&self, query: &Query, most: usize) -> Page;
    /// Drops what is too old; gives held ones that were.
    fn expire(&mut self, now: Micros) -> Vec<u64>;
    /// Begins a hand-in.
    ///
    /// # Errors
    /// Why not.
    fn begin(&mut self, now: Micros, id: u64, party: u32, decision: Decision) -> Result<Decision, Refusal>;
    /// A hand-in ended.
    fn end(&mut self, now: Micros, id: u64, trail: &Trail, delivered: bool) -> Vec<u64>;
    /// Adds a step to a trail.
    fn note(&mut self, at: Micros, id: u64, what: What);
    /// An operator keeps a message, or lets it go again.
    fn keep(&mut self, id: u64, kept: bool) -> bool;
}

impl Held for Store {
    fn file(&mut self, now: Micros, id: u64, filed: MessageRecord) -> Vec<u64> {
        Store::file(self, now, id, filed)
    }
    fn take(&mut self, id: u64) -> Option<MessageRecord> {
        Store::take(self, id)
    }
    fn get(&self, id: u64) -> Option<&MessageRecord> {
        Store::get(self, id)
    }
    fn of(&self, client: u32) -> (usize, u64, Dropped) {
        Store::of(self, client)
    }
    fn list(&self, query: &Query, most: usize) -> Page {
        Store::list(self, query, most)
    }
    fn expire(&mut self, now: Micros) -> Vec<u64> {
        Store::expire(self, now)
    }
    fn begin(&mut self, now: Micros, id: u64, party: u32, decision: Decision) -> Result<Decision, Refusal> {
        Store::begin(self, now, id, party, decision)
    }
    fn end(&mut self, now: Micros, id: u64, trail: &Trail, delivered: bool) -> Vec<u64> {
        Store::end(self, now, id, trail, delivered)
    }
    fn note(&mut self, at: Micros, id: u64, what: What) {
        Store::note(self, at, id, what);
    }
    fn keep(&mut self, id: u64, kept: bool) -> bool {
        Store::keep(self, id, kept)
    }
}

/// Gives an empty store with room for trails in all, and for each client's held messages.
pub type Fresh = dyn Fn(Room, Room) -> Box<dyn Held>;

/// What holds of each.
pub const CLAUSES: &[Clause<Fresh>] = &[
    Clause { name: "what is listed is what was filed and fits", run: listed },
    Clause { name: "a client's room bounds its own, oldest first", run: bounded },
    Clause { name: "what is dropped is named and counted", run: counted },
    Clause { name: "what is under way or kept by an operator stays", run: stays },
    Clause { name: "what is too old goes", run: too_old },
    Clause { name: "of two hand-ins at once one goes", run: one_goes },
    Clause { name: "what ended undelivered again is held as before, what was delivered is not", run: ends },
    Clause { name: "trails have room of their own", run: trails },
    Clause { name: "a step is noted in its place", run: noted },
];

/// Room for all.
const WIDE: Room = Room { age: Micros::MAX, count: usize::MAX, octets: u64::MAX };
const AGAIN: Decision = Decision::Again { leave_by: 9 };

/// The identity of what was taken on then.
const fn id(at: u64) -> u64 {
    at << 6
}

fn filed(client: u32, destination: i64, key: u64, held: bool) -> MessageRecord {
    MessageRecord {
        client,
        destination,
        class: 0,
        key,
        trail: Trail::new(5, 0).write().into(),
        message: held.then(|| vec![1; 100].into()),
        under_way: false,
        kept: false,
        not_received_at: None,
    }
}

fn listed(fresh: &Fresh) -> Result<(), String> {
    for seed in 0..20 {
        let (mut s, mut model, mut random) = (fresh(WIDE, WIDE), Model::default(), SeededRandom::new(seed));
        for _ in 0..60 {
            let at = id(random.below(50) as u64) + random.below(3) as u64;
            if random.below(4) == 0 {
                ensure!(s.take(at).is_some() == model.take(at), "seed {seed}: taking {at}");
                continue;
            }
            let (client, destination) = (random.below(3) as u32, random.below(3) as i64);
            let f = filed(client, destination, random.below(3) as u64, random.below(2) == 0);
            model.file(at, &f);
            s.file(100, at, f);
        }
        for _ in 0..20 {
            let q = Query {
                client: (random.below(2) == 0).then_some(random.below(3) as u32),
                destination: (random.below(3) == 0).then_some(random.below(3) as i64),
                key: (random.below(3) == 0).then_some(1 + random.below(2) as u64),
                from: (random.below(3) == 0).then_some(random.below(50) as i64),
                to: (random.below(3) == 0).then_some(random.below(50) as i64),
                held: random.below(2) == 0,
                after: None,
            };
            let (mut ids, mut next) = (Vec::new(), q.clone());
            for _ in 0..200 {
                let page = s.list(&next, 3);
                ensure!(page.ids.len() <= 3, "seed {seed}: a page of {}", page.ids.len());
                ids.extend(page.ids);
                next.after = page.next;
                if next.after.is_none() {
                    break;
                }
            }
            let wanted = model.list(&q);
            ensure!(ids == wanted, "seed {seed}: {q:?}: {ids:?}, not {wanted:?}");
        }
    }
    Ok(())
}

fn bounded(fresh: &Fresh) -> Result<(), String> {
    let size = 100 + filed(0, 0, 0, false).trail.len() as u64 + 64;
    for room in [Room { count: 3, ..WIDE }, Room { octets: 3 * size, ..WIDE }] {
        let mut s = fresh(WIDE, room);
        s.file(100, id(1), filed(2, 0, 0, true));
        for at in [12, 10, 11, 13, 14] {
            s.file(100, id(at), filed(1, 0, 0, true));
        }
        let left: Vec<u64> = s.list(&Query { client: Some(1), held: true, ..Query::default() }, 9).ids;
        ensure!(left == [id(12), id(13), id(14)], "{room:?}: {left:?}");
        ensure!(s.of(1).0 == 3 && s.of(1).1 == 3 * size, "{room:?}: {:?}", s.of(1));
        ensure!(s.get(id(1)).is_some(), "{room:?}: another client's is gone");
    }
    Ok(())
}

fn counted(fresh: &Fresh) -> Result<(), String> {
    let mut s = fresh(WIDE, Room { count: 2, age: 1_000, ..WIDE });
    let mut gone = Vec::new();
    for at in 10..14 {
        gone.extend(s.file(100, id(at), filed(1, 0, 0, true)));
    }
    ensure!(gone == [id(10), id(11)], "named: {gone:?}");
    let old = s.expire(1_013);
    ensure!(old == [id(12)], "named: {old:?}");
    let dropped = s.of(1).2;
    ensure!(dropped == Dropped { age: 1, count: 2, octets: 0 }, "counted: {dropped:?}");
    Ok(())
}

fn stays(fresh: &Fresh) -> Result<(), String> {
    let mut s = fresh(WIDE, Room { count: 2, age: 1_000, ..WIDE });
    s.file(100, id(10), filed(1, 0, 0, true));
    s.file(100, id(11), filed(1, 0, 0, true));
    s.keep(id(10), true);
    s.begin(100, id(11), 0, AGAIN).map_err(|e| format!("{e:?}"))?;
    for at in 12..15 {
        s.file(100, id(at), filed(1, 0, 0, true));
    }
    s.expire(90_000);
    ensure!(s.get(id(10)).is_some_and(|f| f.message.is_some()), "what an operator keeps is gone");
    ensure!(s.get(id(11)).is_some_and(|f| f.message.is_some()), "what is under way is gone");
    ensure!(s.of(1).0 == 2, "beside them: {:?}", s.of(1));
    Ok(())
}

fn too_old(fresh: &Fresh) -> Result<(), String> {
    let mut s = fresh(Room { age: 500, ..WIDE }, Room { age: 1_000, ..WIDE });
    s.file(100, id(100), filed(1, 0, 0, true));
    s.file(200, id(200), filed(2, 0, 0, true));
    s.file(200, id(300), filed(2, 0, 0, false));
    s.expire(1_100);
    ensure!(s.get(id(100)).is_some() && s.get(id(200)).is_some(), "gone before its time");
    ensure!(s.get(id(300)).is_none(), "a trail is there after its time");
    s.expire(1_101);
    ensure!(s.get(id(100)).is_none() && s.get(id(200)).is_some(), "there after its time, or gone before");
    Ok(())
}

fn one_goes(fresh: &Fresh) -> Result<(), String> {
    let mut s = fresh(WIDE, WIDE);
    s.file(0, id(1), filed(1, 1, 0, true));
    s.file(0, id(2), filed(1, 1, 0, true));
    let refused = Decision::Refused(Refusal::MayHaveRun);
    ensure!(s.begin(3, id(1), 1, refused) == Err(Refusal::MayHaveRun), "a refusal is none");
    ensure!(s.begin(3, id(1), 1, AGAIN) == Ok(AGAIN), "the first does not go");
    let second = s.begin(3, id(1), 2, AGAIN);
    ensure!(second == Err(Refusal::UnderWay), "the second: {second:?}");
    s.keep(id(2), true);
    ensure!(s.begin(3, id(2), 1, AGAIN) == Err(Refusal::UnderWay), "what an operator keeps goes");
    ensure!(s.begin(3, id(9), 1, AGAIN) == Err(Refusal::Delivered), "what is not there goes");
    Ok(())
}

fn ends(fresh: &Fresh) -> Result<(), String> {
    let mut s = fresh(WIDE, WIDE);
    let (mut trail, before) = (Trail::new(5, 0), filed(1, 1, 7, true));
    trail.add(6, What::Ended(KnownOutcome::Written), usize::MAX);
    s.file(0, id(1), before.clone());
    for _ in 0..2 {
        s.begin(3, id(1), 1, AGAIN).map_err(|e| format!("held again: {e:?}"))?;
        s.end(4, id(1), &trail, false);
        let now = s.get(id(1)).ok_or("it is gone")?;
        ensure!(!now.under_way && now.message == before.message && now.key == 7, "{now:?}");
        ensure!(*now.trail == *trail.write(), "its trail is another");
    }
    s.begin(5, id(1), 1, AGAIN).map_err(|e| format!("{e:?}"))?;
    s.end(6, id(1), &trail, true);
    ensure!(s.get(id(1)).is_some_and(|f| f.message.is_none()), "its trail is gone, or it is still held");
    ensure!(s.of(1).0 == 0 && s.of(1).1 == 0, "it still counts: {:?}", s.of(1));
    ensure!(s.begin(7, id(1), 1, AGAIN) == Err(Refusal::Delivered), "it goes again");
    Ok(())
}

fn trails(fresh: &Fresh) -> Result<(), String> {
    let mut s = fresh(Room { count: 2, ..WIDE }, WIDE);
    for at in 1..6 {
        s.file(0, id(at), filed(1, 0, 0, at == 1));
    }
    let left = s.list(&Query::default(), 9).ids;
    ensure!(left == [id(1), id(4), id(5)], "{left:?}");
    Ok(())
}

fn noted(fresh: &Fresh) -> Result<(), String> {
    let mut s = fresh(WIDE, WIDE);
    s.file(0, id(1), filed(1, 0, 0, true));
    s.file(0, id(2), filed(1, 0, 0, true));
    let before = s.of(1).1;
    let steps = [(10, What::Began(3)), (12, What::Ended(KnownOutcome::Refused)), (12, What::Answered(5))];
    for (at, what) in steps {
        s.note(at, id(1), what);
    }
    s.note(10, id(9), What::AnswerConfirmed);
    let read = |at: u64| s.get(id(at)).and_then(|f| Trail::read(&f.trail)).ok_or("no trail");
    let told: Vec<(Micros, What)> = read(1)?.steps().collect();
    ensure!(told == steps, "{told:?}");
    ensure!(read(2)?.steps().next().is_none(), "another message's trail has it");
    ensure!(s.of(1).1 > before, "its octets don't count");
    Ok(())
}
