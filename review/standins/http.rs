//! HTTP/1.1 messages on a blocking stream, as far as the stand-ins need them.

use std::io::BufRead;

/// The first line, the headers with lower-case names, and the body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Reports whether the sender closes the connection after this message.
    pub fn is_last(&self) -> bool {
        let connection = self.header("connection").unwrap_or_default();
        connection.to_ascii_lowercase().contains("close")
    }
}

/// Reads a message with its whole body. Returns `None` if the stream ends before the
/// message is complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let first_line = read_line(reader)?;
    let mut message = Message {
        first_line,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let name = name.trim().to_ascii_lowercase();
        message.headers.push((name, value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let size = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk).ok()?;
        body.extend_from_slice(&chunk);
        read_line(reader)?;
        if size == 0 {
            return Some(());
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    line.truncate(line.trim_end_matches(['\r', '\n']).len());
    Some(line)
}
