//! Functions of the C library that fail where a control file says so. They make the system call themselves, so that
//! nothing of the C library is called again from within.

use crate::control::{Call, WALL_CLOCK};
use crate::{AFFECTED, CONTROL};
use libc::{c_char, c_int, c_long, c_void, clockid_t, mode_t, off_t, size_t, ssize_t, timespec};
use std::ffi::CStr;
use std::os::unix::ffi::OsStrExt;
use std::path::PathBuf;
use std::sync::OnceLock;

/// Octets of a path or a control file that are read, at most.
const BUFFER: usize = 4_096;

/// The folders named by the environment, read once.
struct Folders {
    control: Vec<u8>,
    affected: Vec<u8>,
}

fn folders() -> Option<&'static Folders> {
    static FOLDERS: OnceLock<Option<Folders>> = OnceLock::new();
    let read = || {
        let folder =
            |name: &str| std::env::var_os(name).map(|f| PathBuf::from(f).as_os_str().as_bytes().to_vec());
        Some(Folders { control: folder(CONTROL)?, affected: folder(AFFECTED)? })
    };
    FOLDERS.get_or_init(read).as_ref()
}

/// The path of a file in the control folder, for the system.
fn control_path(name: &str) -> Option<Vec<u8>> {
    Some([folders()?.control.as_slice(), b"/", name.as_bytes(), b"\0"].concat())
}

/// Makes an empty file in the control folder.
pub(crate) fn mark(name: &str) {
    let Some(path) = control_path(name) else { return };
    // SAFETY: the path ends with a zero octet.
    unsafe {
        let file = libc::syscall(
            libc::SYS_openat,
            libc::AT_FDCWD,
            path.as_ptr(),
            libc::O_CREAT | libc::O_WRONLY | libc::O_CLOEXEC,
            0o600,
        );
        libc::syscall(libc::SYS_close, file);
    }
}

/// The number in a control file, if there is one.
pub(crate) fn control(name: &str) -> Option<i64> {
    let path = control_path(name)?;
    let mut text = [0_u8; 32];
    // SAFETY: the path ends with a zero octet, and the buffer is as long as is said.
    let length = unsafe {
        let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDONLY);
        if file < 0 {
            return None;
        }
        let length = libc::syscall(libc::SYS_read, file, text.as_mut_ptr(), text.len());
        libc::syscall(libc::SYS_close, file);
        length
    };
    std::str::from_utf8(text.get(..usize::try_from(length).ok()?)?).ok()?.trim().parse().ok()
}

fn is_affected(path: &[u8]) -> bool {
    folders().is_some_and(|f| path.starts_with(&f.affected))
}

fn is_affected_file(file: c_int) -> bool {
    let link = format!("/proc/self/fd/{file}\0");
    let mut path = [0_u8; BUFFER];
    // SAFETY: the path ends with a zero octet, and the buffer is as long as is said.
    let length = unsafe {
        libc::syscall(libc::SYS_readlinkat, libc::AT_FDCWD, link.as_ptr(), path.as_mut_ptr(), path.len())
    };
    usize::try_from(length).is_ok_and(|length| is_affected(&path[..length]))
}

/// # Safety
/// `path` is a string of the C library's kind, as its caller promises.
unsafe fn is_affected_path(path: *const c_char) -> bool {
    // SAFETY: as above.
    is_affected(unsafe { CStr::from_ptr(path) }.to_bytes())
}

fn set_errno(errno: i64) {
    // SAFETY: the place of the thread's own error number.
    unsafe { *libc::__errno_location() = errno as c_int }
}

/// The error number with which a call on a file fails now.
fn fault_on_file(call: Call, file: c_int) -> Option<i64> {
    control(call.name()).filter(|_| is_affected_file(file))
}

/// Fails a call with an error number.
pub(crate) fn failed(errno: i64) -> c_long {
    set_errno(errno);
    -1
}

/// See `write(2)`.
///
/// # Safety
/// As for `write(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, octets: *const c_void, length: size_t) -> ssize_t {
    if let Some(errno) = fault_on_file(Call::Write, file) {
        return failed(errno) as ssize_t;
    }
    if let Some(errno) = fault_on_file(Call::HalfWrite, file) {
        if length < 2 {
            return failed(errno) as ssize_t;
        }
        // SAFETY: half of what the caller promises.
        return unsafe { libc::syscall(libc::SYS_write, file, octets, length / 2) as ssize_t };
    }
    // SAFETY: as the caller promises.
    unsafe { libc::syscall(libc::SYS_write, file, octets, length) as ssize_t }
}

