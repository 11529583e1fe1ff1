//! The nodes' links: proxies on loopback through which a daemon's traffic with other daemons and with the store passes.
//! All connections of a node share its bandwidth, in each direction, and halls can be cut off.

use std::cell::{Cell, RefCell};
use std::io::Result;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::task::JoinHandle;

/// Added to the last byte of a node's address for the address at which other nodes reach it.
const REACHED_AT_OFFSET: u8 = 100;
/// Bytes that are carried at a time.
const CHUNK: usize = 4_096;
/// Bytes that the system may hold on the way, for each connection and direction.
const SOCKET_BUFFER: u32 = 32 * 1_024;
/// Interval between checks whether a cut has ended.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// After a cut, held bytes arrive later by this share of its duration: their sender repeats them at growing intervals.
const REPEAT_DELAY_SHARE: f64 = 0.5;

/// How a hall is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes, and nobody is told.
    Silent,
    /// Connections are closed.
    Reset,
    /// Nothing leaves the hall, but all that is sent to it arrives.
    Outbound,
}

/// A node, and who it talks to through its link.
#[derive(Debug, Clone)]
pub struct LinkedNode {
    /// The data hall.
    pub hall: &'static str,
    /// The node's own address.
    pub own: Ipv4Addr,
    /// The address at which other nodes reach it.
    pub reached_at: Ipv4Addr,
    /// The address of the store.
    pub store: SocketAddr,
}

/// The address at which other nodes reach a node.
pub fn link_address(own: Ipv4Addr) -> Ipv4Addr {
    let [a, b, c, d] = own.octets();
    Ipv4Addr::new(a, b, c, d + REACHED_AT_OFFSET)
}

/// Where bytes come from or go to: a node, or `None` for what lies outside of all halls.
type End = Option<usize>;

/// The two directions of a node's link: when each is free again.
#[derive(Debug)]
struct Link {
    outbound_free: Cell<Instant>,
    inbound_free: Cell<Instant>,
}

