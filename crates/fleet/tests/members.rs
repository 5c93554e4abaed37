//! Members at 3 to 500 on a virtual clock: deaths, cuts, pauses, lives, twins, junk.

#[path = "members/net.rs"]
mod net;

use heronroute_fleet::members::{Change, Members, MembersError, Output, Tuning};
use heronroute_fleet::{Life, Micros, Standing, Start};
use net::{MS, Net, S, name, peers};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn long() -> bool {
    std::env::var_os("HERONROUTE_LONG").is_some()
}

fn sizes() -> Vec<usize> {
    if long() { vec![3, 9, 100, 500] } else { vec![3, 9, 100] }
}

/// All that run hold a place so.
fn all_hold(net: &mut Net, place: usize, standing: Standing, most: Micros) -> Option<Micros> {
    net.until(most, |_, p| p.place == place || p.members.rows()[place].standing == standing)
}

#[test]
fn a_death_is_known_to_all_in_time_and_nobody_else_is_held_for_dead() {
    for count in sizes() {
        for seed in 0..if count > 9 { 1 } else { 10 } {
            let mut net = Net::settled(count, seed);
            net.kill(count / 2);
            let took = all_hold(&mut net, count / 2, Standing::Dead, 10 * S).expect("known to all");
            assert!(took < if count == 3 { 5 * S } else { 6 * S }, "{count} members, seed {seed}: {took} us");
            assert_eq!(net.told(Standing::Dead), count - 1, "{count} members, seed {seed}");
        }
    }
}

#[test]
fn at_rest_nobody_is_suspected_and_with_loss_nobody_dies() {
    for (count, time) in [(9, 120), (100, if long() { 120 } else { 8 })] {
        let mut net = Net::settled(count, 7);
        for loss in [0, 10, 100] {
            net.loss = loss;
            net.log.clear();
            net.run(time * S);
            let (suspected, dead) = (net.episodes(Standing::Suspect), net.told(Standing::Dead));
            assert_eq!(dead, 0, "{count} members, {loss} of 1000 lost");
            assert!(
                suspected <= if loss == 100 { 3 } else { 0 },
                "{count}, {loss} of 1000 lost: {suspected}"
            );
        }
    }
}

/// Among three there is one to probe through; a probe is asked again of its target itself instead.
#[test]
fn three_that_lose_a_tenth_do_not_suspect_each_other() {
    let mut net = Net::settled(3, 5);
    net.loss = 100;
    net.run(600 * S);
    assert!(net.told(Standing::Suspect) <= 2, "{}", net.told(Standing::Suspect));
}

/// Whoever hears of a death says so at once: it does not wait for the next round of gossip at each step.
#[test]
fn a_death_spreads_faster_than_gossip_goes_about() {
    let mut net = Net::settled(60, 4);
    let at = net.now;
    net.kill(7);
    all_hold(&mut net, 7, Standing::Dead, 10 * S).expect("known to all");
    let mut times = net.deaths(7, at);
    times.sort();
    let (first, most) = (times[0], times[times.len() * 9 / 10]);
    assert!(most - first < 150 * MS, "nine of ten after {} us", most - first);
}

#[test]
fn what_a_member_does_not_do() {
    let mut net = Net::settled(4, 6);
    net.with(0, |m, now| {
        m.link(now, 0, true);
        assert!(!m.rows()[0].linked, "a link to itself");
        assert_eq!(m.continue_as(now, Start(1)), Err(MembersError::NotAbove(Start(1))), "no later life");
        (1..4).for_each(|peer| m.link(now, peer, false));
    });
    let sent = net.procs[0].members.counts().sent;
    net.run(S);
    assert_eq!(net.procs[0].members.counts().sent, sent, "nothing is sent where no link stands");
    net.with(1, Members::leave);
    let received = net.procs[1].members.counts().received;
    net.run(2 * S);
    assert_eq!(net.procs[1].members.counts().received, received, "one that left hears nothing more");
    // Nobody takes what it has to say: it holds so much, and no more.
    let member = &mut net.procs[2].members;
    let from = net.now;
    (0..30_000).for_each(|step| member.tick(from + step * 100 * MS));
    assert!(member.counts().unsent > 0);
    let mut waiting = 0;
    while let Some(output) = member.next_output() {
        waiting += usize::from(matches!(output, Output::Send(..)));
    }
    assert!(waiting <= 4096, "{waiting}");
}

