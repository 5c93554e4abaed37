//! Where the fields of a text stand. The library that reads the text format forgets places once a text is well
//! formed; faults of meaning need them still. This only skims names and brackets; the library has read the text.

/// A field's path, as `class[1].deadline`, and its offset in bytes.
pub type Place = (String, usize);

/// The line and column of an offset, both from 1.
pub fn line_column(text: &str, offset: usize) -> (usize, usize) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
    (line, column)
}

/// All fields of a well-formed text.
pub fn fields(text: &str) -> Vec<Place> {
    let bytes = text.as_bytes();
    let mut places: Vec<Place> = Vec::new();
    // For each open message: its path, and how often each field has come in it.
    let mut open: Vec<(String, Vec<(String, usize)>)> = vec![(String::new(), Vec::new())];
    let mut last = String::new();
    let mut value = false;
    let mut i = 0;
    while i < bytes.len() {
        match bytes[i] {
            b'#' => i += text[i..].find('\n').unwrap_or(text.len() - i),
            quote @ (b'"' | b'\'') => {
                i += 1;
                while i < bytes.len() && bytes[i] != quote {
                    i += if bytes[i] == b'\\' { 2 } else { 1 };
                }
                i += 1;
                value = false;
            }
            b'{' | b'<' => {
                open.push((std::mem::take(&mut last), Vec::new()));
                value = false;
                i += 1;
            }
            b'}' | b'>' => {
                open.pop();
                if open.is_empty() {
                    return places;
                }
                value = false;
                i += 1;
            }
            b':' => {
                value = true;
                i += 1;
            }
            b'[' => {
                value = true;
                i += 1;
            }
            b']' | b',' | b';' => {
                value = false;
                i += 1;
            }
            c if c.is_ascii_alphanumeric() || matches!(c, b'_' | b'-' | b'+' | b'.') => {
                let start = i;
                while i < bytes.len() && (bytes[i].is_ascii_alphanumeric() || b"_-+.".contains(&bytes[i])) {
                    i += 1;
                }
                if value {
                    value = false;
                    continue;
                }
                let name = &text[start..i];
                let Some((parent, seen)) = open.last_mut() else { return places };
                let count = match seen.iter_mut().find(|(n, _)| n == name) {
                    Some((_, count)) => {
                        *count += 1;
                        *count
                    }
                    None => {
                        seen.push((name.to_string(), 0));
                        0
                    }
                };
                let dot = if parent.is_empty() { "" } else { "." };
                last = format!("{parent}{dot}{name}[{count}]");
                places.push((last.clone(), start));
            }
            _ => i += 1,
        }
    }
    places
}

/// The place of a path, or of the nearest message around it. Paths may leave out `[0]`.
pub fn find(places: &[Place], path: &str) -> Option<usize> {
    let full: Vec<String> =
        path.split('.').map(|p| if p.ends_with(']') { p.to_string() } else { format!("{p}[0]") }).collect();
    (1..=full.len()).rev().find_map(|n| {
        let wanted = full[..n].join(".");
        places.iter().find(|(p, _)| *p == wanted).map(|(_, offset)| *offset)
    })
}
