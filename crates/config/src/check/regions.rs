//! Validates the regions of members, and the classes that have to be durable in both regions.

use super::checker::Checker;
use super::fleet::is_name;
use super::types::{Copies, RegionsConfig};
use crate::raw;
use heronroute::Micros;
use std::collections::BTreeSet;

const SECOND: Micros = 1_000_000;
const MIB: u64 = 1 << 20;
/// Long enough for a member to renew its right to send several times over links that lose messages.
const MIN_RIGHT: Micros = SECOND / 2;
const MAX_RIGHT: Micros = 60 * SECOND;
const MAX_GONE: Micros = 600 * SECOND;
const MIN_LAG: Micros = SECOND / 20;
const MAX_LAG: Micros = 60 * SECOND;

pub fn regions(check: &mut Checker, raw: &raw::File) -> Option<RegionsConfig> {
    let given = raw.fleet.as_ref().and_then(|f| f.regions.as_ref());
    let members = raw.fleet.as_ref().map_or(&[][..], |f| &f.member);
    let classes = classes(check, &raw.class, given.is_some());
    let Some(given) = given else {
        for (i, member) in members.iter().enumerate().filter(|(_, member)| !member.region.is_empty()) {
            let path = format!("fleet.member[{i}].region");
            check.report(&path, format!("\"{}\": there is no `regions` that it is one of", member.region));
        }
        return None;
    };
    let mut region_names = BTreeSet::new();
    for (i, member) in members.iter().enumerate() {
        if is_name(&member.region) {
            region_names.insert(&member.region);
        } else {
            let path = format!("fleet.member[{i}].region");
            check.report(&path, format!("\"{}\" is not a region: 1 to 32 of a-z, 0-9 and -", member.region));
        }
    }
    if region_names.len() == 1 {
        check.report("fleet.regions", "all members are in one region: at least two regions are required");
    }
    if raw.journal.as_ref().is_none_or(|j| j.folder.is_empty()) {
        check.report("fleet.regions", "there is no journal that could be copied");
    }
    if given.folder.is_empty() {
        check.report("fleet.regions.folder", "it must be given");
    }
    Some(RegionsConfig {
        of: members.iter().map(|member| member.region.clone()).collect(),
        right: check.duration_within("fleet.regions.right", &given.right, 3 * SECOND, MIN_RIGHT, MAX_RIGHT),
        gone: check.duration_within("fleet.regions.gone", &given.gone, 2 * SECOND, 0, MAX_GONE),
        lag: check.duration_within("fleet.regions.lag", &given.lag, SECOND, MIN_LAG, MAX_LAG),
        folder: given.folder.clone(),
        most_disk: check.size("fleet.regions.most_disk", &given.most_disk, 1024 * MIB, 16 * MIB),
        classes,
    })
}

fn classes(check: &mut Checker, classes: &[raw::Class], regions: bool) -> Vec<Copies> {
    let one = |(i, class): (usize, &raw::Class)| {
        let copies = match class.copies.as_str() {
            "" | "local" => Copies::Local,
            "both" => Copies::Both,
            "both_or_local" => Copies::BothOrLocal,
            other => {
                let what = format!("\"{other}\" is none of \"local\", \"both\" and \"both_or_local\"");
                check.report(&format!("class[{i}].copies"), what);
                Copies::Local
            }
        };
        if copies != Copies::Local && !regions {
            check.report(&format!("class[{i}].copies"), "there are no regions to have copies in");
        }
        copies
    };
    classes.iter().enumerate().map(one).collect()
}
