//! A listening socket that the process inherited.
//!
//! Other processes hold the same socket: two versions of a program serve side by side at one address. So a connection
//! is accepted only when there is a place for it, and whoever stops leaves what has not been accepted to the others.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, FromRawFd, IntoRawFd};
use std::time::Duration;

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use nix::sys::socket::getsockopt;
use nix::sys::socket::sockopt::AcceptConn;

/// Descriptors below this are the standard streams.
const FIRST: u16 = 3;

/// A listening TCP socket that others may hold too.
#[derive(Debug)]
pub struct Inherited(TcpListener);

impl Inherited {
    /// Takes over the socket of this descriptor. To be called once, before there are other threads.
    ///
    /// # Errors
    /// Says in one line why it cannot be.
    pub fn take(text: &str) -> Result<Self, String> {
        let bad = |why: &str| format!("descriptor '{text}': {why}");
        let number: u16 = text.parse().map_err(|_| bad("this is no number of a descriptor"))?;
        let at = number.checked_sub(FIRST).ok_or_else(|| bad("this is a standard stream"))?;
        // The crate reads its own variable for how many descriptors from the first on were handed over.
        std::env::remove_var("LISTEN_PID");
        std::env::set_var("LISTEN_FDS", (at + 1).to_string());
        let taken = listenfd::ListenFd::from_env().take_tcp_listener(usize::from(at));
        match taken {
            Ok(Some(listener)) => {
                if !getsockopt(&listener, AcceptConn).unwrap_or(false) {
                    return Err(bad("this is no listening TCP socket"));
                }
                listener.set_nonblocking(true).map_err(|e| bad(&e.to_string()))?;
                Ok(Self(listener))
            }
            Ok(None) => Err(bad("no such descriptor was handed over")),
            Err(_) => Err(bad("this is no listening TCP socket")),
        }
    }

    /// Where it listens.
    ///
    /// # Errors
    /// The socket is of no use.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Waits for a connection, for so long at most; returns whether there may be one. Not called from a coroutine.
    ///
    /// # Errors
    /// The socket is of no use.
    pub fn waits(&self, within: Duration) -> io::Result<bool> {
        let millis = PollTimeout::try_from(within).unwrap_or(PollTimeout::MAX);
        let mut fds = [PollFd::new(self.0.as_fd(), PollFlags::POLLIN)];
        match poll(&mut fds, millis) {
            Ok(ready) => Ok(ready > 0),
            Err(nix::Error::EINTR) => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// A connection, if there is one: another process may have been first.
    ///
    /// # Errors
    /// The socket cannot be accepted from.
    pub fn accept(&self) -> io::Result<Option<may::net::TcpStream>> {
        match self.0.accept() {
            Ok((stream, _)) => Ok(Some(adopt(stream))),
            // Another process was first, or the client has left again.
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::ConnectionAborted) => {
                Ok(None)
            }
            Err(e) => Err(e),
        }
    }
}

fn adopt(stream: std::net::TcpStream) -> may::net::TcpStream {
    // SAFETY: `into_raw_fd` gives up the ownership of an open TCP socket, which `from_raw_fd` takes: it has one owner
    // before and after.
    unsafe { may::net::TcpStream::from_raw_fd(stream.into_raw_fd()) }
}

#[cfg(test)]
mod tests;