#[test]
fn a_suspect_is_visible_before_it_dies() {
    let mut net = Net::settled(9, 1);
    net.kill(4);
    net.run(2300 * MS);
    assert!(net.told(Standing::Suspect) >= 6 && net.told(Standing::Dead) == 0);
}

#[test]
fn who_hears_but_is_not_heard_lives_on_the_word_of_others() {
    for seed in 0..5 {
        // 0 hears 1; 1 does not hear 0.
        let mut net = Net::settled(5, seed);
        net.cut.insert((0, 1));
        net.run(60 * S);
        assert_eq!(net.told(Standing::Dead), 0, "seed {seed}");
        // The chain 0-1-2.
        let mut net = Net::settled(3, seed);
        net.cut.extend([(0, 2), (2, 0)]);
        net.run(60 * S);
        assert_eq!(net.told(Standing::Dead), 0, "seed {seed}");
        assert_eq!(net.told(Standing::Suspect), 0, "seed {seed}");
    }
}

#[test]
fn one_that_is_deaf_does_not_make_the_others_doubt_each_other() {
    for count in [3, 9] {
        let mut net = Net::settled(count, 1);
        net.cut.extend((0..count).filter(|from| *from != 1).map(|from| (from, 1)));
        net.run(60 * S);
        let wrong = |(_, id, c): &(Micros, usize, Change)| {
            *id != 1 && matches!(c, Change::Standing { peer, standing: Standing::Dead, .. } if *peer != 1)
        };
        assert!(!net.log.iter().any(wrong), "{count} members");
        let others = net.procs.iter().filter(|p| p.place != 1);
        for p in others {
            assert_eq!(p.members.rows()[1].standing, Standing::Dead, "it can't be worked with");
            assert_eq!(p.members.counts().renewed, 0, "{count} members");
        }
        assert_eq!(
            net.count(&net.procs[1], Standing::Dead),
            count - 1,
            "nor does it claim to know of anybody"
        );
        net.cut.clear();
        assert!(
            net.until(10 * S, |net, p| net.count(p, Standing::Alive) == count - 1).is_some(),
            "{count} members"
        );
    }
}

#[test]
fn a_chain_from_the_start_knows_both_ends() {
    let mut net = Net::cut_from_the_start(3, 3, &[(0, 2), (2, 0)]);
    for (a, b) in [(0, 2), (2, 0)] {
        net.with(a, |m, now| m.link(now, b, false));
    }
    net.run(10 * S);
    assert!(net.procs.iter().all(|p| net.count(p, Standing::Alive) == 2));
}

#[test]
fn a_later_start_replaces_the_earlier_life_at_once_and_an_earlier_one_never() {
    for seed in 0..5 {
        let mut net = Net::settled(9, seed);
        net.kill(2);
        net.start(2, 2);
        let replaced = |_: &Net, p: &net::Proc| {
            p.place == 2 || p.members.rows()[2].life.as_ref().unwrap().start == Start(2)
        };
        net.until(2 * S, replaced).expect("replaced");
        net.run(10 * S);
        // Renewals of the earlier life don't beat it; nobody ever held the later one for dead.
        let dead = |c: &Change| matches!(c, Change::Standing { life, standing: Standing::Dead, .. } if life.start == Start(2));
        assert!(!net.log.iter().any(|(_, _, c)| dead(c)), "seed {seed}");
        assert!(net.procs.iter().filter(|p| p.running).all(|p| net.count(p, Standing::Alive) == 8));
        assert!(
            net.log.iter().all(|(_, _, c)| !matches!(c, Change::SharedName(_) | Change::Behind(_))),
            "seed {seed}"
        );
    }
}

#[test]
fn one_that_leaves_is_known_to_be_gone_without_suspicion() {
    let mut net = Net::settled(9, 5);
    net.with(3, Members::leave);
    all_hold(&mut net, 3, Standing::Dead, S).expect("known within a second");
    assert_eq!(net.told(Standing::Suspect), 0);
}

