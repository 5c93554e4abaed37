//! JSON objects cut out of a stream.

use heronroute_platform::objects::{MOST_OBJECT, Objects, Piece, Spoilt};

fn cut(text: &[u8], size: usize) -> (Vec<Piece>, Result<(), Spoilt>, bool) {
    let (mut objects, mut pieces) = (Objects::default(), Vec::new());
    for piece in text.chunks(size) {
        if let Err(e) = objects.push(piece, &mut pieces) {
            return (pieces, Err(e), objects.has_begun());
        }
    }
    (pieces, Ok(()), objects.has_begun())
}

#[test]
fn objects_are_cut_by_nesting_however_split_and_written() {
    let all = [
        r#"{"a":1}"#,
        "{\n  \"a\": {\n\n    \"b\": [{}, {\"c\": \"}\"}]\n  }\n}",
        r#"{"braces {{ in \" a text }":"\\","\\\"}":"{"}"#,
        "{}",
    ];
    let text = format!("\n {}\r\n{}{}\n\n\t{}", all[0], all[1], all[2], all[3]);
    for size in 1..text.len() {
        let (pieces, result, begun) = cut(text.as_bytes(), size);
        let objects: Vec<&[u8]> = pieces
            .iter()
            .filter_map(|p| if let Piece::Object(o) = p { Some(&o[..]) } else { None })
            .collect();
        assert_eq!(objects, all.map(str::as_bytes), "pieces of {size}");
        let ends = pieces.iter().filter(|p| **p == Piece::EndOfLine).count();
        assert_eq!((ends, result, begun), (4, Ok(()), false), "line ends within an object are its own");
    }
}

#[test]
fn what_lies_between_objects_spoils_the_stream() {
    for text in ["}", "x", "\"", "[1]", "{} null", "{}\n,{}"] {
        let (_, result, _) = cut(text.as_bytes(), 1);
        assert!(matches!(result, Err(Spoilt::Stray(_))), "{text:?}: {result:?}");
    }
    // What was whole before is still given.
    let (pieces, result, _) = cut(b"{}}", 3);
    assert_eq!((pieces, result), (vec![Piece::Object(b"{}".to_vec())], Err(Spoilt::Stray(b'}'))));
}

#[test]
fn an_object_that_never_ends_is_bounded() {
    let mut text = vec![b' '; MOST_OBJECT];
    text[0] = b'{';
    assert!(matches!(cut(&text, 4096), (p, Ok(()), true) if p.is_empty()), "as long as it may be");
    text.push(b'}');
    assert_eq!(cut(&text, 4096).1, Err(Spoilt::TooLong));
    text.remove(1);
    assert!(matches!(cut(&text, 4096), (p, Ok(()), false) if p.len() == 1));
    // And white space between objects is not kept.
    assert!(matches!(cut(&vec![b' '; MOST_OBJECT + 9], 4096), (p, Ok(()), false) if p.is_empty()));
}
