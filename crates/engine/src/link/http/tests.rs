//! Tests of the HTTP link.

use super::*;
use heronroute_config::Protocol;

#[test]
fn unrequested_bytes_close_the_connection() {
    let (name, path) = ("k".to_string(), "/m".to_string());
    let kind = KindConfig {
        name,
        protocol: Protocol::Http,
        batch: 1,
        window: 8,
        system_id: String::new(),
        password: String::new(),
        path: path.clone(),
        probe_path: path,
    };
    for stray in ["H", "HTTP/1.1 503 No\r\ncontent-le", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"] {
        let (mut stream, mut events) = (Stream::default(), Vec::new());
        let mut link = HttpLink::new(&kind, "h:1".into(), 0);
        link.probe(0, &mut stream);
        link.receive(0, b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", &mut stream, &mut events);
        assert!(matches!(events[..], [LinkEvent::Probed(_)]), "{events:?}");
        link.receive(0, stray.as_bytes(), &mut stream, &mut events);
        assert!(
            matches!(events[..], [LinkEvent::Probed(_), LinkEvent::Unusable(_)]),
            "{stray:?}: {events:?}"
        );
    }
}
