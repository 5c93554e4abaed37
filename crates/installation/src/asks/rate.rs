//! Rate limits of `rules/check`: each one costs the senders of all members thousands of lookups, so a client
//! or member that asks as fast as it can must not take that time from deliveries.

use crate::Micros;
use crate::limits;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;

/// A rate with a burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// The number per second.
    pub per_second: u32,
    /// The number at once after a rest.
    pub burst: u32,
}

impl Rate {
    /// Returns when the budget would be full again after one more request, which may be at most `burst`
    /// requests ahead.
    ///
    /// # Errors
    /// Returns how long to wait.
    fn take_one(self, now: Micros, full_at: Micros) -> Result<Micros, Micros> {
        let one = SECOND / Micros::from(self.per_second.max(1));
        let next = full_at.max(now).saturating_add(one);
        let wait = next - now - one * Micros::from(self.burst.max(1));
        if wait > 0 { Err(wait) } else { Ok(next) }
    }
}

/// The budgets of this process. Each is one time: when it is full again.
#[derive(Debug, Default)]
pub struct Rates {
    /// The budget of its clients together.
    process: Micros,
    /// The budget of each client. Full ones are forgotten first, and as all together are bounded, few are not
    /// full.
    clients: BTreeMap<String, Micros>,
    /// The budget of other members together.
    others: Micros,
    /// The budget of each other member, by its index: as many as the settings name.
    peers: BTreeMap<usize, Micros>,
}

impl Rates {
    /// Takes one request of a client from its budget.
    ///
    /// # Errors
    /// Returns how long to wait, if the client or all clients together exceed their rate. Nothing is taken
    /// then.
    pub fn client(&mut self, now: Micros, client: &str) -> Result<(), Micros> {
        let full_at = self.clients.get(client).copied().unwrap_or(Micros::MIN);
        let (client_budget, all) = (
            limits::CLIENT_CHECK_RATE.take_one(now, full_at),
            limits::PROCESS_CHECK_RATE.take_one(now, self.process),
        );
        let (client_budget, all) = both(client_budget, all)?;
        if self.clients.len() >= limits::MAX_CHECK_BUDGETS {
            self.clients.retain(|_, full_at| *full_at > now);
        }
        self.clients.insert(client.to_owned(), client_budget);
        self.process = all;
        Ok(())
    }

    /// Takes one request of another member from its budget. Returns whether it is answered; the other member
    /// stops waiting after its own timeout otherwise.
    pub fn peer(&mut self, now: Micros, peer: usize) -> bool {
        let full_at = self.peers.get(&peer).copied().unwrap_or(Micros::MIN);
        let (one, all) = (
            limits::MEMBER_DRY_RUN_RATE.take_one(now, full_at),
            limits::TOTAL_DRY_RUN_RATE.take_one(now, self.others),
        );
        let Ok((one, all)) = both(one, all) else { return false };
        self.peers.insert(peer, one);
        self.others = all;
        true
    }
}

fn both(a: Result<Micros, Micros>, b: Result<Micros, Micros>) -> Result<(Micros, Micros), Micros> {
    match (a, b) {
        (Ok(a), Ok(b)) => Ok((a, b)),
        (a, b) => Err(a.err().unwrap_or(0).max(b.err().unwrap_or(0))),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    #[test]
    fn rates_are_kept_and_a_client_that_waits_is_served() {
        for seed in 0..50 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let (mut rates, mut now) = (Rates::default(), 0);
            let mut served: Vec<(Micros, usize)> = Vec::new();
            for _ in 0..2_000 {
                now += rng.random_range(0..30_000);
                let client_number = rng.random_range(0..12);
                match rates.client(now, &client_number.to_string()) {
                    Ok(()) => served.push((now, client_number)),
                    Err(wait) => {
                        assert!(wait > 0, "seed {seed}");
                        assert_eq!(
                            rates.client(now, &client_number.to_string()),
                            Err(wait),
                            "seed {seed}: a refusal takes nothing"
                        );
                        if rng.random_bool(0.1) {
                            now += wait;
                            assert_eq!(rates.client(now, &client_number.to_string()), Ok(()), "seed {seed}");
                            served.push((now, client_number));
                        }
                    }
                }
            }
            let check = |rate: Rate, includes: &dyn Fn(usize) -> bool| {
                let of: Vec<Micros> = served
                    .iter()
                    .filter(|(_, client_number)| includes(*client_number))
                    .map(|(at, _)| *at)
                    .collect();
                for (first, from) in of.iter().enumerate() {
                    for (n, to) in of.iter().enumerate().skip(first) {
                        let allowed =
                            i64::from(rate.burst) + (to - from) * i64::from(rate.per_second) / SECOND;
                        assert!((n - first + 1) as i64 <= allowed, "seed {seed}: {from} to {to}");
                    }
                }
            };
            check(limits::PROCESS_CHECK_RATE, &|_| true);
            (0..12).for_each(|client| {
                check(limits::CLIENT_CHECK_RATE, &|client_number| client_number == client)
            });
            assert!(rates.clients.len() <= limits::MAX_CHECK_BUDGETS);
        }
    }

    #[test]
    fn budgets_of_many_clients_are_bounded() {
        let mut rates = Rates::default();
        for n in 0..10_000 {
            assert_eq!(rates.client(n * SECOND, &n.to_string()), Ok(()));
            assert!(rates.clients.len() <= limits::MAX_CHECK_BUDGETS);
        }
    }

    #[test]
    fn a_member_that_floods_leaves_others_their_rate() {
        let mut rates = Rates::default();
        let accepted = (0..1_000).filter(|_| rates.peer(0, 1)).count();
        assert_eq!(accepted, limits::MEMBER_DRY_RUN_RATE.burst as usize);
        assert!(rates.peer(0, 2));
        let all = (0..1_000).filter(|n| rates.peer(0, 3 + n % 50)).count();
        assert_eq!(
            all + accepted + 1,
            limits::TOTAL_DRY_RUN_RATE.burst as usize,
            "all members together have a rate too"
        );
        assert!(!rates.peer(0, 99) && rates.peer(SECOND, 99));
        // A member that gets no other requests answers all that a process may send at its own rate.
        const { assert!(limits::MEMBER_DRY_RUN_RATE.per_second >= limits::PROCESS_CHECK_RATE.per_second) }
        const { assert!(limits::MEMBER_DRY_RUN_RATE.burst >= limits::PROCESS_CHECK_RATE.burst) }
    }
}
