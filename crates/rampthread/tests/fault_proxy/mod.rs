//! A loopback proxy between real processes that delays, resets or silences
//! connections, both ways or one way, or lets bytes pass at a low rate.

#![allow(dead_code)]

use socket2::{Domain, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::time::Duration;

/// Time after which a reader looks whether the fault has changed.
const LOOK: Duration = Duration::from_millis(20);
/// Wait of every chunk while connections are delayed.
const DELAY: Duration = Duration::from_millis(60);
/// Bytes a second of a narrow link, each way of each connection: 5 Mbit/s.
const NARROW_RATE: f64 = 625_000.0;
const CHUNK: usize = 16 * 1024;

/// What happens to bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// They pass.
    None,
    /// They pass late.
    Delayed,
    /// Connections are reset, new ones too.
    Reset,
    /// Nothing passes; a connection that lost bytes says nothing more.
    Silent,
    /// Requests pass, answers do not.
    AnswersLost,
    /// Answers pass, requests do not.
    RequestsLost,
    /// They pass at a low rate.
    Narrow,
    /// Connections that stand say nothing more, for good; new ones work.
    Forgotten,
}

impl Fault {
    /// Every fault, and none.
    pub const ALL: [Fault; 8] = [
        Fault::None,
        Fault::Delayed,
        Fault::Reset,
        Fault::Silent,
        Fault::AnswersLost,
        Fault::RequestsLost,
        Fault::Narrow,
        Fault::Forgotten,
    ];
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    ToServer,
    ToClient,
}

#[derive(Default)]
struct Shared {
    fault: AtomicU8,
    stopped: AtomicBool,
    /// Connections whose last bytes went to the server.
    waiting: AtomicUsize,
}

impl Shared {
    fn fault(&self) -> Fault {
        Fault::ALL[usize::from(self.fault.load(Ordering::Relaxed))]
    }

    fn stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// Whose turn it is on a connection.
#[derive(Default)]
struct Exchange {
    client_waits: AtomicBool,
}

impl Exchange {
    /// Bytes went this way; the end of a connection is an answer, too.
    fn note(&self, way: Way, shared: &Shared) {
        let waits = way == Way::ToServer;
        if self.client_waits.swap(waits, Ordering::Relaxed) == waits {
            return;
        }
        match waits {
            true => shared.waiting.fetch_add(1, Ordering::Relaxed),
            false => shared.waiting.fetch_sub(1, Ordering::Relaxed),
        };
    }
}

/// A running proxy; it ends when dropped.
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Starts on a free port of `ip`, in front of `server`.
    pub fn start(ip: IpAddr, server: SocketAddr) -> Self {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let shared: Arc<Shared> = Arc::default();
        let accepting = shared.clone();
        std::thread::spawn(move || accept(&listener, server, &accepting));
        Self { address, shared }
    }

    /// True while a client waits for an answer.
    pub fn waits_for_an_answer(&self) -> bool {
        self.shared.waiting.load(Ordering::Relaxed) > 0
    }

    /// From now on this happens.
    pub fn set(&self, fault: Fault) {
        let number = Fault::ALL.iter().position(|one| *one == fault);
        let number = number.unwrap_or_default() as u8;
        self.shared.fault.store(number, Ordering::Relaxed);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

fn accept(listener: &TcpListener, server: SocketAddr, shared: &Arc<Shared>) {
    while !shared.stopped() {
        match listener.accept() {
            Ok((client, _)) => join(client, server, shared),
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
    }
}

fn join(client: TcpStream, server: SocketAddr, shared: &Arc<Shared>) {
    client.set_nonblocking(false).unwrap();
    let upstream = match shared.fault() {
        Fault::Reset => None,
        _ => connect_from(client.local_addr().unwrap().ip(), server).ok(),
    };
    // One that begins now is no connection that stood.
    let new = shared.fault() == Fault::Forgotten;
    let Some(upstream) = upstream else {
        return reset(&client);
    };
    for stream in [&client, &upstream] {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(LOOK));
    }
    let exchange = Arc::new(Exchange::default());
    for way in [Way::ToServer, Way::ToClient] {
        let exchange = exchange.clone();
        let (client, upstream) = (client.try_clone().unwrap(), upstream.try_clone().unwrap());
        let shared = shared.clone();
        std::thread::spawn(move || match way {
            Way::ToServer => carry(client, upstream, way, new, &exchange, &shared),
            Way::ToClient => carry(upstream, client, way, new, &exchange, &shared),
        });
    }
}

/// Connects from the proxy's own address, by which the server tells its callers.
fn connect_from(ip: IpAddr, server: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(server), Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(ip, 0).into())?;
    socket.connect(&server.into())?;
    Ok(socket.into())
}

/// Carries bytes until either side ends or a fault ends both. `new`: the
/// connection began while others were forgotten.
fn carry(
    mut from: TcpStream,
    mut to: TcpStream,
    way: Way,
    mut new: bool,
    exchange: &Exchange,
    shared: &Shared,
) {
    let mut chunk = vec![0; CHUNK];
    let mut silenced = false;
    while !shared.stopped() {
        if shared.fault() == Fault::Reset {
            exchange.note(Way::ToClient, shared);
            reset(&from);
            return reset(&to);
        }
        match shared.fault() {
            Fault::Forgotten => silenced |= !new,
            // A later fault of this kind finds it standing.
            _ => new = false,
        }
        let length = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        exchange.note(way, shared);
        silenced |= loses(shared.fault(), way);
        if silenced {
            continue;
        }
        match shared.fault() {
            Fault::Delayed => std::thread::sleep(DELAY),
            Fault::Narrow => {
                std::thread::sleep(Duration::from_secs_f64(length as f64 / NARROW_RATE));
            }
            _ => {}
        }
        if to.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    exchange.note(Way::ToClient, shared);
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

fn loses(fault: Fault, way: Way) -> bool {
    match fault {
        Fault::Silent => true,
        Fault::AnswersLost => way == Way::ToClient,
        Fault::RequestsLost => way == Way::ToServer,
        Fault::None | Fault::Delayed | Fault::Reset | Fault::Narrow | Fault::Forgotten => false,
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
