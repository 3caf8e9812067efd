//! The opening exchange of a connection: both sides prove that they know the deployment's key.
//!
//! Each side sends a random challenge and answers the other's with a keyed hash over both
//! challenges and its own part in the exchange, so a proof cannot be reflected or replayed.

use std::fmt::{self, Debug, Formatter};
use std::io;

use hmac::{Hmac, KeyInit, Mac};
use rand::RngExt;
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const CHALLENGE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;

type Challenge = [u8; CHALLENGE_BYTES];

/// Secret that every instance of a deployment holds.
#[derive(Clone)]
pub struct FleetKey(Box<[u8]>);

/// Which side of the exchange a proof is made by.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Side {
    /// The side that connects.
    Client,
    /// The side that listens.
    Server,
}

impl FleetKey {
    /// Takes the secret.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    /// Runs the exchange; says whether the other side proved that it knows the key.
    pub(crate) async fn authenticate<S>(&self, stream: &mut S, side: Side) -> io::Result<bool>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let own: Challenge = rand::rng().random();
        stream.write_all(&own).await?;
        let mut other = [0; CHALLENGE_BYTES];
        stream.read_exact(&mut other).await?;

        let proof = self.mac(side, &own, &other).finalize().into_bytes();
        stream.write_all(&proof).await?;
        let mut claimed = [0; PROOF_BYTES];
        stream.read_exact(&mut claimed).await?;

        let expected = self.mac(side.other(), &other, &own);
        Ok(expected.verify_slice(&claimed).is_ok())
    }

    fn mac(&self, prover: Side, own: &Challenge, other: &Challenge) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&self.0)
            .expect("a keyed hash takes keys of any length");
        mac.update(prover.label());
        mac.update(own);
        mac.update(other);
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

    fn other(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}
