//! The platform's machine list, with a lag.

use async_std::net::TcpListener;
use rampthread_core::fleet::Machine;
use rampthread_core::ids::NodeId;
use rampthread_http::serve_tide;
use rampthread_platform::paths;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tide::{Request, Response, StatusCode};

#[derive(Debug, Default)]
struct State {
    shown: BTreeMap<NodeId, Machine>,
    lag: Duration,
}

/// The list, to be shared with a listener and with tests.
#[derive(Debug, Clone, Default)]
pub struct MachinesStandIn {
    state: Arc<Mutex<State>>,
}

impl MachinesStandIn {
    /// A list in which every change shows after `lag`.
    pub fn new(lag: Duration) -> Self {
        let list = Self::default();
        list.state().lag = lag;
        list
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Adds or changes a machine.
    pub fn put(&self, machine: Machine) {
        self.later(move |state| {
            state.shown.insert(machine.id.clone(), machine);
        });
    }

    /// Takes a machine off the list.
    pub fn remove(&self, id: NodeId) {
        self.later(move |state| {
            state.shown.remove(&id);
        });
    }

    fn later(&self, change: impl FnOnce(&mut State) + Send + 'static) {
        let lag = self.state().lag;
        if lag.is_zero() {
            change(&mut self.state());
            return;
        }
        let list = self.clone();
        async_std::task::spawn(async move {
            async_std::task::sleep(lag).await;
            change(&mut list.state());
        });
    }

    /// Serves until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        let mut app = tide::with_state(self);
        app.at(paths::MACHINES).get(list).put(put);
        app.at(&format!("{}/:id", paths::MACHINES)).delete(remove);
        serve_tide(listener, app).await;
    }
}

async fn list(request: Request<MachinesStandIn>) -> tide::Result {
    let machines: Vec<Machine> = request.state().state().shown.values().cloned().collect();
    Ok(Response::builder(StatusCode::Ok)
        .content_type("application/json")
        .body(serde_json::to_string(&machines)?)
        .build())
}

async fn put(mut request: Request<MachinesStandIn>) -> tide::Result {
    let machine: Machine = request.body_json().await?;
    request.state().put(machine);
    Ok(Response::new(StatusCode::NoContent))
}

async fn remove(request: Request<MachinesStandIn>) -> tide::Result {
    let id = NodeId::new(request.param("id")?)?;
    request.state().remove(id);
    Ok(Response::new(StatusCode::NoContent))
}
