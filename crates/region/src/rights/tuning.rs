//! Settings of leases.

use crate::Micros;

/// Settings of leases, the same at all members. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// The duration of a lease, from when it was requested. Longer than the election of another leader
    /// takes, so that sending continues meanwhile.
    pub span: Micros,
    /// The interval between two requests.
    pub ask: Micros,
    /// How much the clocks of two members may differ in rate, in thousandths; the granter extends a lease
    /// by this much.
    pub drift: Micros,
    /// How long a life must be dead before it is taken over; a member that restarts within this time
    /// finishes its work itself.
    pub dead_for: Micros,
    /// The interval between two examinations of dead members.
    pub look: Micros,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning { span: 5_000_000, ask: 500_000, drift: 50, dead_for: 3_000_000, look: 250_000 }
    }
}

impl Tuning {
    /// Returns how long the granter regards a lease as held.
    pub fn held_for(&self) -> Micros {
        self.span.saturating_add(self.span.saturating_mul(self.drift) / 1000).saturating_add(1)
    }
}