struct State {
    bytes_per_second: f64,
    port: u16,
    nodes: Vec<LinkedNode>,
    links: Vec<Link>,
    sockets: Vec<Rc<UdpSocket>>,
    cut: RefCell<Option<(&'static str, Cut)>>,
}

/// All links. They are closed when this is dropped.
pub struct Network {
    state: Rc<State>,
    store_addresses: Vec<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Network {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Network {
    /// Opens the links of nodes, which listen for each other on `port`.
    pub async fn start(mbps: f64, port: u16, nodes: Vec<LinkedNode>) -> Result<Self> {
        let now = Instant::now();
        let link = || Link { outbound_free: Cell::new(now), inbound_free: Cell::new(now) };
        let links = nodes.iter().map(|_| link()).collect();
        let mut sockets = Vec::new();
        for node in &nodes {
            sockets.push(Rc::new(UdpSocket::bind((node.reached_at, port)).await?));
        }
        let bytes_per_second = mbps * 1_000_000.0 / 8.0;
        let cut = RefCell::default();
        let state = Rc::new(State { bytes_per_second, port, nodes, links, sockets, cut });
        let mut network =
            Self { state: state.clone(), store_addresses: Vec::new(), tasks: Vec::new() };
        for n in 0..state.nodes.len() {
            let members = listen((state.nodes[n].reached_at, port).into())?;
            let store = listen((Ipv4Addr::LOCALHOST, 0).into())?;
            network.store_addresses.push(store.local_addr()?);
            network.tasks.push(actix_rt::spawn(state.clone().accept_members(n, members)));
            network.tasks.push(actix_rt::spawn(state.clone().accept_store(n, store)));
            network.tasks.push(actix_rt::spawn(state.clone().carry_datagrams(n)));
        }
        Ok(network)
    }

    /// The address at which a node reaches the store.
    pub fn store_address(&self, n: usize) -> SocketAddr {
        self.store_addresses[n]
    }

    /// Cuts a hall off, or ends the cut.
    pub fn set_cut(&self, cut: Option<(&'static str, Cut)>) {
        *self.state.cut.borrow_mut() = cut;
    }
}

impl State {
    fn hall(&self, end: End) -> Option<&'static str> {
        Some(self.nodes[end?].hall)
    }

    /// The cut between two ends, if there is one now.
    fn cut(&self, from: End, to: End) -> Option<Cut> {
        let (hall, cut) = (*self.cut.borrow())?;
        let (leaves, enters) = (self.hall(from) == Some(hall), self.hall(to) == Some(hall));
        match cut {
            Cut::Outbound => (leaves && !enters).then_some(cut),
            Cut::Silent | Cut::Reset => (leaves != enters).then_some(cut),
        }
    }

    /// Waits until bytes have passed the links of both ends. Returns `None` if the connection is reset.
    async fn pass(&self, from: End, to: End, bytes: usize) -> Option<()> {
        let mut held_since = None;
        while let Some(cut) = self.cut(from, to) {
            if cut == Cut::Reset {
                return None;
            }
            held_since.get_or_insert_with(Instant::now);
            actix_rt::time::sleep(CUT_CHECK_INTERVAL).await;
        }
        if let Some(since) = held_since {
            actix_rt::time::sleep(since.elapsed().mul_f64(REPEAT_DELAY_SHARE)).await;
        }
        let span = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let mut passed_at = Instant::now();
        let directions =
            [from.map(|n| &self.links[n].outbound_free), to.map(|n| &self.links[n].inbound_free)];
        for direction in directions.into_iter().flatten() {
            direction.set(direction.get().max(Instant::now()) + span);
            passed_at = passed_at.max(direction.get());
        }
        actix_rt::time::sleep_until(passed_at.into()).await;
        Some(())
    }

    /// The node that has an address of its own.
    fn node_at(&self, address: IpAddr) -> End {
        self.nodes.iter().position(|node| IpAddr::V4(node.own) == address)
    }

    async fn accept_members(self: Rc<Self>, n: usize, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            let (state, from) = (self.clone(), self.node_at(peer.ip()));
            let address = SocketAddr::from((self.nodes[n].own, self.port));
            actix_rt::spawn(async move { state.carry(stream, from, address, Some(n)).await });
        }
    }

    async fn accept_store(self: Rc<Self>, n: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let state = self.clone();
            let address = self.nodes[n].store;
            actix_rt::spawn(async move { state.carry(stream, Some(n), address, None).await });
        }
    }

    /// Carries a connection from one end to another until either closes it.
    async fn carry(&self, near: TcpStream, from: End, address: SocketAddr, to: End) -> Option<()> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(SOCKET_BUFFER).ok()?;
        self.pass(from, to, 0).await?;
        let far = socket.connect(address).await.ok()?;
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::select! {
            end = self.relay(near_read, far_write, from, to) => end,
            end = self.relay(far_read, near_write, to, from) => end,
        }
    }

    /// Carries one direction of a connection until it ends.
    async fn relay(
        &self,
        mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
        from: End,
        to: End,
    ) -> Option<()> {
        let mut buffer = [0; CHUNK];
        loop {
            let length = read.read(&mut buffer).await.ok().filter(|length| *length > 0)?;
            self.pass(from, to, length).await?;
            write.write_all(&buffer[..length]).await.ok()?;
        }
    }

    /// Carries datagrams to a node. They seem to come from where their sender is reached.
    async fn carry_datagrams(self: Rc<Self>, n: usize) {
        let mut buffer = [0; CHUNK];
        let to = SocketAddr::from((self.nodes[n].own, self.port));
        while let Ok((length, from)) = self.sockets[n].recv_from(&mut buffer).await {
            let from = self.node_at(from.ip());
            let Some(sender) = from.filter(|_| self.cut(from, Some(n)).is_none()) else { continue };
            // A datagram that does not fit is lost, as on any link.
            let _ = self.sockets[sender].try_send_to(&buffer[..length], to);
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER)?;
    socket.set_send_buffer_size(SOCKET_BUFFER)?;
    socket.bind(address)?;
    socket.listen(1_024)
}
