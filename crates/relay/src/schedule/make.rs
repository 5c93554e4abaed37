//! Makes the list of faults.

use super::{Act, Folder, Kind, Schedule, Step};
use crate::fault::{Cut, Flow, Shape};
use crate::reactor::mix;
use std::time::Duration;

/// Faults of a schedule at most: a line with an interval of nothing must not fill the memory.
const MOST: usize = 100_000;

/// Choices; a count and a hash, so that they stay the same when a library's generator changes.
struct Dice {
    seed: u64,
    rolls: u64,
}

impl Dice {
    fn below(&mut self, n: u64) -> u64 {
        self.rolls += 1;
        mix(self.seed, self.rolls) % n.max(1)
    }

    fn member(&mut self, members: usize) -> usize {
        self.below(members as u64) as usize
    }

    fn two(&mut self, members: usize) -> (usize, usize) {
        let a = self.member(members);
        (a, (a + 1 + self.member(members - 1)) % members)
    }
}

/// Until when, in milliseconds, who and what has a fault: none is hit twice at once, or the first one's end would end both.
struct Busy {
    members: Vec<u64>,
    pairs: Vec<Vec<u64>>,
}

impl Busy {
    fn pair(&mut self, a: usize, b: usize) -> &mut u64 {
        &mut self.pairs[a.min(b)][a.max(b)]
    }

    fn down(&self, now: u64) -> usize {
        self.members.iter().filter(|until| **until > now).count()
    }
}

impl Schedule {
    /// Its list, in order of time.
    pub fn steps(&self) -> Vec<Step> {
        let (members, span, length) = (self.members, millis(self.span), millis(self.length));
        let mut dice = Dice { seed: self.seed, rolls: 0 };
        let mut busy = Busy { members: vec![0; members], pairs: vec![vec![0; members]; members] };
        let mut steps: Vec<(u64, Act)> = Vec::new();
        let every = millis(self.every).max(1);
        let mut at = 0;
        if self.kinds.is_empty() || members < 2 {
            return Vec::new();
        }
        for _ in 0..MOST {
            at += every.div_ceil(2) + dice.below(every);
            // All draws in any case: whether a fault finds its place must not move those that follow.
            let kind = self.kinds[dice.below(self.kinds.len() as u64) as usize];
            let last = span / 4 + dice.below(span - span / 4 + 1);
            let two = dice.two(members);
            let figures = [dice.below(1_000), dice.below(1_000)];
            let groups: Vec<bool> = (0..members).map(|_| dice.below(2) == 1).collect();
            if at + last > length {
                if at + span / 4 > length {
                    break;
                }
                continue;
            }
            let fault = Fault { at, end: at + last, two, figures, groups, down: self.down };
            fault.place(kind, &mut busy, &mut steps);
        }
        steps.sort_by_key(|s| s.0);
        steps.into_iter().map(|(at, act)| Step { at: Duration::from_millis(at), act }).collect()
    }
}

struct Fault {
    at: u64,
    end: u64,
    two: (usize, usize),
    figures: [u64; 2],
    groups: Vec<bool>,
    down: usize,
}

impl Fault {
    /// Adds its steps, if nothing that it hits has another fault.
    fn place(&self, kind: Kind, busy: &mut Busy, steps: &mut Vec<(u64, Act)>) {
        match kind {
            Kind::Kill | Kind::Old | Kind::Empty | Kind::Pause => self.process(kind, busy, steps),
            Kind::All => self.all(busy, steps),
            Kind::Split => self.split(busy, steps),
            _ => self.link(kind, busy, steps),
        }
    }

    fn process(&self, kind: Kind, busy: &mut Busy, steps: &mut Vec<(u64, Act)>) {
        let (member, at, end) = (self.two.0, self.at, self.end);
        if busy.members[member] > at || busy.down(at) >= self.down {
            return;
        }
        busy.members[member] = end;
        let kill = |folder| Act::Kill { member, folder };
        let (start, third) = (Act::Start { member }, (end - at) / 3);
        steps.extend(match kind {
            Kind::Pause => vec![(at, Act::Pause { member }), (end, Act::Wake { member })],
            Kind::Empty => vec![(at, kill(Folder::Emptied)), (end, start)],
            Kind::Old => vec![
                (at, kill(Folder::Kept)),
                (at, start.clone()),
                (at + 2 * third, kill(Folder::Old)),
                (end, start),
            ],
            _ => vec![(at, kill(Folder::Kept)), (end, start)],
        });
    }

    fn all(&self, busy: &mut Busy, steps: &mut Vec<(u64, Act)>) {
        let (at, end) = (self.at, self.end);
        if busy.down(at) > 0 {
            return;
        }
        busy.members.fill(end);
        for member in 0..busy.members.len() {
            steps.push((at, Act::Kill { member, folder: Folder::Kept }));
            steps.push((end, Act::Start { member }));
        }
    }

    fn split(&self, busy: &mut Busy, steps: &mut Vec<(u64, Act)>) {
        let n = self.groups.len();
        let apart = |a: usize, b: usize| self.groups[a] != self.groups[b];
        let pairs: Vec<(usize, usize)> =
            (0..n).flat_map(|a| (a + 1..n).map(move |b| (a, b))).filter(|(a, b)| apart(*a, *b)).collect();
        if pairs.iter().any(|(a, b)| *busy.pair(*a, *b) > self.at) {
            return;
        }
        for (a, b) in pairs {
            *busy.pair(a, b) = self.end;
            steps.push((self.at, Act::Cut { a, b, cut: Cut::Silent }));
            steps.push((self.end, Act::Heal { a, b }));
        }
    }

    fn link(&self, kind: Kind, busy: &mut Busy, steps: &mut Vec<(u64, Act)>) {
        let ((a, b), [f, g]) = (self.two, self.figures);
        if *busy.pair(a, b) > self.at {
            return;
        }
        *busy.pair(a, b) = self.end;
        let shape = |shape| Act::Shape { from: a, to: b, shape };
        let (none, some) = (Shape::default(), 10 + (f * 290 / 999) as u32);
        let act = match kind {
            Kind::Cut => Act::Cut { a, b, cut: Cut::Silent },
            Kind::Hold => Act::Cut { a, b, cut: Cut::Hold },
            Kind::Refuse => Act::Cut { a, b, cut: Cut::Reset },
            Kind::Reset => return steps.push((self.at, Act::Reset { a, b })),
            Kind::OneWay => shape(Shape::flow(Flow::Drop)),
            Kind::Half => shape(Shape::flow(Flow::Half)),
            Kind::Delay => shape(Shape {
                delay: Duration::from_millis(1 + f * 299 / 999),
                jitter: Duration::from_millis(g * 300 / 999),
                ..none
            }),
            Kind::Slow => shape(Shape { rate: 2_000 + f * 48, ..none }),
            Kind::Double => shape(Shape { double: some, ..none }),
            Kind::Reorder => shape(Shape { reorder: some, ..none }),
            _ => shape(Shape { lose: some, ..none }),
        };
        steps.extend([(self.at, act), (self.end, Act::Heal { a, b })]);
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX).min(u64::MAX / 4)
}
