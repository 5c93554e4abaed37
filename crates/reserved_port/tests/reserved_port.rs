//! A reserved port is the holder's alone, however often it is listened at.

use heronroute_reserved_port::ReservedPort;
use socket2::{Domain, Socket, Type};
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};

#[test]
fn a_port_is_nobody_elses_and_may_be_listened_at_again_and_again() {
    let port = ReservedPort::on_localhost().unwrap();
    let plain = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    assert_eq!(plain.bind(&port.address().into()).map_err(|e| e.kind()), Err(ErrorKind::AddrInUse));
    for _ in 0..3 {
        let refused = TcpStream::connect(port.address()).map(drop).map_err(|e| e.kind());
        assert_eq!(refused, Err(ErrorKind::ConnectionRefused));
        // As the program listens; both ends closed, the port is at rest for the system and free for it.
        let listener = TcpListener::bind(port.address()).unwrap();
        assert_eq!(port.listen().map(drop).map_err(|e| e.kind()), Err(ErrorKind::AddrInUse));
        let here = TcpStream::connect(port.address()).unwrap();
        drop((listener.accept().unwrap(), here));
    }
}

#[test]
fn a_port_that_is_listened_at_can_be_reserved_by_its_holder_only() {
    let port = ReservedPort::on_localhost().unwrap();
    let listener = port.listen().unwrap();
    let other = ReservedPort::at(port.address()).map(drop).map_err(|e| e.kind());
    assert_eq!(other, Err(ErrorKind::AddrInUse));
    drop(listener);
    let again = ReservedPort::at(port.address()).unwrap();
    assert_eq!(again.address(), port.address());
}

/// Guards against ports that are given to another socket, or to the very connection that is made to them.
#[test]
fn no_other_socket_is_given_a_reserved_port() {
    // So many that, of as many other sockets, some would be given one of these ports.
    let ports: Vec<ReservedPort> = (0..500).map(|_| ReservedPort::on_localhost().unwrap()).collect();
    let addresses: std::collections::HashSet<_> = ports.iter().map(ReservedPort::address).collect();
    assert_eq!(addresses.len(), ports.len());
    for port in &ports {
        let any = TcpListener::bind("127.0.0.1:0").unwrap();
        assert!(!addresses.contains(&any.local_addr().unwrap()));
        let refused = TcpStream::connect(port.address()).map(drop).map_err(|e| e.kind());
        assert_eq!(refused, Err(ErrorKind::ConnectionRefused));
    }
}
