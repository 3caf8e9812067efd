//! Handshake of a connection: both sides prove that they know the deployment's key.
//!
//! Each side sends a random challenge, then a keyed hash over its side's label and both
//! challenges. A proof can therefore be neither reflected nor replayed.

use std::fmt::{self, Debug, Formatter};
use std::io;

use hmac::{Hmac, KeyInit, Mac};
use rand::RngExt;
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const CHALLENGE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;

type Challenge = [u8; CHALLENGE_BYTES];

/// Secret key shared by all instances of a deployment.
#[derive(Clone)]
pub struct FleetKey(Box<[u8]>);

/// Side of a connection; its label is part of its proof.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Side {
    /// The side that connects.
    Client,
    /// The side that listens.
    Server,
}

impl FleetKey {
    /// Creates a key from a secret of any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    /// Runs the handshake; returns whether the peer proved that it knows the key.
    pub(crate) async fn authenticate<S>(&self, stream: &mut S, side: Side) -> io::Result<bool>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let own_challenge: Challenge = rand::rng().random();
        stream.write_all(&own_challenge).await?;
        let mut peer_challenge = [0; CHALLENGE_BYTES];
        stream.read_exact(&mut peer_challenge).await?;

        let proof = self
            .mac(side, &own_challenge, &peer_challenge)
            .finalize()
            .into_bytes();
        stream.write_all(&proof).await?;
        let mut peer_proof = [0; PROOF_BYTES];
        stream.read_exact(&mut peer_proof).await?;

        let expected = self.mac(side.peer(), &peer_challenge, &own_challenge);
        Ok(expected.verify_slice(&peer_proof).is_ok())
    }

    fn mac(&self, sender: Side, own: &Challenge, peer: &Challenge) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&self.0)
            .expect("HMAC accepts keys of any length");
        mac.update(sender.label());
        mac.update(own);
        mac.update(peer);
        mac
    }
}

impl Debug for FleetKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey")
    }
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"client",
            Self::Server => b"server",
        }
    }

    fn peer(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}
