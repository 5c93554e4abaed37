//! Checks, from the sources, that the imports between the engine's modules have no cycle and that modules
//! stay small.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The most lines of a module, its own tests included.
const MOST_LINES: usize = 300;

/// Collects the paths of all Rust sources below a folder.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the identifiers that follow `prefix` in code, without comments.
fn identifiers_after(text: &str, prefix: &str) -> Vec<String> {
    let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    let parts = code.flat_map(|line| line.split(prefix).skip(1).map(str::to_string).collect::<Vec<_>>());
    let word = |part: String| part.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect();
    parts.map(word).filter(|word: &String| !word.is_empty()).collect()
}

/// Returns an import cycle, if there is one.
fn find_cycle(imports: &BTreeMap<String, BTreeSet<String>>) -> Option<Vec<String>> {
    fn visit(
        module: &str,
        imports: &BTreeMap<String, BTreeSet<String>>,
        path_so_far: &mut Vec<String>,
        visited: &mut BTreeSet<String>,
    ) -> bool {
        if path_so_far.iter().any(|earlier| earlier == module) {
            path_so_far.push(module.to_string());
            return true;
        }
        if !visited.insert(module.to_string()) {
            return false;
        }
        path_so_far.push(module.to_string());
        for next in imports.get(module).into_iter().flatten() {
            if visit(next, imports, path_so_far, visited) {
                return true;
            }
        }
        path_so_far.pop();
        false
    }
    let mut visited = BTreeSet::new();
    imports.keys().find_map(|module| {
        let mut path_so_far = Vec::new();
        visit(module, imports, &mut path_so_far, &mut visited).then_some(path_so_far)
    })
}

#[test]
fn module_imports_have_no_cycle() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    collect_sources(&root, &mut files);
    let mut imports: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for file in &files {
        let text = std::fs::read_to_string(file).unwrap();
        let components: Vec<String> =
            file.strip_prefix(&root).unwrap().iter().map(|part| part.to_string_lossy().to_string()).collect();
        assert!(text.lines().count() <= MOST_LINES, "{components:?} has more than {MOST_LINES} lines");
        let own_module = components[0].trim_end_matches(".rs").to_string();
        if own_module == "lib" {
            continue;
        }
        for imported in identifiers_after(&text, "crate::") {
            // A name re-exported by `lib.rs` would hide the module that is imported.
            assert!(
                imported == "Micros" || imported.starts_with(char::is_lowercase),
                "{components:?}: crate::{imported}"
            );
            if imported != own_module && imported != "Micros" {
                imports.entry(own_module.clone()).or_default().insert(imported);
            }
        }
        // The same for imports between modules of one folder.
        if components.len() > 1 {
            let own_path = format!("{own_module}/{}", components[1].trim_end_matches(".rs"));
            let siblings = identifiers_after(&text, "super::")
                .into_iter()
                .filter(|imported| imported.starts_with(char::is_lowercase));
            let siblings = siblings
                .map(|imported| format!("{own_module}/{imported}"))
                .filter(|imported| *imported != own_path);
            imports.entry(own_path.clone()).or_default().extend(siblings);
        }
    }
    assert!(files.len() > 40 && imports.len() > 10, "too few sources were read: {}", imports.len());
    assert_eq!(find_cycle(&imports), None);
    // `node` holds the data that the following modules share, and imports none of them.
    for dependent in ["admission", "held", "delivery", "sessions", "acceptance", "restart"] {
        assert!(!imports["node"].contains(dependent), "node imports {dependent}");
    }
}

#[test]
fn a_cycle_is_found() {
    let imports = |pairs: &[(&str, &str)]| {
        let mut imports: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for (from, imported) in pairs {
            imports.entry(from.to_string()).or_default().insert(imported.to_string());
        }
        imports
    };
    assert_eq!(find_cycle(&imports(&[("a", "b"), ("b", "c"), ("a", "c")])), None);
    assert!(find_cycle(&imports(&[("a", "b"), ("b", "c"), ("c", "b")])).is_some());
    assert_eq!(identifiers_after("use crate::b::C;\n// crate::d\nx(crate::e::f())", "crate::"), ["b", "e"]);
}
