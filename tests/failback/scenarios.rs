//! The scenarios that are simulated, and their results.

use super::simulation::{Outage, S, Scenario, Simulation, SimulationResult};
use super::trace::Overload;

/// Returns the scenarios of one seed.
pub fn scenarios(seed: u64) -> Vec<Scenario> {
    let mut all = Vec::new();
    for senders in [3, 30, 350] {
        for n in [1.0, 3.0, 10.0, 100.0] {
            for outage in [Outage::Shut, Outage::Down, Outage::Hung] {
                for outage_length in [S, 3 * S, 12 * S, 30 * S] {
                    for restart in [None, Some(-S), Some(0), Some(4 * S)] {
                        for endpoints in [1, 2] {
                            all.push(Scenario {
                                seed,
                                senders,
                                n,
                                endpoints,
                                outage,
                                outage_length,
                                restart,
                                healthy: 0,
                            });
                        }
                    }
                }
            }
        }
    }
    all
}

/// Simulates the scenarios. Returns their overloads, and the number of calls served in all.
pub fn sweep(scenarios: impl Iterator<Item = Scenario>) -> (Vec<Overload>, usize) {
    let results: Vec<SimulationResult> = scenarios.map(|scenario| Simulation::new(scenario).run()).collect();
    let served = results.iter().map(|p| p.served).sum();
    (results.into_iter().filter_map(|p| p.overload).collect(), served)
}

/// The numbers of senders of the wide sweep.
pub const SENDERS: [usize; 9] = [3, 5, 10, 20, 25, 30, 100, 300, 350];
/// The loads that the destination can take in a window right after its recovery, in calls.
pub const INITIAL_LOADS: [f64; 5] = [1.0, 2.0, 5.0, 20.0, 100.0];
/// The numbers of endpoints.
pub const ENDPOINTS: [u32; 4] = [1, 2, 3, 4];
/// The kinds of outage.
pub const OUTAGES: [Outage; 3] = [Outage::Shut, Outage::Down, Outage::Hung];

/// Returns the scenarios of one seed over more sizes: up to four endpoints, more small numbers of senders,
/// and outages of 10 s among others.
pub fn wide_scenarios(seed: u64) -> Vec<Scenario> {
    let mut all = Vec::new();
    for senders in SENDERS {
        for n in INITIAL_LOADS {
            for outage in OUTAGES {
                for endpoints in ENDPOINTS {
                    for outage_length in [S, 3 * S, 10 * S, 30 * S] {
                        for restart in [None, Some(-S), Some(0), Some(4 * S)] {
                            all.push(Scenario {
                                seed,
                                senders,
                                n,
                                endpoints,
                                outage,
                                outage_length,
                                restart,
                                healthy: 0,
                            });
                        }
                    }
                }
            }
        }
    }
    all
}

/// Simulates the scenarios on `threads` threads. The results keep their order.
pub fn simulate_all(scenarios: &[Scenario], threads: usize) -> Vec<(Scenario, SimulationResult)> {
    let part = scenarios.len().div_ceil(threads).max(1);
    let simulate = |scenarios: &[Scenario]| {
        scenarios.iter().map(|scenario| (*scenario, Simulation::new(*scenario).run())).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let running: Vec<_> =
            scenarios.chunks(part).map(|scenarios| scope.spawn(move || simulate(scenarios))).collect();
        running.into_iter().flat_map(|thread| thread.join().expect("the simulation doesn't panic")).collect()
    })
}

/// Returns scenarios in which some endpoints hang and the others stay healthy.
pub fn partial_outage_scenarios(seed: u64) -> Vec<Scenario> {
    let mut all = Vec::new();
    for senders in [3, 30, 300] {
        for n in [2.0, 20.0, 100.0] {
            for (endpoints, healthy) in [(2, 1), (3, 1), (3, 2), (4, 1), (4, 2), (4, 3)] {
                for outage_length in [3 * S, 18 * S] {
                    let outage = Outage::Hung;
                    all.push(Scenario {
                        seed,
                        senders,
                        n,
                        endpoints,
                        outage,
                        outage_length,
                        restart: None,
                        healthy,
                    });
                }
            }
        }
    }
    all
}
