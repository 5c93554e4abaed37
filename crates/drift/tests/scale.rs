//! Checks that the cost of an event does not grow with members × clients: 500 members and 10,000 clients with
//! HERONROUTE_LONG=1, fewer otherwise. The measured figures are printed.

mod sim;

use heronroute_drift::*;
use heronroute_fleet::{Life, Name, Standing, Start, Term};
use sim::{S, name};
use std::time::Instant;

fn digest(number: usize, version: u64) -> Digest {
    content::digest(&sim::rules((version, number as i64)).rules)
}

struct Fleet {
    detector: Detector,
    reporters: Vec<Reporter>,
    now: Micros,
}

impl Fleet {
    fn new(members: usize, clients: usize) -> Self {
        let mut config = Config::new(Name::new("k").unwrap(), [1; 32]);
        // Challenges are disabled, since nothing answers them here.
        config.challenge_every = Micros::MAX / 4;
        let mut detector = Detector::new(config);
        let mut reporters = Vec::new();
        let mut all = Reporter::new(Life { name: name(0), start: Start(1) });
        for client in 0..clients {
            let (client, digest) = (format!("client-{client}"), digest(client, 1));
            detector.desired(0, &Desired { client: client.clone(), version: 1, digest, at: 0, uncut: None });
            all.live(&client, 1, digest, None);
        }
        for member in 0..members {
            let life = Life { name: name(member), start: Start(1) };
            detector.members(0, &life, "z", Standing::Alive);
            reporters.push(Reporter::new(life));
        }
        detector.term(0, Term(1), true);
        let mut fleet = Fleet { detector, reporters, now: 0 };
        // The members' reporters hold only the few clients under test; the root comes from a reporter that
        // holds all clients.
        fleet.report_rounds(&all, 2);
        fleet
    }

    /// Lets each member report the root of `all`, and returns the sorted times of the detector in
    /// nanoseconds.
    fn report_rounds(&mut self, all: &Reporter, rounds: usize) -> Vec<u64> {
        let mut times = Vec::new();
        for _ in 0..rounds {
            self.now += 2 * S;
            self.detector.term(self.now, Term(1), true);
            for reporter in &mut self.reporters {
                let mut report = reporter.report(Health::default());
                report.root = all.tree().root();
                let from = Instant::now();
                self.detector.report(self.now, &report);
                times.push(from.elapsed().as_nanos() as u64);
                while let Some(output) = self.detector.poll() {
                    if let Output::Ack(ack) = output
                        && ack.to == report.life
                    {
                        reporter.handle_ack(&ack);
                    }
                }
            }
            self.detector.tick(self.now);
        }
        times.sort_unstable();
        times
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

fn median(times: &[u64]) -> u64 {
    times[times.len() / 2]
}

#[test]
fn report_cost_does_not_grow_with_members_and_clients() {
    let long = std::env::var("HERONROUTE_LONG").is_ok();
    let full = if long { (500, 10_000) } else { (100, 2_000) };
    let mut figures = Vec::new();
    for (members, clients) in [(10, 100), full] {
        let before = resident_kib();
        let mut all = Reporter::new(Life { name: name(0), start: Start(1) });
        (0..clients).for_each(|client| all.live(&format!("client-{client}"), 1, digest(client, 1), None));
        let mut fleet = Fleet::new(members, clients);
        let at_rest = median(&fleet.report_rounds(&all, 20));
        let used_kib = resident_kib().saturating_sub(before);
        // One client gets a new version, which is applied everywhere.
        let mut changes = Vec::new();
        let mut approvals = Vec::new();
        for version in 2..12 {
            let from = Instant::now();
            let (client, digest) = ("client-7".to_owned(), digest(7, version));
            let desired = Desired { client: client.clone(), version, digest, at: fleet.now, uncut: None };
            fleet.detector.desired(fleet.now, &desired);
            approvals.push(from.elapsed().as_nanos() as u64);
            all.live(&client, version, digest, None);
            for reporter in &mut fleet.reporters {
                reporter.live(&client, version, digest, None);
            }
            changes.push(median(&fleet.report_rounds(&all, 1)));
            let in_line = fleet.detector.view(fleet.now).members;
            assert!(in_line.iter().all(|line| line.verdict == Verdict::InLine));
        }
        approvals.sort_unstable();
        changes.sort_unstable();
        // Every member differs in 40 clients in its own way, which is the most expensive kind of report.
        let mut differ = Vec::new();
        for member in 0..members.min(50) {
            let mut report = fleet.reporters[member].report(Health::default());
            report.root = [member as u8; 32];
            report.clients = (0..40)
                .map(|client| AppliedRules {
                    client: format!("client-{client}"),
                    version: 1,
                    digest: digest(client, 99 + member as u64),
                    problem: None,
                    partly: None,
                })
                .collect();
            let from = Instant::now();
            fleet.detector.report(fleet.now, &report);
            differ.push(from.elapsed().as_nanos() as u64);
            while fleet.detector.poll().is_some() {}
        }
        differ.sort_unstable();
        let figure = (at_rest, median(&changes), median(&differ), median(&approvals));
        println!(
            "{members} members, {clients} clients: a report at rest {} ns, after a change {} ns, with 40 clients \
             altered {} ns; an approval {} ns; {used_kib} KiB resident with one full reporter",
            figure.0, figure.1, figure.2, figure.3
        );
        figures.push(figure);
    }
    let [small, large] = figures[..] else { panic!() };
    // The larger case has 200 times as many members × clients, or 5,000 times with HERONROUTE_LONG. The bound
    // is wide because other work may run on the machine.
    assert!(large.0 < small.0 * 8 + 20_000, "{small:?} {large:?}");
    assert!(large.1 < small.1 * 8 + 20_000, "{small:?} {large:?}");
}
