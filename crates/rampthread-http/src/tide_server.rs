//! Serves tide applications with `TCP_NODELAY`, a connection limit and a 400 response to
//! malformed requests, which async-h1 does not provide. async-h1 itself limits the time for a
//! request head, to 60 s.

use async_h1::server::{ConnectionStatus, Server};
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum number of open connections per listener; further ones are closed.
const MAX_CONNECTIONS: usize = 1_024;
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Response to a malformed request.
const BAD_REQUEST: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Serves `app` on every connection accepted by `listener`, until the future is dropped.
pub async fn serve_tide<State>(listener: TcpListener, app: tide::Server<State>)
where
    State: Clone + Send + Sync + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            async_std::task::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            continue;
        }
        let (app, open) = (app.clone(), open.clone());
        open.fetch_add(1, Ordering::Relaxed);
        async_std::task::spawn(async move {
            serve_connection(stream, app).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Serves the requests of one connection until it is closed.
async fn serve_connection<State>(stream: TcpStream, app: tide::Server<State>)
where
    State: Clone + Send + Sync + 'static,
{
    let _ = stream.set_nodelay(true);
    let respond = |request: http_types::Request| {
        let app = app.clone();
        async move { app.respond(request).await }
    };
    let mut server = Server::new(stream.clone(), respond);
    loop {
        match server.accept_one().await {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => return,
            Err(error) => {
                tracing::debug!(%error, "malformed request to the API");
                let _ = (&stream).write_all(BAD_REQUEST).await;
                return;
            }
        }
    }
}