/// See `read(2)`.
///
/// # Safety
/// As for `read(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(file: c_int, octets: *mut c_void, length: size_t) -> ssize_t {
    if let Some(errno) = fault_on_file(Call::Read, file) {
        return failed(errno) as ssize_t;
    }
    // SAFETY: as the caller promises.
    unsafe { libc::syscall(libc::SYS_read, file, octets, length) as ssize_t }
}

/// See `readdir(3)`. The stream belongs to the C library, whose own function reads it.
///
/// # Safety
/// As for `readdir(3)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn readdir64(folder: *mut libc::DIR) -> *mut libc::dirent64 {
    type ReadDir = unsafe extern "C" fn(*mut libc::DIR) -> *mut libc::dirent64;
    // The caller tells the end of a folder from an error by the error number, which must be left as it is.
    // SAFETY: the place of the thread's own error number.
    let errno = unsafe { *libc::__errno_location() };
    if let Some(errno) = control(Call::List.name()) {
        set_errno(errno);
        return std::ptr::null_mut();
    }
    set_errno(i64::from(errno));
    // SAFETY: the name ends with a zero octet, and what bears it has this type.
    let next: Option<ReadDir> =
        unsafe { std::mem::transmute(libc::dlsym(libc::RTLD_NEXT, c"readdir64".as_ptr())) };
    // SAFETY: as the caller promises.
    next.map_or(std::ptr::null_mut(), |next| unsafe { next(folder) })
}

/// See `fsync(2)`.
#[unsafe(no_mangle)]
pub extern "C" fn fsync(file: c_int) -> c_int {
    match fault_on_file(Call::Sync, file) {
        Some(errno) => failed(errno) as c_int,
        // SAFETY: a number alone.
        None => unsafe { libc::syscall(libc::SYS_fsync, file) as c_int },
    }
}

/// See `fdatasync(2)`.
#[unsafe(no_mangle)]
pub extern "C" fn fdatasync(file: c_int) -> c_int {
    match fault_on_file(Call::Sync, file) {
        Some(errno) => failed(errno) as c_int,
        // SAFETY: a number alone.
        None => unsafe { libc::syscall(libc::SYS_fdatasync, file) as c_int },
    }
}

/// See `ftruncate(2)`.
#[unsafe(no_mangle)]
pub extern "C" fn ftruncate64(file: c_int, length: off_t) -> c_int {
    match fault_on_file(Call::Truncate, file) {
        Some(errno) => failed(errno) as c_int,
        // SAFETY: numbers alone.
        None => unsafe { libc::syscall(libc::SYS_ftruncate, file, length) as c_int },
    }
}

/// See `open(2)`.
///
/// # Safety
/// As for `open(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let writes = flags & (libc::O_WRONLY | libc::O_RDWR | libc::O_CREAT) != 0;
    let call = if writes { Call::Create } else { Call::Open };
    // SAFETY: as the caller promises.
    if unsafe { is_affected_path(path) }
        && let Some(errno) = control(call.name())
    {
        return failed(errno) as c_int;
    }
    // SAFETY: as the caller promises.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int }
}

/// See `rename(2)`.
///
/// # Safety
/// As for `rename(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: as the caller promises.
    if unsafe { is_affected_path(from) }
        && let Some(errno) = control(Call::Rename.name())
    {
        return failed(errno) as c_int;
    }
    // SAFETY: as the caller promises.
    unsafe { libc::syscall(libc::SYS_renameat2, libc::AT_FDCWD, from, libc::AT_FDCWD, to, 0) as c_int }
}

/// See `unlink(2)`.
///
/// # Safety
/// As for `unlink(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    // SAFETY: as the caller promises.
    if unsafe { is_affected_path(path) }
        && let Some(errno) = control(Call::Remove.name())
    {
        return failed(errno) as c_int;
    }
    // SAFETY: as the caller promises.
    unsafe { libc::syscall(libc::SYS_unlinkat, libc::AT_FDCWD, path, 0) as c_int }
}

/// See `clock_gettime(2)`: the wall clock is ahead by what its control file says.
///
/// # Safety
/// As for `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: as the caller promises.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    if result == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(ahead) = control(WALL_CLOCK)
    {
        // SAFETY: the system has just written it.
        unsafe { (*time).tv_sec += ahead / 1_000_000 };
    }
    result
}
