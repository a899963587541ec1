//! Length-prefixed postcard messages.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Encoder;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

/// Longest message in bytes; request bodies are not messages.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Why a message could not be read or written.
#[derive(Debug, Display, Error, From)]
pub enum CodecError {
    /// The stream failed, or a message is longer than allowed.
    #[display("the stream failed: {_0}")]
    Io(io::Error),
    /// The bytes are not a message.
    #[display("not a message: {_0}")]
    Encoding(postcard::Error),
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().little_endian().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

/// Encodes a message with its length.
///
/// # Errors
/// [`CodecError`] when it is too long.
pub fn encode_message<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    let mut framed = BytesMut::new();
    frame_codec().encode(Bytes::from(postcard::to_stdvec(message)?), &mut framed)?;
    Ok(framed.freeze())
}

/// Writes a message.
///
/// # Errors
/// [`CodecError`] when the stream fails or the message is too long.
pub async fn write_message<T, W>(writer: &mut W, message: &T) -> Result<(), CodecError>
where
    T: Serialize,
    W: AsyncWrite + Unpin,
{
    writer.write_all(&encode_message(message)?).await?;
    Ok(())
}

/// Reads messages; bytes that were read ahead stay with the reader.
#[derive(Debug)]
pub struct MessageReader<R> {
    framed: FramedRead<R, LengthDelimitedCodec>,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Reads from `reader`.
    pub fn new(reader: R) -> Self {
        Self { framed: FramedRead::new(reader, frame_codec()) }
    }

    /// The next message, `None` at a clean end of the stream. May be cancelled without loss.
    ///
    /// # Errors
    /// [`CodecError`] when the stream fails or ends inside a message.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, CodecError> {
        match self.framed.next().await {
            Some(frame) => Ok(Some(postcard::from_bytes(&frame?)?)),
            None => Ok(None),
        }
    }

    /// The stream itself with the bytes that were read ahead.
    pub fn into_parts(self) -> (R, Bytes) {
        let parts = self.framed.into_parts();
        (parts.io, parts.read_buf.freeze())
    }
}
