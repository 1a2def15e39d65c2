//! A listening socket inherited from a parent process.
//!
//! Several processes can share the socket, such as two versions of a program that serve the same address. Therefore a
//! process should accept a connection only when it has capacity for it; when a process stops, connections that it has
//! not accepted are left to the others.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, FromRawFd, IntoRawFd};
use std::time::Duration;

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use nix::sys::socket::getsockopt;
use nix::sys::socket::sockopt::AcceptConn;

/// Lower descriptors are the standard streams.
const FIRST_INHERITED_FD: u16 = 3;

/// A listening TCP socket that other processes may share.
#[derive(Debug)]
pub struct InheritedListener(TcpListener);

impl InheritedListener {
    /// Takes ownership of the socket with this descriptor number. Must be called once, before other threads are
    /// started, since it sets environment variables.
    ///
    /// # Errors
    /// Returns a one-line description of why the descriptor is not usable.
    pub fn take(text: &str) -> Result<Self, String> {
        let error = |cause: &str| format!("descriptor '{text}': {cause}");
        let number: u16 = text.parse().map_err(|_| error("not a descriptor number"))?;
        let offset =
            number.checked_sub(FIRST_INHERITED_FD).ok_or_else(|| error("reserved for a standard stream"))?;
        // `listenfd` reads the number of inherited descriptors from LISTEN_FDS, and checks LISTEN_PID only if it is
        // set.
        std::env::remove_var("LISTEN_PID");
        std::env::set_var("LISTEN_FDS", (offset + 1).to_string());
        let taken = listenfd::ListenFd::from_env().take_tcp_listener(usize::from(offset));
        match taken {
            Ok(Some(listener)) => {
                if !getsockopt(&listener, AcceptConn).unwrap_or(false) {
                    return Err(error("not a listening TCP socket"));
                }
                listener.set_nonblocking(true).map_err(|e| error(&e.to_string()))?;
                Ok(Self(listener))
            }
            Ok(None) => Err(error("no such descriptor was inherited")),
            Err(_) => Err(error("not a listening TCP socket")),
        }
    }

    /// The local address of the socket.
    ///
    /// # Errors
    /// Fails if the socket's address cannot be read.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Waits until a connection is pending or the timeout expires; returns whether one may be pending. Blocks the
    /// thread, so it must not be called from a coroutine.
    ///
    /// # Errors
    /// Fails if the socket cannot be polled.
    pub fn wait_for_connection(&self, timeout: Duration) -> io::Result<bool> {
        let millis = PollTimeout::try_from(timeout).unwrap_or(PollTimeout::MAX);
        let mut fds = [PollFd::new(self.0.as_fd(), PollFlags::POLLIN)];
        match poll(&mut fds, millis) {
            Ok(ready) => Ok(ready > 0),
            Err(nix::Error::EINTR) => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// Accepts a pending connection; returns `None` if there is none, such as when another process accepted it first.
    ///
    /// # Errors
    /// Fails if accepting a connection fails for another reason.
    pub fn accept(&self) -> io::Result<Option<may::net::TcpStream>> {
        match self.0.accept() {
            Ok((stream, _)) => Ok(Some(to_coroutine_stream(stream))),
            // Another process accepted the connection first, or the client has closed it.
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::ConnectionAborted) => {
                Ok(None)
            }
            Err(e) => Err(e),
        }
    }
}

fn to_coroutine_stream(stream: std::net::TcpStream) -> may::net::TcpStream {
    // SAFETY: `into_raw_fd` releases the ownership of an open TCP socket and `from_raw_fd` takes it, so the descriptor
    // has exactly one owner.
    unsafe { may::net::TcpStream::from_raw_fd(stream.into_raw_fd()) }
}

#[cfg(test)]
mod tests;
