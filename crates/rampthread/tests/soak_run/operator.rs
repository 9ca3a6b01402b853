//! The operator of a soak: writes documents, sound ones and others.

use crate::platform_support::{PlatformFleet, SERVICE};
use crate::soak_checks::version_route;
use crate::soak_history::recorder::Recorder;
use crate::soak_history::{What, Written, WrittenKind};
use crate::soak_schedule::{Defect, VersionKind};
use rampthread_adapter_standin::{DocumentSpec, RouteSpec};
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use std::sync::Mutex;

/// Routes of their own that a version has: its own and those of the last ones.
const VERSION_ROUTES: usize = 3;
/// Versions that may be asked for.
const LAST: usize = 6;
/// Numbers of versions rise in uneven steps.
const STEPS: [u32; 4] = [1, 3, 2, 7];
/// Routes of a large version that nobody calls: the whole document takes more than
/// half a second of a narrow link.
const MANY_ROUTES: u32 = 2_000;
/// Longest time for calls.
const ROUTE_TIMEOUT_MS: u64 = 4_000;
const FIRST_VERSION: u32 = 1;

/// What was written so far.
struct State {
    /// Sound versions.
    sound: Vec<DocumentSpec>,
    /// Numbers of all documents.
    all: Vec<u32>,
}

pub struct Operator {
    state: Mutex<State>,
}

impl Operator {
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State {
                sound: vec![document(&[FIRST_VERSION])],
                all: vec![FIRST_VERSION],
            }),
        }
    }

    /// The document that a fleet starts with.
    pub fn first(&self) -> DocumentSpec {
        document(&[FIRST_VERSION])
    }

    pub fn note_first(&self, recorder: &Recorder) {
        note(recorder, &self.first(), WrittenKind::Newest);
        let version = FIRST_VERSION;
        recorder.note(What::Acknowledged { version });
    }

    pub fn newest(&self) -> u32 {
        self.state.lock().unwrap().sound.last().unwrap().version
    }

    pub fn any_of_the_last(&self, rng: &mut StdRng) -> u32 {
        let state = self.state.lock().unwrap();
        let last = &state.all[state.all.len().saturating_sub(LAST)..];
        last[rng.random_range(0..last.len())]
    }

    pub fn write(&self, fleet: &PlatformFleet, recorder: &Recorder, kind: VersionKind) {
        let mut state = self.state.lock().unwrap();
        let number = state.all.last().unwrap() + STEPS[state.all.len() % STEPS.len()];
        let mut spec = document(&last_routes(&state.sound, number));
        let mut bytes = None;
        let written = match kind {
            VersionKind::Plain => WrittenKind::Newest,
            VersionKind::Large => {
                spec.routes.extend(many_routes(number));
                WrittenKind::Newest
            }
            VersionKind::Invalid(defect) => {
                bytes = Some(damage(&mut spec, defect));
                WrittenKind::Invalid
            }
            VersionKind::Older => {
                let Some(older) = state.sound.iter().rev().nth(1) else {
                    return;
                };
                spec = older.clone();
                WrittenKind::Older
            }
        };
        let bytes = bytes.unwrap_or_else(|| spec.to_json());
        note(recorder, &spec, written);
        fleet.store.write("op/config", &bytes);
        let version = spec.version;
        recorder.note(What::Acknowledged { version });
        match written {
            WrittenKind::Newest => {
                state.sound.push(spec);
                state.all.push(number);
            }
            WrittenKind::Invalid => state.all.push(number),
            WrittenKind::Older => {}
        }
    }
}

/// Versions whose routes a document has.
fn last_routes(sound: &[DocumentSpec], number: u32) -> Vec<u32> {
    let kept = sound.len().saturating_sub(VERSION_ROUTES - 1);
    let mut routes: Vec<u32> = sound[kept..].iter().map(|spec| spec.version).collect();
    routes.push(number);
    routes
}

fn document(versions: &[u32]) -> DocumentSpec {
    let mut routes = vec![
        RouteSpec::safe("look", "/look/", SERVICE),
        RouteSpec::once("buy", "/buy/", SERVICE),
    ];
    for version in versions {
        let name = format!("v{version}");
        routes.push(RouteSpec::safe(&name, &version_route(*version), SERVICE));
    }
    for route in &mut routes {
        route.timeout_ms = ROUTE_TIMEOUT_MS;
    }
    let newest = versions.last().copied().unwrap_or(FIRST_VERSION);
    DocumentSpec::new(newest, SERVICE, routes)
}

/// Routes that nobody calls, other ones with each version.
fn many_routes(version: u32) -> impl Iterator<Item = RouteSpec> {
    (0..MANY_ROUTES).map(move |number| {
        let name = format!("idle-{version}-{number}");
        RouteSpec::safe(&name, &format!("/{name}/"), SERVICE)
    })
}

/// Makes a document invalid. `spec` has those routes afterwards that a node would
/// serve that took it.
fn damage(spec: &mut DocumentSpec, defect: Defect) -> Vec<u8> {
    let bytes = spec.to_json();
    if defect == Defect::Unreadable {
        return bytes[..bytes.len() / 2].to_vec();
    }
    let mut value: Value = serde_json::from_slice(&bytes).unwrap();
    let fields = value.as_object_mut().unwrap();
    match defect {
        Defect::NoRoutes => {
            fields.remove("routes");
            spec.routes.clear();
        }
        Defect::NoServices => {
            fields.remove("services");
        }
        Defect::NoLimits => {
            fields.remove("limits");
        }
        Defect::ServiceAndSplit => {
            let split = json!([{ "service": SERVICE, "weight": 1 }]);
            fields["routes"][0]["traffic_split"] = split;
        }
        Defect::Unreadable => {}
    }
    value.to_string().into_bytes()
}

fn note(recorder: &Recorder, spec: &DocumentSpec, kind: WrittenKind) {
    let called = spec
        .routes
        .iter()
        .filter(|route| !route.name.starts_with("idle-"));
    recorder.note(What::Written(Written {
        version: spec.version,
        prefixes: called.map(|route| route.prefix.clone()).collect(),
        kind,
    }));
}
