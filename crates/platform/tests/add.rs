//! Tests of the arguments of `OUT.ADD`: which are accepted, and which are rejected.

use heronroute_platform::add::{Add, AddError};

fn read(id: &str, pairs: &str) -> Result<Add, AddError> {
    Add::read(["k", id, pairs, "body"].map(|a| a.as_bytes().to_vec()).to_vec())
}

#[test]
fn invalid_arguments_are_rejected() {
    let a = read("9b1f", "c=notice,t=acme,d=8000,k=5c0f,dest=7,r=1,new=x").unwrap();
    assert_eq!((a.class.as_str(), a.tenant.as_str(), a.time_left_ms, a.dest), ("notice", "acme", 8000, 7));
    assert_eq!((a.key.as_deref(), a.again, a.body.as_slice()), (Some("5c0f"), true, b"body".as_slice()));
    for (id, pairs) in [
        ("", "c=n,t=a,d=8,dest=7"),
        ("a\r\nb", "c=n,t=a,d=8,dest=7"),
        ("a", "c=n,t=a,d=soon,dest=7"),
        ("a", "c=n,t=a,d=-8,dest=7"),
        ("a", "c=n,t=a,d=0,dest=7"),
        ("a", "c=n,t=a,dest=7"),
        ("a", "c=n,t=a,d=8"),
        ("a", "c=n,t=a,d=8,dest=x"),
        ("a", "c=n,t=a,d=8,dest=7,k="),
        ("a", "junk"),
        ("a", ""),
    ] {
        assert!(read(id, pairs).is_err(), "{id:?} {pairs:?}");
    }
    assert!(Add::read(vec![b"k".to_vec()]).is_err());
}

#[test]
fn each_error_has_the_text_that_clients_receive() {
    for (id, pairs, text) in [
        ("", "d=8,dest=7", "the id can't be read"),
        ("a", "junk", "a name without a value"),
        ("a", "d=soon,dest=7", "the deadline is no number"),
        ("a", "d=8,dest=x", "the destination is no number"),
        ("a", "d=8,dest=7,k=", "the idempotency key can't be read"),
        ("a", "d=0,dest=7", "a deadline is wanted"),
        ("a", "d=8", "a destination is wanted"),
    ] {
        assert_eq!(read(id, pairs).unwrap_err().to_string(), text, "{id:?} {pairs:?}");
    }
    let error = Add::read(vec![b"k".to_vec()]).unwrap_err();
    assert_eq!(error.to_string(), "OUT.ADD takes a key, an id, names and values, and a body");
    let not_utf8 = ["k", "a", "", "body"].map(|a| a.as_bytes().to_vec());
    let [key, id, _, body] = not_utf8;
    let error = Add::read(vec![key, id, vec![0xff], body]).unwrap_err();
    assert_eq!(error.to_string(), "names and values are no text");
}
