use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep_until};

/// Tokens per write if there is no pause between tokens.
const TOKENS_PER_WRITE: u32 = 16;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 4_096;

/// Time of the system clock, which all processes share.
pub fn wall_clock_us() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(time.as_micros()).unwrap()
}

/// Serves generations until the process ends.
pub async fn serve() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(BACKLOG).unwrap();
    println!("{}", listener.local_addr().unwrap());
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(serve_connection(stream));
    }
}

async fn serve_connection(mut stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    let mut bytes = Vec::new();
    let request = loop {
        match stream.read_buf(&mut bytes).await {
            Ok(1..) => {}
            _ => return,
        }
        let text = String::from_utf8_lossy(&bytes);
        if text.starts_with("DELETE") || text.contains("every ") && text.ends_with('}') {
            break text.into_owned();
        }
    };
    if request.starts_with("DELETE") {
        drop(stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await);
        return;
    }
    let generation = request[18..50].to_owned();
    let interval_us = number_after(&request, "every ");
    let tokens = u32::try_from(number_after(&request, "\"max_tokens\":")).unwrap();
    // Writing fails only if the client disconnects.
    drop(generate(&mut stream, &generation, interval_us, tokens).await);
}

/// The first number after `prefix`.
pub fn number_after(text: &str, prefix: &str) -> u64 {
    let (_, rest) = text.split_once(prefix).unwrap();
    let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
    rest[..digits].parse().unwrap()
}

async fn generate(
    stream: &mut TcpStream,
    generation: &str,
    interval_us: u64,
    tokens: u32,
) -> std::io::Result<()> {
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
        .await?;
    let mut next_write = Instant::now();
    let mut index = 0;
    while index < tokens {
        let tokens_per_write = if interval_us == 0 {
            TOKENS_PER_WRITE
        } else {
            1
        };
        let mut events = String::new();
        for _ in 0..tokens_per_write.min(tokens - index) {
            let now_us = wall_clock_us();
            events += "data: {\"generation\":\"";
            events += generation;
            events += "\",\"index\":";
            events += &index.to_string();
            events += ",\"text\":\"";
            events += &index.to_string();
            events += "@";
            events += &now_us.to_string();
            events += "\"}\n\n";
            index += 1;
        }
        let chunk = format!("{:x}\r\n{events}\r\n", events.len());
        stream.write_all(chunk.as_bytes()).await?;
        next_write += Duration::from_micros(interval_us);
        if interval_us > 0 {
            sleep_until(next_write).await;
        }
    }
    let end = format!(
        "data: {{\"generation\":\"{generation}\",\"end\":\"length\",\"tokens\":{tokens}}}\n\n"
    );
    let chunk = format!("{:x}\r\n{end}\r\n0\r\n\r\n", end.len());
    stream.write_all(chunk.as_bytes()).await
}
