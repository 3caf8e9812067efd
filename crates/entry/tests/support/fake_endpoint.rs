use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures::future::BoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Request as a fake endpoint received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub body: String,
    pub head: String,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn request_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.request_line().split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.request_line().split(' ').nth(1).unwrap_or_default()
    }
}

/// Generation id in the path of a request.
pub fn generation_id(request: &ReceivedRequest) -> String {
    request.path()[13..45].to_owned()
}

/// The endpoint's side of a connection.
///
/// Write errors are ignored, as tests let the entry close connections.
pub struct ServerConnection(pub TcpStream);

impl ServerConnection {
    /// Waits until the entry closes the connection.
    pub async fn wait_until_closed(&mut self) {
        let mut byte = [0];
        while matches!(self.0.read(&mut byte).await, Ok(1..)) {}
    }

    /// Sends a chunk of a chunked body.
    pub async fn send_chunk(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.send_raw(&chunk).await;
    }

    pub async fn send_raw(&mut self, text: &str) {
        drop(self.0.write_all(text.as_bytes()).await);
    }

    /// Sends the head of a response whose body is a chunked event stream.
    pub async fn start_event_stream(&mut self) {
        self.send_raw("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
            .await;
    }

    /// Sends the last chunk of a chunked body.
    pub async fn end_body(&mut self) {
        self.send_raw("0\r\n\r\n").await;
    }

    /// Sends a whole response.
    pub async fn respond(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        self.send_raw(&format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
        ))
        .await;
    }
}

/// HTTP server that records each request and passes it to a handler.
pub struct FakeEndpoint {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    request_count: watch::Receiver<usize>,
    task: JoinHandle<()>,
}

impl Drop for FakeEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FakeEndpoint {
    pub async fn bind<H>(handler: H) -> Self
    where
        H: Fn(ReceivedRequest, ServerConnection) -> BoxFuture<'static, ()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (count_sender, request_count) = watch::channel(0);
        let handler = Arc::new(handler);
        let received = Arc::clone(&requests);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let handler = Arc::clone(&handler);
                let received = Arc::clone(&received);
                let count_sender = count_sender.clone();
                tokio::spawn(async move {
                    let mut stream = stream;
                    if let Some(request) = read_request(&mut stream).await {
                        received.lock().unwrap().push(request.clone());
                        count_sender.send_modify(|count| *count += 1);
                        handler(request, ServerConnection(stream)).await;
                    }
                });
            }
        });
        Self {
            address,
            requests,
            request_count,
            task,
        }
    }

    /// Requests with `method` received so far.
    pub fn requests_by_method(&self, method: &str) -> Vec<ReceivedRequest> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .filter(|request| request.method() == method)
            .cloned()
            .collect()
    }

    /// Waits until `count` requests with `method` have been received.
    pub async fn wait_for_requests(&mut self, method: &str, count: usize) {
        while self.requests_by_method(method).len() < count {
            self.request_count.changed().await.unwrap();
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let head_bytes = loop {
        if let Some(position) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break position + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(bytes[..head_bytes].to_vec()).ok()?;
    let mut request = ReceivedRequest {
        body: String::new(),
        head,
    };
    let length: usize = request
        .header("content-length")
        .map_or(0, |length| length.parse().unwrap());
    while bytes.len() < head_bytes + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    request.body = String::from_utf8_lossy(&bytes[head_bytes..]).into_owned();
    Some(request)
}
