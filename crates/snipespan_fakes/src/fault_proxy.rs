//! A TCP proxy between two processes that injects faults into their connections.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the buffer of each direction of a connection, in bytes.
const COPY_BYTES: usize = 65_536;

/// A fault that a proxy injects into all its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Forwards all bytes without delay.
    #[default]
    None,
    /// Waits this long before it forwards the bytes of each read.
    Delay(Duration),
    /// Holds all bytes back until the fault changes; connections stay open.
    Freeze,
    /// Closes all connections, and new ones as soon as they are accepted.
    Disconnect,
}

/// A running proxy, which stops and closes its connections when it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy for TCP connections to `target` on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (fault, rx) = watch::channel(Fault::None);
        let task = tokio::spawn(accept_connections(listener, target, rx));
        Ok(Self { address, fault, task })
    }

    /// Returns the address on which it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault, for open connections too.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections and forwards each in both directions until both have ended, or until
/// [`Fault::Disconnect`].
async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    fault: watch::Receiver<Fault>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let mut fault = fault.clone();
        tokio::spawn(async move {
            let is_disconnected = *fault.borrow() == Fault::Disconnect;
            if is_disconnected {
                return;
            }
            let Ok(server) = TcpStream::connect(target).await else { return };
            let (client_reader, client_writer) = client.into_split();
            let (server_reader, server_writer) = server.into_split();
            let requests = forward_bytes(client_reader, server_writer, fault.clone());
            let answers = forward_bytes(server_reader, client_writer, fault.clone());
            let both = async { tokio::join!(requests, answers) };
            tokio::select! {
                _ = both => {}
                () = wait_for_fault(&mut fault, Fault::Disconnect) => {}
            }
        });
    }
}

/// Waits until the fault is `wanted` or the proxy is dropped.
async fn wait_for_fault(fault: &mut watch::Receiver<Fault>, wanted: Fault) {
    let _ = fault.wait_for(|fault| *fault == wanted).await;
}

/// Waits until the fault is not [`Fault::Freeze`] or the proxy is dropped.
async fn wait_until_unfrozen(fault: &mut watch::Receiver<Fault>) {
    let _ = fault.wait_for(|fault| *fault != Fault::Freeze).await;
}

/// Forwards the bytes of one direction until it ends, and then shuts the writer down.
async fn forward_bytes(
    mut reader: impl AsyncReadExt + Unpin,
    mut writer: impl AsyncWriteExt + Unpin,
    mut fault: watch::Receiver<Fault>,
) {
    let mut buf = vec![0; COPY_BYTES];
    while let Ok(read) = reader.read(&mut buf).await {
        wait_until_unfrozen(&mut fault).await;
        let now = *fault.borrow();
        if let Fault::Delay(delay) = now {
            tokio::time::sleep(delay).await;
        }
        if read == 0 || writer.write_all(&buf[..read]).await.is_err() {
            break;
        }
    }
    let _ = writer.shutdown().await;
}
