//! Tests of splitting a stream into JSON objects.

use heronroute_platform::objects::{MAX_OBJECT_BYTES, ObjectSplitter, StreamElement, StreamError};

fn split(text: &[u8], size: usize) -> (Vec<StreamElement>, Result<(), StreamError>, bool) {
    let (mut objects, mut pieces) = (ObjectSplitter::default(), Vec::new());
    for piece in text.chunks(size) {
        if let Err(e) = objects.push(piece, &mut pieces) {
            return (pieces, Err(e), objects.has_begun());
        }
    }
    (pieces, Ok(()), objects.has_begun())
}

#[test]
fn objects_are_found_by_nesting_however_split_and_indented() {
    let all = [
        r#"{"a":1}"#,
        "{\n  \"a\": {\n\n    \"b\": [{}, {\"c\": \"}\"}]\n  }\n}",
        r#"{"braces {{ in \" a text }":"\\","\\\"}":"{"}"#,
        "{}",
    ];
    let text = format!("\n {}\r\n{}{}\n\n\t{}", all[0], all[1], all[2], all[3]);
    for size in 1..text.len() {
        let (pieces, result, begun) = split(text.as_bytes(), size);
        let objects: Vec<&[u8]> = pieces
            .iter()
            .filter_map(|p| if let StreamElement::Object(o) = p { Some(&o[..]) } else { None })
            .collect();
        assert_eq!(objects, all.map(str::as_bytes), "pieces of {size}");
        let ends = pieces.iter().filter(|p| **p == StreamElement::EndOfLine).count();
        assert_eq!((ends, result, begun), (4, Ok(()), false), "line ends within an object are part of it");
    }
}

#[test]
fn a_byte_between_objects_other_than_white_space_is_an_error() {
    for text in ["}", "x", "\"", "[1]", "{} null", "{}\n,{}"] {
        let (_, result, _) = split(text.as_bytes(), 1);
        assert!(matches!(result, Err(StreamError::UnexpectedByte(_))), "{text:?}: {result:?}");
    }
    // Objects before the error are still returned.
    let (pieces, result, _) = split(b"{}}", 3);
    assert_eq!(
        (pieces, result),
        (vec![StreamElement::Object(b"{}".to_vec())], Err(StreamError::UnexpectedByte(b'}')))
    );
}

#[test]
fn the_size_of_an_object_is_bounded() {
    let mut text = vec![b' '; MAX_OBJECT_BYTES];
    text[0] = b'{';
    assert!(matches!(split(&text, 4096), (p, Ok(()), true) if p.is_empty()), "the maximum size");
    text.push(b'}');
    assert_eq!(split(&text, 4096).1, Err(StreamError::TooLong(MAX_OBJECT_BYTES)));
    text.remove(1);
    assert!(matches!(split(&text, 4096), (p, Ok(()), false) if p.len() == 1));
    // White space between objects is not buffered.
    assert!(matches!(split(&vec![b' '; MAX_OBJECT_BYTES + 9], 4096), (p, Ok(()), false) if p.is_empty()));
}
