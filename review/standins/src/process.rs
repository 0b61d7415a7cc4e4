//! Child processes, which end with the program that started them.

use std::{
    io,
    os::unix::process::CommandExt,
    process::{Child, Command},
};

pub const HUP: i32 = 1;

const KILL: u64 = 9;
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Starts a process that is killed when this program ends.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let end_with_parent = || {
        // Sets an attribute of the new process only.
        let set = unsafe { prctl(SET_PARENT_DEATH_SIGNAL, KILL) };
        if set == 0 {
            Ok(())
        } else {
            Err(io::Error::last_os_error())
        }
    };
    // The closure makes one system call and allocates nothing.
    unsafe { command.pre_exec(end_with_parent) };
    command.spawn()
}

/// Sends a signal to a process that this program started.
pub fn signal(child: &Child, signal: i32) {
    // The child hasn't been waited for, so that its id is still its own.
    unsafe { kill(child.id() as i32, signal) };
}
