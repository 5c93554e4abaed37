//! Functions of the C library for sockets that fail where a control file says so, as in [`crate::preload`].

use crate::control::{Call, ONE_OCTET};
use crate::preload::{control, failed, mark};
use libc::{c_int, c_void, epoll_event, size_t, sockaddr, socklen_t, ssize_t};
use std::sync::atomic::{AtomicU64, Ordering};

/// The error number with which a call fails now. A call that is interrupted succeeds when it is made again.
fn fault(call: Call) -> Option<i64> {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let errno = control(call.name())?;
    let interrupts = errno == i64::from(libc::EINTR);
    let is_second = CALLS.fetch_add(1, Ordering::Relaxed) % 2 == 1;
    let fails = !interrupts || is_second;
    if fails {
        mark(&call.met_name());
    }
    fails.then_some(errno)
}

/// See `accept4(2)`.
///
/// # Safety
/// As for `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(errno) = fault(Call::Accept) {
        return failed(errno) as c_int;
    }
    // SAFETY: as the caller promises.
    unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int }
}

/// See `connect(2)`.
///
/// # Safety
/// As for `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(errno) = fault(Call::Connect) {
        return failed(errno) as c_int;
    }
    // SAFETY: as the caller promises.
    unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as c_int }
}

/// See `socket(2)`.
#[unsafe(no_mangle)]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(errno) = fault(Call::Socket) {
        return failed(errno) as c_int;
    }
    // SAFETY: numbers alone.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// How many octets a call may move now, or the error number with which it fails.
fn allowed(call: Call, length: size_t) -> Result<size_t, i64> {
    match fault(call) {
        None => Ok(length),
        Some(errno) if errno == i64::from(ONE_OCTET) => Ok(length.min(1)),
        Some(errno) => Err(errno),
    }
}

/// See `recv(2)`.
///
/// # Safety
/// As for `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, octets: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match allowed(Call::Receive, length) {
        Ok(length) => length,
        Err(errno) => return failed(errno) as ssize_t,
    };
    let (no_address, no_length) = (std::ptr::null_mut::<sockaddr>(), std::ptr::null_mut::<socklen_t>());
    // SAFETY: as the caller promises, or less of it.
    unsafe {
        libc::syscall(libc::SYS_recvfrom, socket, octets, length, flags, no_address, no_length) as ssize_t
    }
}

/// See `send(2)`.
///
/// # Safety
/// As for `send(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, octets: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match allowed(Call::Send, length) {
        Ok(length) => length,
        Err(errno) => return failed(errno) as ssize_t,
    };
    let no_address = std::ptr::null::<sockaddr>();
    // SAFETY: as the caller promises, or less of it.
    unsafe { libc::syscall(libc::SYS_sendto, socket, octets, length, flags, no_address, 0) as ssize_t }
}

/// See `epoll_wait(2)`.
///
/// # Safety
/// As for `epoll_wait(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(errno) = fault(Call::Wait) {
        return failed(errno) as c_int;
    }
    let no_signals = std::ptr::null::<c_void>();
    // SAFETY: as the caller promises; the set of signals is left as it is.
    unsafe { libc::syscall(libc::SYS_epoll_pwait, epoll, events, most, timeout, no_signals, 8) as c_int }
}

/// See `epoll_ctl(2)`.
///
/// # Safety
/// As for `epoll_ctl(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(epoll: c_int, what: c_int, file: c_int, event: *mut epoll_event) -> c_int {
    if let Some(errno) = fault(Call::Watch) {
        return failed(errno) as c_int;
    }
    // SAFETY: as the caller promises.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, epoll, what, file, event) as c_int }
}
