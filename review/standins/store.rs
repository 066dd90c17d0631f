//! A stand-in of the platform's store: items, pages, watches, and the cuts of waiting
//! watches that PROTOCOL.md allows.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::read_message;

/// The items of one page, and the bytes of their values.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// How long the store keeps its history, `history-s`.
const HISTORY: Duration = Duration::from_secs(20);

/// A value as it is written, and in base64.
#[derive(Debug, Clone)]
pub struct Value {
    text: Arc<str>,
    encoded: Arc<str>,
}

impl Value {
    /// Encodes a value.
    pub fn new(text: &str) -> Self {
        Self {
            text: text.into(),
            encoded: base64(text.as_bytes()).into(),
        }
    }
}

#[derive(Debug, Clone)]
struct Item {
    value: Value,
    revision: u64,
    created: u64,
}

/// A change: its revision, the key, and the item or `None` for a removal.
#[derive(Debug)]
struct Change {
    at: Instant,
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changes of the history.
    log: VecDeque<Change>,
    /// The latest change that the history does not contain any more.
    dropped: u64,
    /// The number of times that all waiting watches were cut.
    cuts: u64,
    /// The watches that wait now.
    waiting: usize,
    /// How long the next writes of these keys take until they are done.
    late: BTreeMap<String, Duration>,
}

impl Contents {
    /// Adds a change to the history, and drops what is too old.
    fn log(&mut self, key: &str, item: Option<Item>) {
        self.log.push_back(Change {
            at: Instant::now(),
            revision: self.revision,
            key: key.to_owned(),
            item,
        });
        while let Some(oldest) = self.log.front() {
            if oldest.at.elapsed() < HISTORY {
                return;
            }
            self.dropped = oldest.revision;
            self.log.pop_front();
        }
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    contents: Arc<(Mutex<Contents>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let contents = Contents {
            revision: 100,
            dropped: 100,
            ..Contents::default()
        };
        let store = Self {
            addr: listener.local_addr()?,
            contents: Arc::new((Mutex::new(contents), Condvar::new())),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(&stream));
            }
        });
        Ok(store)
    }

    /// Writes an item and returns its revision. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.put_value(key, &Value::new(value))
    }

    /// Writes an item with a value that may be written more than once.
    pub fn put_value(&self, key: &str, value: &Value) -> u64 {
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().expect("not poisoned");
        contents.revision += 1;
        let revision = contents.revision;
        let former = contents.items.get(key);
        let item = Item {
            value: value.clone(),
            revision,
            created: former.map_or(revision, |former| former.created),
        };
        contents.items.insert(key.to_owned(), item.clone());
        contents.log(key, Some(item));
        changed.notify_all();
        revision
    }

    /// Writes an item for an instance. A write that was chosen by [`Store::delay_write`] is
    /// done later, and not acknowledged.
    pub fn write(&self, key: &str, value: &str) {
        let mut contents = self.contents.0.lock().expect("not poisoned");
        let delay = contents.late.remove(key);
        drop(contents);
        let Some(delay) = delay else {
            self.put(key, value);
            return;
        };
        let (store, key, value) = (self.clone(), key.to_owned(), value.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            store.put(&key, &value);
        });
    }

    /// Delays the next write of an instance to a key.
    pub fn delay_write(&self, key: &str, delay: Duration) {
        let mut contents = self.contents.0.lock().expect("not poisoned");
        contents.late.insert(key.to_owned(), delay);
    }

    /// Returns the value of an item.
    pub fn value_of(&self, key: &str) -> Option<String> {
        let contents = self.contents.0.lock().expect("not poisoned");
        contents.items.get(key).map(|item| item.value.text.to_string())
    }

    /// Removes an item. The return is the acknowledgement.
    pub fn remove(&self, key: &str) {
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().expect("not poisoned");
        contents.revision += 1;
        contents.items.remove(key);
        contents.log(key, None);
        changed.notify_all();
    }

    /// Cuts all watches that are waiting, as soon as `count` of them wait.
    pub fn cut_watches(&self, count: usize) {
        let (contents, changed) = &*self.contents;
        loop {
            let mut contents = contents.lock().expect("not poisoned");
            if contents.waiting >= count {
                contents.cuts += 1;
                changed.notify_all();
                return;
            }
            drop(contents);
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(read_half) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(read_half);
        while let Some(request) = read_message(&mut reader) {
            let (path, query) = request.target().split_once('?').unwrap_or_default();
            let answer = match path {
                "/waxwingusher/kv-range" => Watched::Events(self.range(query)),
                "/waxwingusher/kv-watch" => self.watch(query),
                _ => Watched::Events("{}".to_owned()),
            };
            let (status, answer) = match answer {
                Watched::Events(answer) => ("200 OK", answer),
                Watched::HistoryGone => ("410 Gone", "{}".to_owned()),
                Watched::Cut => break,
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            let mut writer = stream;
            if writer.write_all((head + &answer).as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn range(&self, query: &str) -> String {
        let (prefix, after) = (field(query, "prefix"), field(query, "after"));
        let contents = self.contents.0.lock().expect("not poisoned");
        let found = contents.items.iter();
        let mut found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let (mut items, mut bytes) = (Vec::new(), 0);
        while items.len() < PAGE_ITEMS && bytes < PAGE_BYTES {
            let Some((key, item)) = found.next() else {
                break;
            };
            bytes += item.value.text.len();
            items.push(event(key, item.revision, Some(item)));
        }
        let has_more = found.next().is_some();
        format!(
            "{{\"items\":[{}],\"has-more\":{has_more},\"store-revision\":{}}}",
            items.join(","),
            contents.revision
        )
    }

    /// Waits for events.
    fn watch(&self, query: &str) -> Watched {
        let prefix = field(query, "prefix");
        let after: u64 = field(query, "after").parse().unwrap_or(0);
        let wait_ms: u64 = field(query, "wait-ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().expect("not poisoned");
        let cuts = contents.cuts;
        loop {
            if after < contents.dropped {
                return Watched::HistoryGone;
            }
            let log = contents.log.iter();
            let events: Vec<String> = log
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| event(&change.key, change.revision, change.item.as_ref()))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Watched::Events(format!(
                    "{{\"events\":[{}],\"store-revision\":{}}}",
                    events.join(","),
                    contents.revision
                ));
            }
            if contents.cuts != cuts {
                return Watched::Cut;
            }
            contents.waiting += 1;
            contents = changed
                .wait_timeout(contents, left)
                .expect("not poisoned")
                .0;
            contents.waiting -= 1;
        }
    }
}

/// How a watch ends.
enum Watched {
    /// With an answer, which may have no events.
    Events(String),
    /// The history after the revision is not available.
    HistoryGone,
    /// The store cuts it.
    Cut,
}

fn event(key: &str, revision: u64, item: Option<&Item>) -> String {
    match item {
        Some(item) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{},\"lease\":0}}",
            item.value.encoded, item.created
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn field(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name);
    value.map_or_else(String::new, |(_, value)| value.replace("%2F", "/"))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let bits = group.iter().enumerate().fold(0_u32, |bits, (place, byte)| {
            bits | u32::from(*byte) << (16 - 8 * place)
        });
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
