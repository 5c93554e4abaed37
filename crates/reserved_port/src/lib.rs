//! A TCP port that the system assigns to no other socket for as long as it is reserved, so that a process under
//! test can listen there, stop, and listen again.
//!
//! To bind a port, close it and bind it again later loses it at times: another socket that asks for any port may
//! be given it in between, and a connection to it may be given it as its own source port and so connect to itself.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// The maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// A reserved port: a socket is bound to it and does not listen, so that connections are refused.
///
/// A listener with SO_REUSEADDR, as the listeners of the standard library and of mio have it, may be bound to it
/// meanwhile. This holds on Linux.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves any port of 127.0.0.1.
    ///
    /// # Errors
    /// If the system has no free port or no descriptor.
    pub fn on_localhost() -> io::Result<Self> {
        ReservedPort::on(Ipv4Addr::LOCALHOST.into())
    }

    /// Reserves any port of an address.
    ///
    /// # Errors
    /// If the system has no free port or no descriptor, or does not have the address.
    pub fn on(address: IpAddr) -> io::Result<Self> {
        ReservedPort::at(SocketAddr::new(address, 0))
    }

    /// Reserves a port of an address, or any port for port 0. Several reservations of one port may be held.
    ///
    /// # Errors
    /// If another socket listens there, or as for [`Self::on`].
    pub fn at(address: SocketAddr) -> io::Result<Self> {
        let socket = bind(address)?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort { address, _socket: socket })
    }

    /// Returns the address with the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens at the port.
    ///
    /// # Errors
    /// If another socket listens there, or if there is no descriptor.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = bind(self.address)?;
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    }
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
