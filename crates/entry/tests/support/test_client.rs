use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// HTTP/1.1 client on one connection, which shows how each response ended.
pub struct TestClient {
    stream: TcpStream,
}

/// Response as the client received it.
#[derive(Debug)]
pub struct Response {
    /// Body without chunk sizes.
    pub body: String,
    pub head: String,
    /// Whether the body ended as its length or last chunk says.
    pub is_complete: bool,
}

impl Response {
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

impl TestClient {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        Self { stream }
    }

    /// Sends a request with the key of customer `centre`.
    pub async fn send(&mut self, line: &str, headers: &str, body: &str) {
        let length = body.len();
        let request = format!(
            "{line} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer key-centre\r\n\
             content-length: {length}\r\n{headers}\r\n{body}"
        );
        self.send_raw(&request).await;
    }

    pub async fn send_raw(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until `text` has arrived or the entry closes the connection.
    pub async fn read_until(&mut self, text: &str) -> String {
        let mut bytes = Vec::new();
        while !String::from_utf8_lossy(&bytes).contains(text) {
            if !matches!(self.stream.read_buf(&mut bytes).await, Ok(1..)) {
                break;
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Reads until the entry closes the connection; returns the number of bytes.
    pub async fn read_to_end(&mut self) -> usize {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).await.unwrap()
    }

    /// Reads one response.
    pub async fn read_response(&mut self) -> Response {
        let mut bytes = Vec::new();
        loop {
            if let Some(response) = parse_response(&bytes, false) {
                return response;
            }
            if !matches!(self.stream.read_buf(&mut bytes).await, Ok(1..)) {
                return parse_response(&bytes, true)
                    .expect("the entry closed the connection before a response head");
            }
        }
    }

    /// Sends a request on its own connection and reads the response.
    pub async fn request(address: SocketAddr, line: &str, headers: &str, body: &str) -> Response {
        let mut client = Self::connect(address).await;
        client.send(line, headers, body).await;
        client.read_response().await
    }

    /// Requests a text completion on a connection of its own and reads the response.
    pub async fn request_completion(address: SocketAddr, is_stream: bool) -> Response {
        let body = format!("{{\"model\":\"forge\",\"prompt\":\"anvil?\",\"stream\":{is_stream}}}");
        Self::request(address, "POST /v1/completions", "", &body).await
    }
}

/// Parses a response; returns none while it is incomplete and the connection is open.
fn parse_response(bytes: &[u8], is_closed: bool) -> Option<Response> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let mut response = Response {
        body: String::new(),
        head: String::from_utf8_lossy(&bytes[..end]).into_owned(),
        is_complete: false,
    };
    let rest = &bytes[end..];
    if let Some(length) = response.header("content-length") {
        let length: usize = length.parse().unwrap();
        response.is_complete = rest.len() >= length;
        response.body = String::from_utf8_lossy(rest).into_owned();
    } else {
        let (body, is_complete) = decode_chunks(rest);
        response.body = body;
        response.is_complete = is_complete;
    }
    (response.is_complete || is_closed).then_some(response)
}

/// Decodes a chunked body; also returns whether its last chunk has arrived.
fn decode_chunks(mut rest: &[u8]) -> (String, bool) {
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
