//! The TCP transport for ureq, which runs the check of [`CallControl`] before the
//! first byte of each call.

use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

use crate::call::CallControl;

/// Opens connections to upstreams by IP address.
#[derive(Debug, Default)]
pub(crate) struct UpstreamConnector;

impl Connector<()> for UpstreamConnector {
    type Out = UpstreamTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        _chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let Some(addr) = details.addrs.first() else {
            return Err(Error::HostNotFound);
        };
        let stream = match details.timeout.not_zero() {
            Some(limit) => TcpStream::connect_timeout(addr, *limit),
            None => TcpStream::connect(addr),
        };
        let stream = stream.map_err(|e| timeout_or_io(e, details.timeout))?;
        stream.set_nodelay(true)?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(UpstreamTransport {
            stream: Arc::new(stream),
            buffers,
            read_timeout: None,
            write_timeout: None,
        }))
    }
}

/// One connection to an upstream.
pub(crate) struct UpstreamTransport {
    stream: Arc<TcpStream>,
    buffers: LazyBuffers,
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
}

impl Transport for UpstreamTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let limit = timeout.not_zero().map(|d| *d);
        if limit != self.write_timeout {
            self.stream.set_write_timeout(limit)?;
            self.write_timeout = limit;
        }
        let call = CallControl::current();
        if call.is_some_and(|call| !call.begin_send(&self.stream)) {
            return Err(Error::Io(io::Error::from(ErrorKind::Interrupted)));
        }
        let output = &self.buffers.output()[..amount];
        (&*self.stream)
            .write_all(output)
            .map_err(|e| timeout_or_io(e, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let limit = timeout.not_zero().map(|d| *d);
        if limit != self.read_timeout {
            self.stream.set_read_timeout(limit)?;
            self.read_timeout = limit;
        }
        let input = self.buffers.input_append_buf();
        let amount =
            read_uninterrupted(&self.stream, input).map_err(|e| timeout_or_io(e, timeout))?;
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    fn is_open(&mut self) -> bool {
        is_idle(&self.stream).unwrap_or(false)
    }
}

impl fmt::Debug for UpstreamTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamTransport")
            .field("addr", &self.stream.peer_addr().ok())
            .finish()
    }
}

fn read_uninterrupted(mut stream: &TcpStream, buf: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buf) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Reports whether a pooled connection is still open and has no unread data.
fn is_idle(mut stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let mut byte = [0];
    let has_no_data = matches!(stream.read(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false)?;
    Ok(has_no_data)
}

fn timeout_or_io(error: io::Error, timeout: NextTimeout) -> Error {
    match error.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => Error::Timeout(timeout.reason),
        _ => Error::Io(error),
    }
}
