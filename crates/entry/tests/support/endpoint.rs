use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures::future::BoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Request as an endpoint saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub body: String,
    pub head: String,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.line().split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.line().split(' ').nth(1).unwrap_or_default()
    }
}

/// Number of the generation that a request names.
pub fn generation_of(seen: &Seen) -> String {
    seen.path()[13..45].to_owned()
}

/// The endpoint's side of a connection.
pub struct Wire(pub TcpStream);

impl Wire {
    /// Waits until the other side closes.
    pub async fn closed(&mut self) {
        let mut byte = [0];
        while matches!(self.0.read(&mut byte).await, Ok(1..)) {}
    }

    /// Sends a piece of a chunked body; errors are those of a peer that left.
    pub async fn piece(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.raw(&chunk).await;
    }

    pub async fn raw(&mut self, text: &str) {
        drop(self.0.write_all(text.as_bytes()).await);
    }

    /// Starts an event stream.
    pub async fn stream(&mut self) {
        self.raw("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
            .await;
    }

    /// Ends a chunked body.
    pub async fn finish(&mut self) {
        self.raw("0\r\n\r\n").await;
    }

    /// Answers whole.
    pub async fn answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        self.raw(&format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
        ))
        .await;
    }
}

/// Endpoint that hands each request to a script.
pub struct Endpoint {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    changed: watch::Receiver<usize>,
    task: JoinHandle<()>,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Endpoint {
    pub async fn bind<S>(script: S) -> Self
    where
        S: Fn(Seen, Wire) -> BoxFuture<'static, ()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (counted, changed) = watch::channel(0);
        let script = Arc::new(script);
        let requests = Arc::clone(&seen);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let script = Arc::clone(&script);
                let requests = Arc::clone(&requests);
                let counted = counted.clone();
                tokio::spawn(async move {
                    let mut stream = stream;
                    if let Some(request) = read(&mut stream).await {
                        requests.lock().unwrap().push(request.clone());
                        counted.send_modify(|count| *count += 1);
                        script(request, Wire(stream)).await;
                    }
                });
            }
        });
        Self {
            address,
            seen,
            changed,
            task,
        }
    }

    /// Requests so far with a method.
    pub fn requests(&self, method: &str) -> Vec<Seen> {
        let seen = self.seen.lock().unwrap();
        seen.iter()
            .filter(|seen| seen.method() == method)
            .cloned()
            .collect()
    }

    /// Waits for a number of requests with a method.
    pub async fn wait(&mut self, method: &str, count: usize) {
        while self.requests(method).len() < count {
            self.changed.changed().await.unwrap();
        }
    }
}

async fn read(stream: &mut TcpStream) -> Option<Seen> {
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
    let mut seen = Seen {
        body: String::new(),
        head,
    };
    let length: usize = seen
        .header("content-length")
        .map_or(0, |length| length.parse().unwrap());
    while bytes.len() < head_bytes + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    seen.body = String::from_utf8_lossy(&bytes[head_bytes..]).into_owned();
    Some(seen)
}