#[test]
fn half_of_them_lost_at_once() {
    for count in sizes() {
        let mut net = Net::settled(count, 11);
        let lost: Vec<usize> = (0..count / 2).map(|i| 2 * i + 1).collect();
        lost.iter().for_each(|id| net.kill(*id));
        let gone = lost.clone();
        let took = net
            .until(15 * S, move |_, p| gone.iter().all(|i| p.members.rows()[*i].standing == Standing::Dead));
        assert!(took.is_some(), "{count} members");
        net.run(5 * S);
        assert_eq!(
            net.told(Standing::Dead),
            (count - lost.len()) * lost.len(),
            "{count} members: only the lost"
        );
    }
}

#[test]
fn after_a_cut_all_come_back_as_the_lives_they_were() {
    for count in sizes() {
        let mut net = Net::settled(count, 13);
        net.split(|place| place < count / 2);
        net.run(12 * S);
        for p in &net.procs {
            let own = if p.place < count / 2 { count / 2 } else { count - count / 2 };
            assert_eq!(net.count(p, Standing::Alive), own - 1, "{count} members, m{}", p.place);
            assert!(p.members.awake(), "a cut off member knows what it sees");
        }
        net.cut.clear();
        let took = net.until(20 * S, |net, p| net.count(p, Standing::Alive) == count - 1);
        assert!(took.is_some(), "{count} members");
        let lives = |p: &net::Proc| {
            p.members.rows().iter().all(|r| r.life.as_ref().is_none_or(|l| l.start == Start(1)))
        };
        assert!(net.procs.iter().all(lives), "no start number was made up");
        net.run(10 * S);
        assert!(
            net.procs.iter().all(|p| net.count(p, Standing::Alive) == count - 1),
            "{count} members: it lasts"
        );
        // Renewals of an earlier life don't beat a later start.
        assert!(net.procs[1].members.counts().renewed > 0);
        net.kill(1);
        net.start(1, 2);
        let replaced = |p: &net::Proc| p.members.rows()[1].life.as_ref().is_some_and(|l| l.start == Start(2));
        assert!(net.until(3 * S, |_, p| p.place == 1 || replaced(p)).is_some(), "{count} members");
        assert_eq!(net.procs.last().unwrap().members.counts().renewed, 0, "{count} members");
    }
}

#[test]
fn a_paused_process_is_stale_until_somebody_answered_it_anew() {
    for seed in 0..5 {
        let mut net = Net::settled(9, seed);
        net.pause(4);
        net.run(20 * S);
        net.kill(5);
        net.run(40 * S);
        net.log.clear();
        // Cut off while it wakes: what lies in its sockets is old, and proves nothing.
        net.split(|place| place == 4);
        net.wake(4);
        net.run(10 * S);
        assert!(net.procs[4].members.stale(), "seed {seed}");
        assert_eq!(net.procs[4].members.counts().pauses, 1);
        let acted = |(_, id, c): &(Micros, usize, Change)| {
            *id == 4
                && matches!(c, Change::Standing { standing: Standing::Dead, life, .. } if life.name != name(5))
        };
        assert!(!net.log.iter().any(acted), "seed {seed}: it declared somebody dead");
        net.cut.clear();
        let took = net
            .until(3 * S, |net, p| p.place != 4 || (p.members.awake() && net.count(p, Standing::Dead) == 1));
        assert!(took.is_some(), "seed {seed}: fresh again, and knows who died meanwhile");
        let back = net.until(3 * S, |_, p| p.place == 4 || p.members.rows()[4].standing == Standing::Alive);
        assert!(back.is_some(), "seed {seed}: others take it back");
        net.run(10 * S);
        assert_eq!(
            net.procs.iter().filter(|p| p.running).map(|p| net.count(p, Standing::Dead)).max(),
            Some(1)
        );
    }
}

#[test]
fn what_lay_in_its_sockets_while_it_slept_proves_nothing() {
    let mut net = Net::settled(5, 3);
    net.kill(4);
    // It has asked, and the answers come while it sleeps.
    let id = net.start(4, 2);
    net.pause(id);
    net.run(60 * S);
    net.split(|place| place == 4);
    net.wake(id);
    net.run(5 * S);
    assert!(net.procs[id].members.stale());
}

