//! Makes system calls of a process under test fail.
//!
//! As a `cdylib` it is loaded into the process by `LD_PRELOAD` and stands in front of some functions of the C library
//! (see [`mod@preload`] and [`mod@sockets`]). As an ordinary library it is the test's side: a [`Control`] names the calls that fail from now
//! on, by small files in a folder that the preloaded side reads at each call.

mod control;
#[cfg(target_os = "linux")]
mod preload;
#[cfg(target_os = "linux")]
mod sockets;

pub use control::{Call, Control, ONE_OCTET, library};

/// Environment variable with the folder of the control files.
pub const CONTROL: &str = "HERONROUTE_FAULTS_CONTROL";
/// Environment variable with the folder whose files are affected.
pub const AFFECTED: &str = "HERONROUTE_FAULTS_AFFECTED";
