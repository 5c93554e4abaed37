//! The quotas of tenants: which messages exceed the quota of their tenant, and what those are worth.

use crate::state::*;

/// Seconds of its quota that a tenant may submit at once.
const BURST: f64 = 5.0;
/// Messages that a tenant may submit at once, however small its quota.
const MIN_BURST: f64 = 5.0;
/// Where there are several senders, one may receive this multiple of its even share of a tenant's traffic.
const UNEVEN_SHARE: f64 = 4.0;

impl Dispatcher {
    /// Counts a message against its tenant's quota. Returns whether the message exceeds it.
    pub(super) fn exceeds_quota(&mut self, tenant: usize) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant).map(|t| t.quota) else { return false };
        if !quota.is_finite() || quota <= 0.0 {
            return false;
        }
        let uneven = if self.settings.senders > 1 { UNEVEN_SHARE } else { 1.0 };
        let rate = quota * uneven / f64::from(self.settings.senders);
        let burst = (rate * BURST).max(MIN_BURST);
        let now = self.now;
        let allowance =
            self.allowances.entry(tenant).or_insert(Allowance { remaining: burst, refilled_at: now });
        let since = (now - allowance.refilled_at) as f64 / 1e6;
        allowance.remaining = (allowance.remaining + rate * since).min(burst);
        allowance.refilled_at = now;
        let exceeds = allowance.remaining < 1.0;
        if !exceeds {
            allowance.remaining -= 1.0;
        }
        exceeds
    }

    /// Returns the worth by which messages are kept when the buffer is full. It keeps a tenant that floods a
    /// destination beyond its quota from displacing the messages of other tenants.
    pub(super) fn shedding_worth(&self, message: &Message) -> f64 {
        let share = if message.exceeds_quota { self.settings.over_share_worth } else { 1.0 };
        share * self.worth(message, 0.0)
    }
}
