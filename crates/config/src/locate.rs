//! Finds the positions of fields in a text.
//!
//! The text format library keeps no positions after it has parsed a well-formed text, but validation errors
//! need them. This module only scans names and brackets, as the library has parsed the text already.

/// The path of a field, such as `class[1].deadline`, and its offset in bytes.
pub type FieldPosition = (String, usize);

/// Returns the line and column of an offset, both from 1.
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

/// Returns the positions of all fields of a well-formed text.
pub fn field_positions(text: &str) -> Vec<FieldPosition> {
    let bytes = text.as_bytes();
    let mut positions: Vec<FieldPosition> = Vec::new();
    // For each open message: its path, and the last index of each field in it.
    let mut open_messages: Vec<(String, Vec<(String, usize)>)> = vec![(String::new(), Vec::new())];
    let mut last_path = String::new();
    let mut expects_value = false;
    let mut pos = 0;
    while pos < bytes.len() {
        match bytes[pos] {
            b'#' => pos += text[pos..].find('\n').unwrap_or(text.len() - pos),
            quote @ (b'"' | b'\'') => {
                pos += 1;
                while pos < bytes.len() && bytes[pos] != quote {
                    pos += if bytes[pos] == b'\\' { 2 } else { 1 };
                }
                pos += 1;
                expects_value = false;
            }
            b'{' | b'<' => {
                open_messages.push((std::mem::take(&mut last_path), Vec::new()));
                expects_value = false;
                pos += 1;
            }
            b'}' | b'>' => {
                open_messages.pop();
                if open_messages.is_empty() {
                    return positions;
                }
                expects_value = false;
                pos += 1;
            }
            b':' => {
                expects_value = true;
                pos += 1;
            }
            b'[' => {
                expects_value = true;
                pos += 1;
            }
            b']' | b',' | b';' => {
                expects_value = false;
                pos += 1;
            }
            c if c.is_ascii_alphanumeric() || matches!(c, b'_' | b'-' | b'+' | b'.') => {
                let start = pos;
                while pos < bytes.len()
                    && (bytes[pos].is_ascii_alphanumeric() || b"_-+.".contains(&bytes[pos]))
                {
                    pos += 1;
                }
                if expects_value {
                    expects_value = false;
                    continue;
                }
                let name = &text[start..pos];
                let Some((parent, seen_fields)) = open_messages.last_mut() else { return positions };
                let count = match seen_fields.iter_mut().find(|(n, _)| n == name) {
                    Some((_, count)) => {
                        *count += 1;
                        *count
                    }
                    None => {
                        seen_fields.push((name.to_string(), 0));
                        0
                    }
                };
                let dot = if parent.is_empty() { "" } else { "." };
                last_path = format!("{parent}{dot}{name}[{count}]");
                positions.push((last_path.clone(), start));
            }
            _ => pos += 1,
        }
    }
    positions
}

/// Returns the offset of a path, or of the nearest enclosing message. Paths may leave out `[0]`.
pub fn find_offset(positions: &[FieldPosition], path: &str) -> Option<usize> {
    let full_path: Vec<String> =
        path.split('.').map(|p| if p.ends_with(']') { p.to_string() } else { format!("{p}[0]") }).collect();
    (1..=full_path.len()).rev().find_map(|n| {
        let wanted = full_path[..n].join(".");
        positions.iter().find(|(p, _)| *p == wanted).map(|(_, offset)| *offset)
    })
}
