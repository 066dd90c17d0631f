//! The platform's store. Each host reads it at an address of its own, so that the store can
//! turn single hosts away.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{self, Message};

/// The time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes as JSON, with their revisions.
    events: Vec<(u64, String)>,
}

/// How the store treats one host.
#[derive(Default)]
struct HostView {
    /// Whether it gets no answers.
    is_silent: bool,
    /// When it last began a watch.
    watched_at: Option<Instant>,
}

struct Shared {
    contents: Mutex<Contents>,
    changed: Condvar,
    hosts: Mutex<Vec<HostView>>,
}

/// The store.
#[derive(Clone)]
pub struct Store(Arc<Shared>);

impl Store {
    /// Starts a store for `hosts` hosts, and returns the address for each.
    pub fn start(hosts: usize) -> io::Result<(Self, Vec<SocketAddr>)> {
        let views = (0..hosts).map(|_| HostView::default()).collect();
        let store = Self(Arc::new(Shared {
            contents: Mutex::default(),
            changed: Condvar::new(),
            hosts: Mutex::new(views),
        }));
        let mut addrs = Vec::new();
        for host in 0..hosts {
            let (listener, addr) = net::listen()?;
            addrs.push(addr);
            let store = store.clone();
            thread::spawn(move || store.accept(host, &listener));
        }
        Ok((store, addrs))
    }

    /// Writes an item, and returns when that is acknowledged.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut contents = self.0.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let created = contents
            .items
            .get(key)
            .map_or(revision, |item| item.created);
        let item = Item {
            value: base64(value.as_bytes()),
            revision,
            created,
        };
        contents.events.push((revision, item_json(key, &item)));
        contents.items.insert(key.to_owned(), item);
        let acknowledged_at = Instant::now();
        drop(contents);
        self.0.changed.notify_all();
        acknowledged_at
    }

    /// Removes an item, and returns when that is acknowledged.
    pub fn remove(&self, key: &str) -> Instant {
        let mut contents = self.0.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let event = format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#);
        contents.events.push((revision, event));
        contents.items.remove(key);
        let acknowledged_at = Instant::now();
        drop(contents);
        self.0.changed.notify_all();
        acknowledged_at
    }

    /// Begins or ends to leave a host's calls unanswered.
    pub fn set_silent(&self, host: usize, is_silent: bool) {
        self.0.hosts.lock().unwrap()[host].is_silent = is_silent;
    }

    /// Returns the hosts that have begun a watch within `time`.
    pub fn watching(&self, time: Duration) -> Vec<usize> {
        let hosts = self.0.hosts.lock().unwrap();
        let hosts = hosts.iter().enumerate();
        let recent = |view: &HostView| view.watched_at.is_some_and(|at| at.elapsed() < time);
        hosts
            .filter(|(_, view)| recent(view))
            .map(|(host, _)| host)
            .collect()
    }

    fn is_silent(&self, host: usize) -> bool {
        self.0.hosts.lock().unwrap()[host].is_silent
    }

    fn accept(&self, host: usize, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let store = self.clone();
            thread::spawn(move || store.serve(host, stream));
        }
    }

    fn serve(&self, host: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        // A connection on which an answer is lost returns nothing further.
        let mut is_dead = false;
        while let Ok(Some(request)) = net::read_message(&mut reader) {
            let answer = self.answer(host, &request);
            is_dead |= self.is_silent(host);
            if is_dead {
                continue;
            }
            thread::sleep(ANSWER_TIME);
            let headers = [("Content-Type", "application/json")];
            if net::write_answer(reader.get_mut(), "200 OK", &headers, &answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, host: usize, request: &Message) -> String {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(known, _)| *known == name)
                .map(|(_, value)| value)
                .next()
                .unwrap_or("")
        };
        if path.ends_with("/kv-watch") {
            self.0.hosts.lock().unwrap()[host].watched_at = Some(Instant::now());
            let after = parameter("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(parameter("wait-ms").parse().unwrap_or(0));
            return self.watch(host, after, wait);
        }
        let contents = self.0.contents.lock().unwrap();
        let items: Vec<String> = contents
            .items
            .iter()
            .map(|(key, item)| item_json(key, item))
            .collect();
        format!(
            r#"{{"items":[{}],"has-more":false,"store-revision":{}}}"#,
            items.join(","),
            contents.revision
        )
    }

    fn watch(&self, host: usize, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut contents = self.0.contents.lock().unwrap();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if contents.revision > after || left.is_zero() || self.is_silent(host) {
                break;
            }
            contents = self.0.changed.wait_timeout(contents, left).unwrap().0;
        }
        let events = contents
            .events
            .iter()
            .filter(|(revision, _)| *revision > after);
        let events: Vec<&str> = events.map(|(_, event)| event.as_str()).collect();
        format!(
            r#"{{"events":[{}],"store-revision":{}}}"#,
            events.join(","),
            contents.revision
        )
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":0}}"#,
        item.value, item.revision, item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for digit in 0..4 {
            if digit <= group.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
