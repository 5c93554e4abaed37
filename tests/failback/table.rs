//! Tables of what fell, by size.

use super::days::{BEARS, OUTAGES, SENDERS, WAYS};
use super::trace::{Fall, tally};
use super::world::{Day, Played};

/// Worst cells whose windows are shown.
const WORST: usize = 10;
/// Falls of one size as days of the same size are counted.
type Cells<'a> = Vec<(String, Vec<&'a (Day, Played)>)>;

fn falls<'a>(days: &[&'a (Day, Played)]) -> Vec<&'a Fall> {
    days.iter().filter_map(|(_, played)| played.fall.as_ref()).collect()
}

fn line(name: &str, days: &[&(Day, Played)]) -> String {
    let untold = days.iter().filter(|(_, p)| p.fell_untold && p.fall.is_none()).count();
    let served: usize = days.iter().map(|(_, p)| p.served_back).sum();
    format!("| {name} | {} | {} | {untold} | {served} |", days.len(), falls(days).len())
}

fn by(name: &str, played: &[(Day, Played)], key: impl Fn(&Day) -> String, keys: &[String]) {
    println!(
        "\n| {name} | days | fell | over, untold | served after the return |\n| --- | --- | --- | --- | --- |"
    );
    for value in keys {
        let days: Vec<_> = played.iter().filter(|(day, _)| key(day) == *value).collect();
        println!("{}", line(value, &days));
    }
}

/// Falls of one outage kind with senders down and N by endpoints across.
fn grid(outage: super::world::Outage, played: &[(Day, Played)]) {
    let across: Vec<(f64, u32)> = BEARS.iter().flat_map(|n| WAYS.map(|ways| (*n, ways))).collect();
    let head: Vec<String> = across.iter().map(|(n, ways)| format!("{n}/{ways}")).collect();
    println!("\n{outage:?}, fell, by N / endpoints\n| senders | {} |", head.join(" | "));
    println!("| --- |{}", " --- |".repeat(across.len()));
    for senders in SENDERS {
        let of = |n: f64, ways: u32| {
            let same = |d: &Day| (d.outage, d.senders, d.n, d.ways) == (outage, senders, n, ways);
            played.iter().filter(|(day, p)| same(day) && p.fall.is_some()).count().to_string()
        };
        let row: Vec<String> = across.iter().map(|(n, ways)| of(*n, *ways)).collect();
        println!("| {senders} | {} |", row.join(" | "));
    }
}

/// Served while some endpoints hang and others are well.
pub fn print_half_well(played: &[(Day, Played)]) {
    println!("\n| hung of endpoints | served meanwhile, 3 senders | 30 | 300 |\n| --- | --- | --- | --- |");
    for (ways, well) in [(2, 1), (3, 2), (3, 1), (4, 3), (4, 2), (4, 1)] {
        let served = [3, 30, 300].map(|senders| {
            let same = |d: &Day| (d.ways, d.well, d.senders) == (ways, well, senders);
            let days = played.iter().filter(|(day, _)| same(day));
            days.map(|(_, p)| p.served_out).sum::<usize>().to_string()
        });
        println!("| {} of {ways} | {} |", ways - well, served.join(" | "));
    }
}

/// Falls by all sizes, and the worst cells.
pub fn print(played: &[(Day, Played)]) {
    let all: Vec<_> = played.iter().collect();
    println!("{}", line("all", &all));
    for outage in OUTAGES {
        grid(outage, played);
    }
    let texts = |of: Vec<String>| of;
    by("outage", played, |d| format!("{:?}", d.outage), &texts(OUTAGES.map(|o| format!("{o:?}")).to_vec()));
    by("senders", played, |d| d.senders.to_string(), &SENDERS.map(|s| s.to_string()));
    by("N", played, |d| d.n.to_string(), &BEARS.map(|n| n.to_string()));
    by("endpoints", played, |d| d.ways.to_string(), &WAYS.map(|w| w.to_string()));
    let mut ages: Vec<String> = Vec::new();
    let mut restarts: Vec<String> = Vec::new();
    for (day, _) in played {
        for (known, value) in [(&mut ages, age(day)), (&mut restarts, restart(day))] {
            if !known.contains(&value) {
                known.push(value);
            }
        }
    }
    by("outage of", played, age, &ages);
    by("restart", played, restart, &restarts);
    worst(played);
}

fn age(day: &Day) -> String {
    format!("{} s", day.age / 1_000_000)
}

fn restart(day: &Day) -> String {
    day.restart.map_or("none".into(), |at| format!("{} s", at / 1_000_000))
}

fn worst(played: &[(Day, Played)]) {
    let mut cells: Cells = Vec::new();
    for one in played {
        let day = one.0;
        let name = format!("{} senders, {:?}, N {}, {} endpoints", day.senders, day.outage, day.n, day.ways);
        match cells.iter_mut().find(|(known, _)| *known == name) {
            Some((_, days)) => days.push(one),
            None => cells.push((name, vec![one])),
        }
    }
    cells.sort_by_key(|(_, days)| std::cmp::Reverse(falls(days).len()));
    for (name, days) in cells.iter().take(WORST) {
        let fell = falls(days);
        println!("\n{name}: {} of {} days fell", fell.len(), days.len());
        if let Some(first) = fell.first() {
            println!("{first:?}\n{}", tally(&fell));
        }
    }
}