#[test]
fn a_short_stall_costs_nobody_anything() {
    let mut net = Net::settled(9, 2);
    net.latency = 30 * MS..50 * MS;
    for round in 0..60 {
        net.pause(4);
        net.run(1200 * MS);
        net.wake(4);
        net.run((500 + 37 * round % 250) * MS);
    }
    let held = |(_, id, c): &(Micros, usize, Change)| {
        *id == 4
            && matches!(c, Change::Standing { standing: Standing::Suspect, life, .. } if life.name != name(4))
    };
    assert!(!net.log.iter().any(held), "it held its own stall against others");
    assert_eq!(net.told(Standing::Dead), 0);
}

#[test]
fn with_a_third_of_all_messages_lost_hardly_anybody_is_held_for_dead() {
    let mut deaths = 0;
    // The long one needs word to the suspect itself: without it eleven are held for dead.
    let (count, loss, time) = if long() { (9, 500, 600) } else { (3, 300, 300) };
    for seed in 0..if long() { 4 } else { 2 } {
        let mut net = Net::settled(count, seed);
        net.loss = loss;
        net.run(time * S);
        deaths += net.episodes(Standing::Dead);
        let renewed: u64 = net.procs.iter().map(|p| p.members.counts().renewed).sum();
        assert!(renewed <= net.told(Standing::Dead) as u64, "seed {seed}: {renewed} renewed for nothing");
    }
    assert!(deaths <= 1, "{deaths}");
}

#[test]
fn alone_from_the_start_nothing_is_known() {
    let mut net = Net::cut_from_the_start(3, 1, &[(0, 1), (0, 2), (1, 0), (2, 0)]);
    net.run(30 * S);
    assert!(net.procs[0].members.stale());
    assert!(net.procs[0].members.standing(&name(1)).unwrap().life.is_none());
    assert!(net.procs[1].members.awake());
}

#[test]
fn two_that_bear_one_name_are_told_and_one_keeps_still() {
    // The same start twice, and a later and an earlier one; both hear everything, or only the one that spoke last.
    for (start, latest, seed) in
        [(1, false, 1), (1, true, 2), (2, false, 3), (2, true, 4), (0, false, 5), (0, true, 6)]
    {
        let mut net = Net::settled(5, seed);
        net.latest = latest;
        let twin = net.start(2, start);
        net.run(20 * S);
        let others: Vec<bool> = [0, 1, 3, 4].iter().map(|id| !net.twins(*id).is_empty()).collect();
        let own = !net.twins(2).is_empty() || !net.twins(twin).is_empty();
        assert!(own && others.contains(&true), "start {start}, latest {latest}: {own}, {others:?}");
        // They don't take turns for ever: one holds the name.
        net.log.clear();
        net.run(20 * S);
        assert_eq!(net.told(Standing::Dead), 0, "start {start}, latest {latest}");
        assert!(
            net.episodes(Standing::Suspect) <= if latest { 3 } else { 0 },
            "start {start}, latest {latest}"
        );
        let still = [2, twin].iter().filter(|id| net.procs[**id].members.stale()).count();
        assert_eq!(still, 1, "start {start}, latest {latest}");
    }
}

#[test]
fn back_with_an_old_disk_it_is_told_and_rises_above_what_was_seen() {
    let mut net = Net::settled(5, 9);
    net.kill(2);
    let later = net.start(2, 8);
    net.run(5 * S);
    net.kill(later);
    let old = net.start(2, 3);
    net.run(10 * S);
    let behind = |(_, id, c): &(Micros, usize, Change)| *id == old && *c == Change::Behind(Start(8));
    assert!(net.log.iter().any(behind));
    assert!(net.procs.iter().all(|p| net.twins(p.place).is_empty()), "an old disk is no twin");
    assert!(net.procs[old].members.stale());
    net.with(old, |m, now| {
        assert_eq!(m.continue_as(now, Start(8)), Err(MembersError::NotAbove(Start(8))));
        m.continue_as(now, Start(9)).unwrap();
    });
    let up =
        |_: &Net, p: &net::Proc| p.place == 2 || p.members.rows()[2].life.as_ref().unwrap().start == Start(9);
    net.until(3 * S, up).expect("back");
    assert!(net.procs[old].members.awake());
}

