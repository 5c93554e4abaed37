//! Rollouts as JSON, as shown to clients and operators.

use crate::waves::{Rollout, Stop, WAVES, Waves};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Returns a client's rollout, if there is one under way or the last one stopped.
pub fn of(waves: &Waves, client: &str) -> Option<Value> {
    let rollout = waves.of(client).map(running_json);
    rollout.or_else(|| waves.stop(client).map(stopped_json))
}

/// Returns all rollouts by client, each with the client's name. A client has one: a new version removes what
/// is shown of a stopped one.
pub fn all(waves: &Waves) -> BTreeMap<String, Value> {
    let rollouts = waves.all().map(|(client, rollout)| (client, running_json(rollout)));
    let stops = waves.stops().map(|(client, stop)| (client, stopped_json(stop)));
    let named = |(client, mut value): (&String, Value)| {
        if let Some(object) = value.as_object_mut() {
            object.insert("client".into(), client.as_str().into());
        }
        (client.clone(), value)
    };
    rollouts.chain(stops).map(named).collect()
}

fn running_json(rollout: &Rollout) -> Value {
    let state = if rollout.halted.is_some() { "stopped" } else { "running" };
    let mut value = json!({
        "version": rollout.version,
        "state": state,
        "wave": rollout.wave.map_or(0, |wave| wave + 1),
        "waves": WAVES,
    });
    if let (Some(why), Some(object)) = (&rollout.halted, value.as_object_mut()) {
        object.insert("why".into(), why.as_str().into());
    }
    value
}

fn stopped_json(stop: &Stop) -> Value {
    json!({ "version": stop.version, "state": "stopped", "why": stop.why, "back": stop.back })
}
