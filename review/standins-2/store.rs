//! The platform's metadata store as PROTOCOL.md describes it: items, ranges, watches,
//! transactions and leases. It is sound: it loses nothing and answers at once.

use crate::json::{Json, base64, quote};
use crate::wire::{Head, serve};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change, in order: revision, key, and the item or `None` where it was removed.
    log: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl Content {
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.log.push((self.revision, key.to_string(), None));
        }
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Item {
            value,
            revision: self.revision,
            made,
            lease,
        };
        self.items.insert(key.to_string(), item.clone());
        self.log.push((self.revision, key.to_string(), Some(item)));
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        true
    }
}

fn item_fields(key: &str, item: &Item) -> String {
    format!(
        "\"private_key\":{},\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}",
        quote(key),
        item.value,
        item.revision,
        item.made,
        item.lease
    )
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().expect("the store's address");
        let store = Store {
            address,
            content: Arc::default(),
        };
        let serving = store.clone();
        serve(listener, move |stream| drop(serving.connection(stream)));
        store
    }

    /// What the operator writes.
    pub fn write(&self, key: &str, value: &str) {
        let mut content = self.content.0.lock().unwrap();
        content.revision += 1;
        content.put(key, base64(value.as_bytes()), 0);
        self.content.1.notify_all();
    }

    fn connection(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader)? {
            let body = head.read_body(&mut reader)?;
            let (status, answer) = self.answer(head.word(0), head.word(1), &body);
            let length = answer.len();
            write!(
                writer,
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n\
                 content-length: {length}\r\n\r\n{answer}"
            )?;
        }
        Ok(())
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let parsed = Json::parse(body).unwrap_or(Json::Null);
        if path == "/v1/kv-watch" {
            let wait = Duration::from_millis(number("wait_ms"));
            return self.watch(&text("path_prefix"), number("after"), wait);
        }
        let mut content = self.content.0.lock().unwrap();
        content.expire_leases();
        let at = content.revision;
        match (method, path) {
            ("GET", "/v1/kv-key") => match content.items.get(&text("private_key")) {
                Some(item) => (
                    200,
                    format!(
                        "{{{},\"at\":{at}}}",
                        item_fields(&text("private_key"), item)
                    ),
                ),
                None => (404, format!("{{\"at\":{at}}}")),
            },
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (text("path_prefix"), text("after"));
                let mut found = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let page: Vec<String> = found
                    .by_ref()
                    .take(PAGE)
                    .map(|(key, item)| format!("{{{}}}", item_fields(key, item)))
                    .collect();
                let more = found.next().is_some();
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"more\":{more},\"at\":{at}}}",
                        page.join(",")
                    ),
                )
            }
            ("POST", "/v1/kv-txn") => {
                let answer = transact(&mut content, &parsed);
                self.content.1.notify_all();
                answer
            }
            ("POST", "/v1/kv-lease") => {
                let ttl = Duration::from_millis(
                    parsed
                        .number("ttl_ms")
                        .unwrap_or(1_000)
                        .clamp(1_000, 600_000),
                );
                content.last_lease += 1;
                let lease = content.last_lease;
                content.leases.insert(lease, (ttl, Instant::now() + ttl));
                (
                    200,
                    format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()),
                )
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                match content.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_string()),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let ended = content.end_lease(lease);
                self.content.1.notify_all();
                (if ended { 200 } else { 404 }, "{}".to_string())
            }
            _ => (404, "{}".to_string()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait.min(Duration::from_secs(30));
        let mut content = self.content.0.lock().unwrap();
        loop {
            content.expire_leases();
            if after > content.revision {
                return (410, "{}".to_string());
            }
            let events: Vec<String> = content
                .log
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => format!("{{{}}}", item_fields(key, item)),
                    None => format!(
                        "{{\"private_key\":{},\"revision\":{revision},\"gone\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"at\":{}}}",
                        events.join(","),
                        content.revision
                    ),
                );
            }
            content = self.content.1.wait_timeout(content, left).unwrap().0;
        }
    }
}

fn transact(content: &mut Content, asked: &Json) -> (u16, String) {
    let conditions = asked.list("expected_revision");
    let key_of = |row: &Json| row.text("private_key").unwrap_or_default().to_string();
    let holds = conditions.iter().all(|row| {
        let present = content
            .items
            .get(&key_of(row))
            .map_or(0, |item| item.revision);
        row.number("revision") == Some(present)
    });
    if !holds {
        let items: Vec<String> = conditions
            .iter()
            .filter_map(|row| {
                let key = key_of(row);
                let item = content.items.get(&key)?;
                Some(format!("{{{}}}", item_fields(&key, item)))
            })
            .collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = asked.list("put");
    let lease_of = |row: &Json| row.number("lease").unwrap_or(0);
    if puts
        .iter()
        .any(|row| lease_of(row) != 0 && !content.leases.contains_key(&lease_of(row)))
    {
        return (404, "{}".to_string());
    }
    content.revision += 1;
    for row in puts {
        let value = row.text("value").unwrap_or_default().to_string();
        content.put(&key_of(row), value, lease_of(row));
    }
    for key in asked.list("remove").iter().filter_map(Json::as_text) {
        content.remove(key);
    }
    (200, format!("{{\"revision\":{}}}", content.revision))
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).to_string()
}
