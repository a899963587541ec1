//! Loopback addresses that one run of the soak has for itself.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use eyre::Result;
use eyre::bail;

/// Number of blocks; the first one is 127.64.0.0/24.
const BLOCKS: u32 = 1 << 14;

/// Port that a run holds on the first address of its block. It and the ports of gateways lie below
/// the range from which the system chooses ports.
const GUARD_PORT: u16 = 20_000;

/// Maximum number of gateways: the addresses of a block without 0, 255 and those of the fakes.
pub const MAX_GATEWAYS: usize = 252;

/// Addresses of a gateway; it has the same ones after a restart.
#[derive(Clone, Copy, Debug)]
pub struct GatewayAddresses {
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address for other gateways.
    pub peers: SocketAddr,
}

/// A block of 256 loopback addresses, claimed until it is dropped.
#[derive(Debug)]
pub struct AddressBlock {
    network: [u8; 3],
    _guard: TcpListener,
}

impl AddressBlock {
    /// Claims a block that no other run has, and in which none of the first `gateways` gateways is
    /// left over from a run that was killed.
    ///
    /// # Errors
    /// When all blocks are claimed, or the guard port cannot be bound for another reason.
    pub fn claim(gateways: usize) -> Result<Self> {
        for offset in 0..BLOCKS {
            let block = (std::process::id() + offset) % BLOCKS;
            let network = [127, 64 + (block >> 8) as u8, block as u8];
            match TcpListener::bind((first_address(network), GUARD_PORT)) {
                Ok(guard) => {
                    let block = Self { network, _guard: guard };
                    let is_free = |index| TcpListener::bind(block.gateway(index).clients).is_ok();
                    if (0..gateways).all(is_free) {
                        return Ok(block);
                    }
                }
                Err(e) if e.kind() == ErrorKind::AddrInUse => {}
                Err(e) => return Err(e.into()),
            }
        }
        bail!("all {BLOCKS} blocks of loopback addresses are claimed")
    }

    /// Returns the address of the fault proxies, behind which the fakes are.
    pub const fn proxies(&self) -> IpAddr {
        first_address(self.network)
    }

    /// Returns the address of the fakes. It is another one than that of the proxies, since a fake
    /// may start while a proxy has closed its listener, and must not get its port.
    pub const fn fakes(&self) -> IpAddr {
        let [a, b, c] = self.network;
        IpAddr::V4(Ipv4Addr::new(a, b, c, 254))
    }

    /// Returns the addresses of the gateway at `index`, less than [`MAX_GATEWAYS`].
    pub const fn gateway(&self, index: usize) -> GatewayAddresses {
        let [a, b, c] = self.network;
        let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, index as u8 + 2));
        GatewayAddresses {
            clients: SocketAddr::new(ip, GUARD_PORT + 1),
            ready: SocketAddr::new(ip, GUARD_PORT + 2),
            peers: SocketAddr::new(ip, GUARD_PORT + 3),
        }
    }
}

const fn first_address([a, b, c]: [u8; 3]) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(a, b, c, 1))
}
