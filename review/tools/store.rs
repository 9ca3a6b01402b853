//! The platform's metadata store, in memory, as PROTOCOL.md tells it. It is sound: it answers at
//! once unless a case delays it.

use crate::http::{Connection, Message, answer};
use crate::json::{Json, base64};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The store's answer takes 4 ms, as the pages say.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Stored {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    item: Option<Stored>,
}

#[derive(Default)]
struct Content {
    items: BTreeMap<String, Stored>,
    leases: HashMap<u64, (Duration, Instant)>,
    history: Vec<Change>,
    revision: u64,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<Mutex<Content>>,
}

fn object(key: &str, item: &Stored) -> String {
    format!(
        "{{\"private_key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}}}",
        item.value, item.revision, item.made, item.lease
    )
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            content: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        self.content
            .lock()
            .unwrap()
            .put(key, base64(value.as_bytes()), 0);
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read(false) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.handle(&request);
            let headers = "Content-Type: application/json\r\n";
            if connection
                .write(&answer(status, headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), decoded(value)))
            .collect();
        let word = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| word(name).parse::<u64>().unwrap_or(0);
        if path == "/v1/kv-watch" {
            return self.watch(&word("path_prefix"), number("after"), number("wait_ms"));
        }
        let mut content = self.content.lock().unwrap();
        content.expire();
        match path {
            "/v1/kv-key" => {
                let at = content.revision;
                match content.items.get(&word("private_key")) {
                    Some(item) => {
                        let mut text = object(&word("private_key"), item);
                        text.pop();
                        ("200 OK", format!("{text},\"at\":{at}}}"))
                    }
                    None => ("404 Not Found", format!("{{\"at\":{at}}}")),
                }
            }
            "/v1/kv-range" => {
                let (prefix, after) = (word("path_prefix"), word("after"));
                let items: Vec<String> = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| object(key, item))
                    .collect();
                let at = content.revision;
                let items = items.join(",");
                (
                    "200 OK",
                    format!("{{\"items\":[{items}],\"more\":false,\"at\":{at}}}"),
                )
            }
            "/v1/kv-txn" => {
                let body = Json::read(&String::from_utf8_lossy(&request.body));
                content.transaction(&body)
            }
            "/v1/kv-lease" => {
                let body = Json::read(&String::from_utf8_lossy(&request.body));
                let life = Duration::from_millis(body.get("ttl_ms").number().clamp(1_000, 600_000));
                content.next_lease += 1;
                let lease = content.next_lease;
                content.leases.insert(lease, (life, Instant::now() + life));
                let ttl = life.as_millis();
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            path => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse::<u64>().ok())
                    .unwrap_or(0);
                let Some((life, _)) = content.leases.get(&id).copied() else {
                    return ("404 Not Found", "{}".to_string());
                };
                if path.starts_with("/v1/kv-keep/") {
                    content.leases.insert(id, (life, Instant::now() + life));
                } else {
                    content.end_lease(id);
                }
                ("200 OK", format!("{{\"ttl_ms\":{}}}", life.as_millis()))
            }
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let ends = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        loop {
            {
                let mut content = self.content.lock().unwrap();
                content.expire();
                let events: Vec<String> = content
                    .history
                    .iter()
                    .filter(|change| change.revision > after && change.key.starts_with(prefix))
                    .map(|change| match &change.item {
                        Some(item) => object(&change.key, item),
                        None => format!(
                            "{{\"private_key\":\"{}\",\"revision\":{},\"gone\":true}}",
                            change.key, change.revision
                        ),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= ends {
                    let (events, at) = (events.join(","), content.revision);
                    return ("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}"));
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Stored {
            value,
            revision: self.revision,
            made,
            lease,
        };
        self.history.push(Change {
            key: key.to_string(),
            revision: self.revision,
            item: Some(item.clone()),
        });
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change {
                key: key.to_string(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, ends))| *ends <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn transaction(&mut self, body: &Json) -> (&'static str, String) {
        let conditions = body.get("expected_revision").list();
        let holds = conditions.iter().all(|row| {
            let found = self.items.get(row.get("private_key").text());
            found.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            let items: Vec<String> = conditions
                .iter()
                .filter_map(|row| {
                    let key = row.get("private_key").text();
                    self.items.get(key).map(|item| object(key, item))
                })
                .collect();
            return (
                "412 Precondition Failed",
                format!("{{\"items\":[{}]}}", items.join(",")),
            );
        }
        let puts = body.get("put").list();
        let known = |put: &Json| {
            let lease = put.get("lease").number();
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(known) {
            return ("404 Not Found", "{}".to_string());
        }
        for put in puts {
            let (key, value) = (put.get("private_key").text(), put.get("value").text());
            self.put(key, value.to_string(), put.get("lease").number());
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        ("200 OK", format!("{{\"revision\":{}}}", self.revision))
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut whole = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let two = bytes
            .get(at + 1..at + 3)
            .and_then(|two| std::str::from_utf8(two).ok());
        match (
            bytes[at],
            two.and_then(|two| u8::from_str_radix(two, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                whole.push(byte);
                at += 3;
            }
            (byte, _) => {
                whole.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&whole).to_string()
}
