//! The arguments of `OUT.ADD`: those that are read, and those that are refused.

use heronroute_platform::add::Add;

fn read(id: &str, pairs: &str) -> Result<Add, &'static str> {
    Add::read(["k", id, pairs, "body"].map(|a| a.as_bytes().to_vec()).to_vec())
}

#[test]
fn what_is_wrong_is_said() {
    let a = read("9b1f", "c=notice,t=acme,d=8000,k=5c0f,dest=7,r=1,new=x").unwrap();
    assert_eq!((a.class.as_str(), a.tenant.as_str(), a.left_ms, a.dest), ("notice", "acme", 8000, 7));
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
