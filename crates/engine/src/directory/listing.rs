//! Conversion of the platform's lists to the engine's type.

use heronroute_config::{EndpointConfig, Listing};
use heronroute_platform::catalog::{Entry, List};

/// Converts a list of the platform to a [`Listing`].
pub fn listing(list: &List) -> Listing {
    let endpoint = |e: &Entry| EndpointConfig {
        name: e.id.clone(),
        address: e.addr,
        destination: e.destination,
        kind: e.kind.clone(),
        zone: e.zone.clone(),
        weight: e.weight,
        status: e.status,
        started_ms: e.started_ms,
    };
    Listing {
        version: list.version,
        whole: list.full,
        endpoints: list.entries.iter().map(endpoint).collect(),
    }
}
