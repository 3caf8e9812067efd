use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// One connection of a caller.
pub struct Caller {
    stream: TcpStream,
}

/// Answer as the caller read it.
#[derive(Debug)]
pub struct Answer {
    /// Body without chunk sizes.
    pub body: String,
    pub head: String,
    /// Whether the body came to its proper end.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap()
    }

    pub fn outcome(&self) -> Option<&str> {
        self.header("gentiancleat-outcome")
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }

    /// Text of the streamed tokens.
    pub fn text(&self) -> String {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
            .filter_map(|chunk| {
                let choice = &chunk["choices"][0];
                let text = choice["text"].as_str();
                Some(text.or(choice["delta"]["content"].as_str())?.to_owned())
            })
            .collect()
    }
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        Self { stream }
    }

    /// Sends a request with a customer's key.
    pub async fn send(&mut self, line: &str, headers: &str, body: &str) {
        let length = body.len();
        let request = format!(
            "{line} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer key-centre\r\n\
             content-length: {length}\r\n{headers}\r\n{body}"
        );
        self.raw(&request).await;
    }

    pub async fn raw(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the text came or the entry closes.
    pub async fn read_until(&mut self, text: &str) -> String {
        let mut bytes = Vec::new();
        while !String::from_utf8_lossy(&bytes).contains(text) {
            if !matches!(self.stream.read_buf(&mut bytes).await, Ok(1..)) {
                break;
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Reads until the entry closes; the bytes read.
    pub async fn drop_rest(&mut self) -> usize {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).await.unwrap()
    }

    /// Reads one answer.
    pub async fn answer(&mut self) -> Answer {
        let mut bytes = Vec::new();
        loop {
            if let Some(answer) = parse(&bytes, false) {
                return answer;
            }
            if !matches!(self.stream.read_buf(&mut bytes).await, Ok(1..)) {
                return parse(&bytes, true).expect("the entry closed before a head");
            }
        }
    }

    /// Sends a request on its own connection and reads the answer.
    pub async fn call(address: SocketAddr, line: &str, headers: &str, body: &str) -> Answer {
        let mut caller = Self::connect(address).await;
        caller.send(line, headers, body).await;
        caller.answer().await
    }

    /// Asks for a completion.
    pub async fn complete(address: SocketAddr, is_stream: bool) -> Answer {
        let body = format!("{{\"model\":\"forge\",\"prompt\":\"anvil?\",\"stream\":{is_stream}}}");
        Self::call(address, "POST /v1/completions", "", &body).await
    }
}

fn parse(bytes: &[u8], is_closed: bool) -> Option<Answer> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let mut answer = Answer {
        body: String::new(),
        head: String::from_utf8_lossy(&bytes[..end]).into_owned(),
        is_whole: false,
    };
    let rest = &bytes[end..];
    if let Some(length) = answer.header("content-length") {
        let length: usize = length.parse().unwrap();
        answer.is_whole = rest.len() >= length;
        answer.body = String::from_utf8_lossy(rest).into_owned();
    } else {
        let (body, is_whole) = unchunk(rest);
        answer.body = body;
        answer.is_whole = is_whole;
    }
    (answer.is_whole || is_closed).then_some(answer)
}

fn unchunk(mut rest: &[u8]) -> (String, bool) {
    let mut body = Vec::new();
    while let Some(line) = rest.windows(2).position(|two| two == b"\r\n") {
        let size = std::str::from_utf8(&rest[..line]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        let data = &rest[line + 2..];
        if size == 0 {
            return (String::from_utf8_lossy(&body).into_owned(), true);
        }
        if data.len() < size + 2 {
            break;
        }
        body.extend_from_slice(&data[..size]);
        rest = &data[size + 2..];
    }
    (String::from_utf8_lossy(&body).into_owned(), false)
}
