//! Steps of scripted engines.

use super::{ReceivedRequest, ServerConnection, end_event, generation_id, token_event};

/// Token index that a resume request starts from; none for other requests.
pub fn resume_index(request: &ReceivedRequest) -> Option<u32> {
    request.path().split_once("?from=")?.1.parse().ok()
}

/// Sends the tokens from index `from` and the end event.
pub async fn stream_tokens_from(
    connection: &mut ServerConnection,
    generation: &str,
    from: u32,
    tokens: u32,
) {
    for index in from..tokens {
        connection
            .send_chunk(&token_event(generation, index, &format!("{index} ")))
            .await;
    }
    connection.send_chunk(&end_event(generation, tokens)).await;
    connection.end_body().await;
}

/// Confirms a cancellation.
pub async fn respond_to_cancel(mut connection: ServerConnection) {
    connection.respond("204 No Content", "", "").await;
}

/// Engine that streams five tokens.
pub async fn stream_five_tokens(request: ReceivedRequest, mut connection: ServerConnection) {
    if request.method() == "DELETE" {
        return respond_to_cancel(connection).await;
    }
    connection.start_event_stream().await;
    stream_tokens_from(&mut connection, &generation_id(&request), 0, 5).await;
}