/// Nobody answered while it did not run: a suspicion that it raised before ends so much later.
#[test]
fn a_stall_puts_off_the_end_of_a_suspicion() {
    let death = |stall: Micros| {
        let mut net = Net::settled(2, 4);
        net.kill(1);
        net.until(10 * S, |_, p| p.members.rows()[1].standing == Standing::Suspect).expect("suspected");
        let at = net.now;
        net.pause(0);
        net.run(stall);
        net.wake(0);
        net.until(20 * S, |_, p| p.members.rows()[1].standing == Standing::Dead).expect("dead");
        net.now - at
    };
    let (calm, stalled) = (death(0), death(S));
    assert!(stalled >= calm + 700 * MS, "{calm} us, and with a stall of a second {stalled} us");
}

/// The later life is long known to be dead: there is nothing to wait for.
#[test]
fn back_with_an_old_disk_after_the_later_life_s_death_it_is_told_at_once() {
    let mut net = Net::settled(5, 9);
    net.kill(2);
    let later = net.start(2, 8);
    net.run(5 * S);
    net.kill(later);
    all_hold(&mut net, 2, Standing::Dead, 10 * S).expect("known to all");
    let old = net.start(2, 3);
    net.run(S);
    let behind = |(_, id, c): &(Micros, usize, Change)| *id == old && *c == Change::Behind(Start(8));
    assert_eq!(net.log.iter().filter(|told| behind(told)).count(), 1, "{:?}", net.log);
}

#[test]
fn a_gap_as_long_as_the_lease_is_no_pause_and_a_longer_one_is() {
    let tuning = Tuning::for_size(3);
    for (more, pauses) in [(0, 0), (1, 1)] {
        let life = Life { name: name(0), start: Start(1) };
        let mut member = Members::new(S, life, &peers(3), 1, tuning.clone()).unwrap();
        member.tick(S + tuning.lease + more);
        assert_eq!(member.counts().pauses, pauses, "{more} us more");
    }
}

/// All that had heard of the later life are gone as well: the earlier one is told once that it may rise.
#[test]
fn one_that_nobody_knows_a_later_life_of_any_more_is_told_once() {
    let mut net = Net::settled(3, 9);
    net.kill(2);
    let later = net.start(2, 8);
    net.run(3 * S);
    let old = net.start(2, 3);
    net.run(S);
    [0, 1, later].into_iter().for_each(|id| net.kill(id));
    (0..2).for_each(|place| _ = net.start(place, 2));
    net.run(40 * S);
    let behind = |(_, id, c): &(Micros, usize, Change)| *id == old && *c == Change::Behind(Start(8));
    assert_eq!(net.log.iter().filter(|told| behind(told)).count(), 1, "{:?}", net.log);
}

/// The later life was only held for dead: once it is heard of again, its end is told anew.
#[test]
fn a_later_life_that_comes_back_and_goes_is_told_again() {
    let mut net = Net::settled(5, 9);
    net.kill(2);
    let later = net.start(2, 8);
    net.run(5 * S);
    net.pause(later);
    all_hold(&mut net, 2, Standing::Dead, 10 * S).expect("known to all");
    let old = net.start(2, 3);
    let told = |net: &Net| {
        let behind = |c: &Change| *c == Change::Behind(Start(8));
        net.log.iter().filter(|(_, id, c)| *id == old && behind(c)).count()
    };
    net.run(2 * S);
    assert_eq!(told(&net), 1);
    net.wake(later);
    net.run(10 * S);
    assert_eq!(told(&net), 1, "it lives");
    net.kill(later);
    net.run(30 * S);
    assert_eq!(told(&net), 2);
}

