//! Tables of overloads, by size.

use super::scenarios::{ENDPOINTS, INITIAL_LOADS, OUTAGES, SENDERS};
use super::simulation::{Scenario, SimulationResult};
use super::trace::{Overload, describe};

/// Number of sizes with the most overloads whose windows are printed.
const WORST: usize = 10;
/// The scenarios of each size, with their results.
type Cells<'a> = Vec<(String, Vec<&'a (Scenario, SimulationResult)>)>;

fn overloads<'a>(scenarios: &[&'a (Scenario, SimulationResult)]) -> Vec<&'a Overload> {
    scenarios.iter().filter_map(|(_, results)| results.overload.as_ref()).collect()
}

fn line(name: &str, scenarios: &[&(Scenario, SimulationResult)]) -> String {
    let uninformed = scenarios.iter().filter(|(_, p)| p.uninformed_overload && p.overload.is_none()).count();
    let served: usize = scenarios.iter().map(|(_, p)| p.served_after_recovery).sum();
    format!("| {name} | {} | {} | {uninformed} | {served} |", scenarios.len(), overloads(scenarios).len())
}

fn by(
    name: &str,
    results: &[(Scenario, SimulationResult)],
    key: impl Fn(&Scenario) -> String,
    keys: &[String],
) {
    println!(
        "\n| {name} | scenarios | overloads | uninformed overloads | served after recovery |\n| --- | --- | --- | --- | --- |"
    );
    for value in keys {
        let scenarios: Vec<_> = results.iter().filter(|(scenario, _)| key(scenario) == *value).collect();
        println!("{}", line(value, &scenarios));
    }
}

/// Prints the overloads of one kind of outage, with a row for each number of senders and a column for each N
/// and number of endpoints.
fn grid(outage: super::simulation::Outage, results: &[(Scenario, SimulationResult)]) {
    let across: Vec<(f64, u32)> =
        INITIAL_LOADS.iter().flat_map(|n| ENDPOINTS.map(|endpoints| (*n, endpoints))).collect();
    let head: Vec<String> = across.iter().map(|(n, endpoints)| format!("{n}/{endpoints}")).collect();
    println!("\n{outage:?}, overloads, by N / endpoints\n| senders | {} |", head.join(" | "));
    println!("| --- |{}", " --- |".repeat(across.len()));
    for senders in SENDERS {
        let of = |n: f64, endpoints: u32| {
            let same =
                |d: &Scenario| (d.outage, d.senders, d.n, d.endpoints) == (outage, senders, n, endpoints);
            results.iter().filter(|(scenario, p)| same(scenario) && p.overload.is_some()).count().to_string()
        };
        let row: Vec<String> = across.iter().map(|(n, endpoints)| of(*n, *endpoints)).collect();
        println!("| {senders} | {} |", row.join(" | "));
    }
}

/// Prints the calls served while some endpoints hang and others are healthy.
pub fn print_partial_outages(results: &[(Scenario, SimulationResult)]) {
    println!("\n| hung of endpoints | served meanwhile, 3 senders | 30 | 300 |\n| --- | --- | --- | --- |");
    for (endpoints, healthy) in [(2, 1), (3, 2), (3, 1), (4, 3), (4, 2), (4, 1)] {
        let served = [3, 30, 300].map(|senders| {
            let same = |d: &Scenario| (d.endpoints, d.healthy, d.senders) == (endpoints, healthy, senders);
            let scenarios = results.iter().filter(|(scenario, _)| same(scenario));
            scenarios.map(|(_, p)| p.served_during_outage).sum::<usize>().to_string()
        });
        println!("| {} of {endpoints} | {} |", endpoints - healthy, served.join(" | "));
    }
}

/// Prints the overloads by size, and the sizes with the most.
pub fn print(results: &[(Scenario, SimulationResult)]) {
    let all: Vec<_> = results.iter().collect();
    println!("{}", line("all", &all));
    for outage in OUTAGES {
        grid(outage, results);
    }
    let texts = |of: Vec<String>| of;
    by("outage", results, |d| format!("{:?}", d.outage), &texts(OUTAGES.map(|o| format!("{o:?}")).to_vec()));
    by("senders", results, |d| d.senders.to_string(), &SENDERS.map(|s| s.to_string()));
    by("N", results, |d| d.n.to_string(), &INITIAL_LOADS.map(|n| n.to_string()));
    by("endpoints", results, |d| d.endpoints.to_string(), &ENDPOINTS.map(|w| w.to_string()));
    let mut outage_lengths: Vec<String> = Vec::new();
    let mut restarts: Vec<String> = Vec::new();
    for (scenario, _) in results {
        for (known, value) in
            [(&mut outage_lengths, outage_length(scenario)), (&mut restarts, restart(scenario))]
        {
            if !known.contains(&value) {
                known.push(value);
            }
        }
    }
    by("outage of", results, outage_length, &outage_lengths);
    by("restart", results, restart, &restarts);
    worst(results);
}

fn outage_length(scenario: &Scenario) -> String {
    format!("{} s", scenario.outage_length / 1_000_000)
}

fn restart(scenario: &Scenario) -> String {
    scenario.restart.map_or("none".into(), |at| format!("{} s", at / 1_000_000))
}

fn worst(results: &[(Scenario, SimulationResult)]) {
    let mut cells: Cells = Vec::new();
    for one in results {
        let scenario = one.0;
        let name = format!(
            "{} senders, {:?}, N {}, {} endpoints",
            scenario.senders, scenario.outage, scenario.n, scenario.endpoints
        );
        match cells.iter_mut().find(|(known, _)| *known == name) {
            Some((_, scenarios)) => scenarios.push(one),
            None => cells.push((name, vec![one])),
        }
    }
    cells.sort_by_key(|(_, scenarios)| std::cmp::Reverse(overloads(scenarios).len()));
    for (name, scenarios) in cells.iter().take(WORST) {
        let overloads = overloads(scenarios);
        println!("\n{name}: {} of {} scenarios failed", overloads.len(), scenarios.len());
        if let Some(first) = overloads.first() {
            println!("{first:?}\n{}", describe(&overloads));
        }
    }
}
