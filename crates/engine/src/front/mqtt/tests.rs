//! Tests of the MQTT front.

use super::*;

#[test]
fn subscriptions_are_encoded_as_notes() {
    let filters = vec![("answers/+".to_string(), 1), ("a/b".to_string(), 0)];
    let notes = write_filters(&filters);
    assert_eq!(read_filters(&notes), filters);
    for n in 0..notes.len() {
        read_filters(&notes[..n]);
    }
}
