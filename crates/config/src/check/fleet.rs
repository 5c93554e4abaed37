//! Validates the installation that this process is a member of.

use super::checker::Checker;
use super::types::{FleetConfig, MemberConfig, RolloutConfig};
use crate::raw;
use crate::units::{format_duration, parse_duration};
use heronroute::Micros;
use std::collections::BTreeSet;

const MAX_MEMBERS: usize = 500;
const MAX_NAME_LENGTH: usize = 32;
/// Larger than the error of a clock that is set by hand, and small enough that sums of times don't overflow.
const MAX_CLOCK_OFFSET: Micros = 24 * 3_600_000_000;

const SECOND: Micros = 1_000_000;
/// Long enough for a lost member to be detected before its wave is reported as late.
const MIN_WAVE_TIME: Micros = 5 * SECOND;
const MAX_WAVE_TIME: Micros = 3_600 * SECOND;
const MAX_SOAK_TIME: Micros = 600 * SECOND;

pub fn fleet(check: &mut Checker, fleet: &raw::Fleet) -> Option<FleetConfig> {
    check.name("fleet.id", &fleet.id, 64, &mut BTreeSet::new());
    for (path, text) in [("fleet.folder", &fleet.folder), ("fleet.key_file", &fleet.key_file)] {
        if text.is_empty() {
            check.report(path, "it must be given");
        }
    }
    let listen = check.address("fleet.listen", &fleet.listen);
    let members = members(check, &fleet.member);
    let rollout = rollout(check, fleet.rollout.as_ref());
    let own = fleet.member.iter().position(|member| member.name == fleet.self_);
    if own.is_none() {
        check.report("fleet.self", format!("\"{}\" is none of the members", fleet.self_));
    }
    Some(FleetConfig {
        id: fleet.id.clone(),
        own: own?,
        listen: listen?,
        folder: fleet.folder.clone(),
        key_file: fleet.key_file.clone(),
        members,
        clock_ahead: clock_ahead(check, &fleet.clock_ahead),
        rollout,
        regions: None,
    })
}

/// Parses a duration with an optional minus sign.
fn clock_ahead(check: &mut Checker, text: &str) -> Micros {
    let (sign, duration) = text.strip_prefix('-').map_or((1, text), |duration| (-1, duration));
    match parse_duration(duration) {
        _ if text.is_empty() => return 0,
        Ok(duration) if duration <= MAX_CLOCK_OFFSET => return sign * duration,
        Ok(_) => check.report(
            "fleet.clock_ahead",
            format!("\"{text}\" is more than {}", format_duration(MAX_CLOCK_OFFSET)),
        ),
        Err(e) => check.report("fleet.clock_ahead", e),
    }
    0
}

fn rollout(check: &mut Checker, given: Option<&raw::Rollout>) -> RolloutConfig {
    let none = raw::Rollout::default();
    let rollout = given.unwrap_or(&none);
    RolloutConfig {
        waves: rollout.waves.unwrap_or(true),
        soak: check.duration_within("fleet.rollout.soak", &rollout.soak, SECOND, 0, MAX_SOAK_TIME),
        wave_for: check.duration_within(
            "fleet.rollout.wave_for",
            &rollout.wave_for,
            30 * SECOND,
            MIN_WAVE_TIME,
            MAX_WAVE_TIME,
        ),
        back: rollout.back.unwrap_or(true),
    }
}

/// Returns the members with a valid address, in order, and reports all errors.
fn members(check: &mut Checker, members: &[raw::Member]) -> Vec<MemberConfig> {
    // With two members the loss of either one loses the majority, so a second keeper makes the installation
    // less available.
    if members.len() == 2 || !(1..=MAX_MEMBERS).contains(&members.len()) {
        check.report("fleet.member", format!("{} members: 1, or 3 to {MAX_MEMBERS}", members.len()));
    }
    let keepers = members.iter().filter(|member| member.keeper).count();
    if !matches!(keepers, 1 | 3 | 5) {
        check.report("fleet.member", format!("{keepers} of them are keepers: 1, 3 or 5"));
    }
    let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    let mut list = Vec::new();
    for (i, member) in members.iter().enumerate() {
        let path = |field: &str| format!("fleet.member[{i}].{field}");
        if !is_name(&member.name) {
            check.report(
                &path("name"),
                format!("\"{}\" is not a name: 1 to {MAX_NAME_LENGTH} of a-z, 0-9 and -", member.name),
            );
        } else if !names.insert(&member.name) {
            check.report(&path("name"), format!("\"{}\" is used more than once", member.name));
        }
        check.name(&path("zone"), &member.zone, 64, &mut BTreeSet::new());
        let Some(address) = check.address(&path("address"), &member.address) else { continue };
        if !addresses.insert(address) {
            check.report(&path("address"), format!("\"{}\" is another member's", member.address));
        }
        list.push(MemberConfig {
            name: member.name.clone(),
            address,
            zone: member.zone.clone(),
            keeper: member.keeper,
        });
    }
    list
}

/// Returns whether a text is a valid `heronroute_fleet::Name`. This crate doesn't depend on that one.
pub fn is_name(text: &str) -> bool {
    let fits = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=MAX_NAME_LENGTH).contains(&text.len()) && text.bytes().all(fits)
}
