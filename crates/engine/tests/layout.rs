//! The engine's modules import each other one way: read from the sources.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Lines of a module at most, its own tests included.
const MOST_LINES: usize = 300;

fn sources(folder: &Path, into: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, into);
        } else if path.extension().is_some_and(|e| e == "rs") {
            into.push(path);
        }
    }
}

/// Words that follow `prefix` in code, comments left out.
fn named(text: &str, prefix: &str) -> Vec<String> {
    let code = text.lines().filter(|l| !l.trim_start().starts_with("//"));
    let parts = code.flat_map(|l| l.split(prefix).skip(1).map(str::to_string).collect::<Vec<_>>());
    let word = |p: String| p.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect();
    parts.map(word).filter(|w: &String| !w.is_empty()).collect()
}

/// A way round from a module to itself, if there is one.
fn circle(arrows: &BTreeMap<String, BTreeSet<String>>) -> Option<Vec<String>> {
    fn walk(
        at: &str,
        arrows: &BTreeMap<String, BTreeSet<String>>,
        way: &mut Vec<String>,
        done: &mut BTreeSet<String>,
    ) -> bool {
        if way.iter().any(|w| w == at) {
            way.push(at.to_string());
            return true;
        }
        if !done.insert(at.to_string()) {
            return false;
        }
        way.push(at.to_string());
        for next in arrows.get(at).into_iter().flatten() {
            if walk(next, arrows, way, done) {
                return true;
            }
        }
        way.pop();
        false
    }
    let mut done = BTreeSet::new();
    arrows.keys().find_map(|m| {
        let mut way = Vec::new();
        walk(m, arrows, &mut way, &mut done).then_some(way)
    })
}

#[test]
fn modules_import_one_way() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    sources(&root, &mut files);
    let mut arrows: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for file in &files {
        let text = std::fs::read_to_string(file).unwrap();
        let inside: Vec<String> =
            file.strip_prefix(&root).unwrap().iter().map(|p| p.to_string_lossy().to_string()).collect();
        assert!(text.lines().count() <= MOST_LINES, "{inside:?} has more than {MOST_LINES} lines");
        let own = inside[0].trim_end_matches(".rs").to_string();
        if own == "lib" {
            continue;
        }
        for to in named(&text, "crate::") {
            // What `lib.rs` hands on would hide where an arrow leads.
            assert!(to == "Micros" || to.starts_with(char::is_lowercase), "{inside:?}: crate::{to}");
            if to != own && to != "Micros" {
                arrows.entry(own.clone()).or_default().insert(to);
            }
        }
        // Beside each other in a folder likewise.
        if inside.len() > 1 {
            let beside = format!("{own}/{}", inside[1].trim_end_matches(".rs"));
            let near = named(&text, "super::").into_iter().filter(|to| to.starts_with(char::is_lowercase));
            let near = near.map(|to| format!("{own}/{to}")).filter(|to| *to != beside);
            arrows.entry(beside.clone()).or_default().extend(near);
        }
    }
    assert!(files.len() > 40 && arrows.len() > 10, "sources were read: {}", arrows.len());
    assert_eq!(circle(&arrows), None);
    // The data that the acting modules share imports none of them.
    for acting in ["admission", "held", "delivery", "sessions", "acceptance", "restart"] {
        assert!(!arrows["node"].contains(acting), "node imports {acting}");
    }
}

#[test]
fn a_circle_is_found() {
    let arrows = |list: &[(&str, &str)]| {
        let mut all: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for (from, to) in list {
            all.entry(from.to_string()).or_default().insert(to.to_string());
        }
        all
    };
    assert_eq!(circle(&arrows(&[("a", "b"), ("b", "c"), ("a", "c")])), None);
    assert!(circle(&arrows(&[("a", "b"), ("b", "c"), ("c", "b")])).is_some());
    assert_eq!(named("use crate::b::C;\n// crate::d\nx(crate::e::f())", "crate::"), ["b", "e"]);
}
