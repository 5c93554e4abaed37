//! Versions on their way.
#![allow(dead_code)]

use crate::rig::{S, World};
use heronroute_installation::RolloutSettings;
use serde_json::Value;

/// Zones go round by three: with six, m000 is the first member and m003 its zone. `HERONROUTE_LONG=1` tries more moments.
pub fn world(seed: u64, members: usize, rollout: RolloutSettings) -> World {
    let mut world = World::new(seed, members, 3);
    world.nodes.iter_mut().for_each(|node| (node.hasty, node.rollout) = (true, rollout));
    let mut world = world.begun();
    in_line(&mut world, 30 * S);
    world
}

pub fn short() -> RolloutSettings {
    RolloutSettings { wave_for: 8 * S, ..RolloutSettings::default() }
}

pub fn moments(few: i64, many: i64) -> std::ops::Range<i64> {
    0..if std::env::var("HERONROUTE_LONG").is_ok_and(|v| v == "1") { many } else { few }
}

pub fn in_line(world: &mut World, within: i64) -> i64 {
    let took = world.until(within, World::in_line);
    world.sound();
    took.unwrap_or_else(|| panic!("not in line within {} s", within / S))
}

/// The version that each member's nodes apply for a client.
pub fn applied(world: &World, client: &str) -> Vec<u64> {
    let version = |at: usize| world.nodes[at].engine.at_home(client).map_or(0, |set| set.version);
    (0..world.nodes.len()).map(version).collect()
}

/// How often the log has brought out this version.
pub fn wave(world: &World, client: &str) -> Option<usize> {
    world.book.machine.waves().of(client)?.wave
}

pub fn shown(world: &mut World, at: usize) -> Value {
    world.answer(at, "oduya", "rules/show", "").1["rollout"].clone()
}
