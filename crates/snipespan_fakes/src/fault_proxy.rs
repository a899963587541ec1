//! A TCP proxy between two processes that injects faults into their connections.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use eyre::Result;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::sync::lock;

/// Delay before another try to listen again at an address.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(50);

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
    /// Forwards at most this many bytes a second in each direction of a connection.
    Narrow(u32),
    /// Holds all bytes back until the fault changes; connections stay open.
    Freeze,
    /// Resets all connections, and closes new ones as soon as they are accepted.
    Disconnect,
    /// Resets all connections and listens no more, as after the end of the process behind it.
    Down,
    /// Closes all connections in order and listens no more, as after the end of a process that had
    /// read all that it was sent.
    Closed,
}

/// A running proxy, which stops and closes its connections when it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
    /// Number of times that the open connections were silenced.
    silences: watch::Sender<u32>,
    target: Arc<Mutex<SocketAddr>>,
    callers: Callers,
    task: JoinHandle<()>,
}

/// The faults of a proxy, as its connections follow them.
#[derive(Clone, Debug)]
struct Faults {
    fault: watch::Receiver<Fault>,
    silences: watch::Receiver<u32>,
}

/// Address of the caller of each open connection, by the proxy's own address towards the target.
type Callers = Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>;

impl FaultProxy {
    /// Starts a proxy for TCP connections to `target` on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        Self::start_at(IpAddr::V4(Ipv4Addr::LOCALHOST), target).await
    }

    /// Starts a proxy for TCP connections to `target` on a free port of `ip`.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start_at(ip: IpAddr, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (fault, fault_rx) = watch::channel(Fault::None);
        let (silences, silences_rx) = watch::channel(0);
        let faults = Faults { fault: fault_rx, silences: silences_rx };
        let callers = Callers::default();
        let target = Arc::new(Mutex::new(target));
        let running = run_proxy(listener, Arc::clone(&target), faults, Arc::clone(&callers));
        let task = tokio::spawn(running);
        Ok(Self { address, fault, silences, target, callers, task })
    }

    /// Returns the address of the caller whose open connection the target sees as one from `own`.
    pub fn caller_of(&self, own: SocketAddr) -> Option<SocketAddr> {
        lock(&self.callers).get(&own).copied()
    }

    /// Returns the address on which it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.target) = target;
    }

    /// Sets the fault, for open connections too.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Holds back all bytes of the connections that are open now, for good; later ones work.
    pub fn silence_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections; listens no more while the fault is [`Fault::Down`].
async fn run_proxy(
    mut listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    mut faults: Faults,
    callers: Callers,
) {
    let Ok(address) = listener.local_addr() else { return };
    loop {
        let mut down = faults.fault.clone();
        tokio::select! {
            () = accept_connections(&listener, &target, &faults, &callers) => return,
            () = wait_until(&mut down, is_down) => drop(listener),
        }
        wait_until(&mut faults.fault, |fault| !is_down(fault)).await;
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(e) => log::warn!("the proxy at {address} could not listen again: {e}"),
            }
            tokio::time::sleep(LISTEN_RETRY_DELAY).await;
        };
    }
}

/// Accepts connections and forwards each in both directions until both have ended, or until the
/// fault resets it.
async fn accept_connections(
    listener: &TcpListener,
    target: &Mutex<SocketAddr>,
    faults: &Faults,
    callers: &Callers,
) {
    while let Ok((client, caller)) = listener.accept().await {
        let faults = faults.clone();
        let callers = Arc::clone(callers);
        let target = *lock(target);
        tokio::spawn(async move {
            if ends_connections(*faults.fault.borrow()) {
                return;
            }
            let Ok(server) = TcpStream::connect(target).await else { return };
            let own = server.local_addr().ok();
            if let Some(own) = own {
                lock(&callers).insert(own, caller);
            }
            forward_connection(client, server, faults).await;
            if let Some(own) = own {
                lock(&callers).remove(&own);
            }
        });
    }
}

async fn forward_connection(mut client: TcpStream, mut server: TcpStream, mut faults: Faults) {
    let ending = faults.fault.clone();
    let is_ended_by_fault = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let requests = forward_bytes(client_reader, server_writer, faults.clone());
        let answers = forward_bytes(server_reader, client_writer, faults.clone());
        tokio::select! {
            _ = async { tokio::join!(requests, answers) } => false,
            () = wait_until(&mut faults.fault, ends_connections) => true,
        }
    };
    if is_ended_by_fault && *ending.borrow() != Fault::Closed {
        // An orderly close would look like the end of an answer that has no length.
        for stream in [client, server] {
            if let Err(e) = stream.set_zero_linger() {
                log::debug!("a connection of the proxy is closed, not reset: {e}");
            }
        }
    }
}

const fn ends_connections(fault: Fault) -> bool {
    matches!(fault, Fault::Disconnect | Fault::Down | Fault::Closed)
}

const fn is_down(fault: Fault) -> bool {
    matches!(fault, Fault::Down | Fault::Closed)
}

/// Waits until the fault fulfils the condition or the proxy is dropped.
async fn wait_until(fault: &mut watch::Receiver<Fault>, condition: fn(Fault) -> bool) {
    let _ = fault.wait_for(|fault| condition(*fault)).await;
}

/// Forwards the bytes of one direction until it ends, and then shuts the writer down.
async fn forward_bytes(
    mut reader: impl AsyncReadExt + Unpin,
    mut writer: impl AsyncWriteExt + Unpin,
    mut faults: Faults,
) {
    let opened_at = *faults.silences.borrow();
    let mut buf = vec![0; COPY_BYTES];
    while let Ok(read) = reader.read(&mut buf).await {
        wait_until(&mut faults.fault, |fault| fault != Fault::Freeze).await;
        if *faults.silences.borrow() != opened_at {
            std::future::pending::<()>().await;
        }
        let now = *faults.fault.borrow();
        match now {
            Fault::Delay(delay) => tokio::time::sleep(delay).await,
            Fault::Narrow(rate) => {
                let seconds = read as f64 / f64::from(rate.max(1));
                tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
            }
            Fault::None | Fault::Freeze | Fault::Disconnect | Fault::Down | Fault::Closed => {}
        }
        if read == 0 || writer.write_all(&buf[..read]).await.is_err() {
            break;
        }
    }
    let _ = writer.shutdown().await;
}