#[test]
fn the_same_seed_replays_exactly() {
    let run = |seed| {
        let mut net = Net::new(9, seed);
        net.loss = 50;
        net.run(5 * S);
        net.split(|place| place < 4);
        net.run(8 * S);
        net.cut.clear();
        net.kill(3);
        net.pause(5);
        net.run(8 * S);
        net.wake(5);
        net.run(5 * S);
        net.trace
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

#[test]
fn one_whose_settings_do_not_list_a_new_member_yet_goes_on_with_the_rest() {
    let mut net = Net::settled(5, 1);
    net.kill(0);
    let all = std::mem::replace(&mut net.peers, peers(4));
    let old = net.start(0, 2);
    net.peers = all;
    net.run(60 * S);
    assert_eq!(net.procs[old].members.rows().len(), 4);
    // News of the new one goes about all the time.
    for start in 2..12 {
        let last = net.procs.iter().rposition(|p| p.place == 4).unwrap();
        net.kill(last);
        net.start(4, start);
        net.run(S);
    }
    let counts = net.procs[old].members.counts();
    assert!(counts.unknown > 0, "heard of it");
    assert_eq!(counts.unsent, 0, "never tried to reach it");
    assert!(net.procs.iter().filter(|p| p.running).all(|p| net.count(p, Standing::Dead) == 0));
    let wrong =
        |c: &Change| matches!(c, Change::Standing { standing: Standing::Suspect | Standing::Dead, .. });
    assert!(!net.log.iter().any(|(_, _, c)| wrong(c)), "{:?}", net.log);
}

/// A member among four, and messages that the others sent it.
fn captured() -> (Members, Vec<(usize, Vec<u8>)>) {
    let mut all: Vec<Members> = (0..4)
        .map(|i| {
            let life = Life { name: name(i), start: Start(i as u64 + 1) };
            Members::new(0, life, &peers(4), i as u64, Tuning::for_size(4)).unwrap()
        })
        .collect();
    (0..4).for_each(|a| (0..4).for_each(|b| all[a].link(0, b, true)));
    let mut seen = Vec::new();
    for step in 0..400 {
        for from in 0..4 {
            let now = step * 10 * MS;
            all[from].tick(now);
            while let Some(output) = all[from].next_output() {
                let Output::Send(to, octets) = output else { continue };
                if to == 0 {
                    seen.push((from, octets.clone()));
                }
                // Some get lost, so that there are suspicions and indirect probes as well.
                if (step + to as i64) % 3 > 0 {
                    all[to].receive(now, from, &octets);
                }
            }
        }
    }
    (all.swap_remove(0), seen)
}

#[test]
fn junk_is_dropped_and_counted() {
    let (mut member, seen) = captured();
    assert!(seen.len() > 50);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = 10 * S;
    for round in 0..20_000 {
        let (from, mut octets) = seen[rng.random_range(0..seen.len())].clone();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..octets.len().max(1));
            match rng.random_range(0..5) {
                0 => octets.truncate(at),
                1 => octets.insert(at, rng.random()),
                2 if !octets.is_empty() => octets[at] = rng.random(),
                3 if !octets.is_empty() => octets[at] ^= 1 << rng.random_range(0..8),
                _ => octets.extend_from_within(at..),
            }
        }
        now += 1000;
        member.receive(now, if round % 7 == 0 { rng.random_range(0..9) } else { from }, &octets);
        while member.next_output().is_some() {}
        assert!(member.wake() <= now + S);
    }
    let counts = member.counts();
    assert!(counts.undecoded > 1000 && counts.misrouted > 1000, "{counts:?}");
    assert_eq!(member.rows().len(), 4);
}

#[test]
fn who_is_not_in_the_settings_is_not_learnt() {
    let (mut member, _) = captured();
    let strangers = peers(40);
    let now = 10 * S;
    for place in 4..40 {
        let life = Life { name: name(place), start: Start(1) };
        let mut stranger = Members::new(now, life, &strangers, 1, Tuning::for_size(40)).unwrap();
        stranger.link(now, 0, true);
        while let Some(output) = stranger.next_output() {
            let Output::Send(_, octets) = output else { continue };
            (0..4).for_each(|link| member.receive(now, link, &octets));
        }
    }
    assert!(member.counts().misrouted >= 36 * 4);
    assert_eq!(member.rows().len(), 4);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn octets_at_random_are_dropped(octets in proptest::collection::vec(any::<u8>(), 0..300), kind in 0u8..3, from in 0usize..4) {
        let mut member = Members::new(0, Life { name: name(0), start: Start(1) }, &peers(3), 1, Tuning::for_size(3)).unwrap();
        member.receive(1, from, &octets);
        member.receive(2, from, &[&[kind], &octets[..]].concat());
        prop_assert_eq!(member.rows().len(), 3);
    }
}
